//! Load on a running fleet: documents, requests, and checks of the responses.

pub mod caller;
pub mod documents;
pub mod keyed;
pub mod summary;

pub use caller::{CallOutcome, Caller};
pub use documents::{LoadDocuments, ModelRequest};
pub use keyed::KeyedRecord;
pub use summary::Summary;
