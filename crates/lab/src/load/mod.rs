//! Load on a running fleet: what operators submit, what callers ask, and whether they got it.

pub mod caller;
pub mod documents;
pub mod keyed;
pub mod summary;

pub use caller::{Caller, Finding};
pub use documents::{LoadDocuments, ModelQuestion};
pub use keyed::KeyedRecord;
pub use summary::Summary;
