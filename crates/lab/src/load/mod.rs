//! Load on a running fleet: documents, requests, and checks of the responses.

pub mod caller;
pub mod documents;
pub mod keyed;
pub mod summary;

pub use caller::{Caller, Finding};
pub use documents::{LoadDocuments, ModelQuestion};
pub use keyed::KeyedRecord;
pub use summary::Summary;
