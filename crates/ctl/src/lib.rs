//! Operators' command line, `railtackctl`.
//!
//! Exit codes: 0 success; 1 other failure; 2 usage error; 3 conflict (the document has another
//! revision, or the operation id belongs to another change); 4 rejected (the document or the
//! membership change is not valid); 5 unavailable (nothing was changed); 6 outcome unknown (resend
//! with the same `--operation-id`); 7 not found.

pub mod arguments;
pub mod cli;
pub mod client;
pub mod commands;
pub mod documents;
pub mod errors;
pub mod logs;
pub mod output;
pub mod quarantine;

pub use errors::CtlError;
