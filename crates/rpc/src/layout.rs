//! How messages lie on the wire, and records on the disk, whose types have grown since the first build.
//!
//! A message begins with the layout of the first build, and all that was added later follows at its end. A
//! build that does not know it reads the beginning and passes over the rest; where the rest is absent, the
//! sender does not know of it. So builds of any age read each other without asking first which one they talk to.
//! What one build has landed is never moved or removed by a later one.

mod inline_quotas;
mod watch;

pub use inline_quotas::{InlineConfiguration, LayoutError, read_exactly, read_proposal};
