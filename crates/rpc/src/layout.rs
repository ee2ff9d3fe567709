//! Wire and disk layouts of types that have been extended since the first build.
//!
//! A message starts with the layout of the first build, and later additions follow at its end. An older build
//! reads the part that it knows and ignores the rest; a newer build uses defaults where the rest is missing.
//! Builds of any age can therefore exchange messages without a version handshake. Later builds never move or
//! remove fields of a released layout.

mod inline_quotas;
mod load;
mod software;
mod trailing;
mod watch;

pub use inline_quotas::{InlineConfiguration, LayoutError, read_exactly, read_proposal};
pub use software::{SoftwareGroup, VersionedRecords};
