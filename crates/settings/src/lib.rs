//! Settings files and operator documents, and their validation.

pub mod control;
pub mod daemon;
pub mod deployment;
pub mod documents;
pub mod emulator;
pub mod load;
pub mod overrides;
pub mod router;
pub mod wait;

pub use control::ControlSettings;
pub use deployment::NodeSettings;
pub use documents::{Document, DocumentError, Template, Tenant};
pub use load::{SettingsError, Validate, Violation, load_settings, parse_settings};
pub use router::RouterSettings;
pub use wait::await_settings;
