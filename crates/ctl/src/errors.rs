//! Errors of commands and their exit codes.

use railtack_core::Revision;
use railtack_settings::DocumentError;
use thiserror::Error;

/// Error of a command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CtlError {
    /// The document does not have the expected revision.
    #[error("conflict: the document is at revision {current}; nothing was changed")]
    Conflict {
        /// Current revision; 0 if the document does not exist.
        current: Revision,
    },
    /// The document is not valid.
    #[error("rejected: {0}; nothing was changed")]
    Rejected(DocumentError),
    /// The operation id belongs to another change.
    #[error("the operation id was used for another change; nothing was changed")]
    OperationIdReused,
    /// No control replica accepted the request.
    #[error("no control replica could be reached; nothing was changed")]
    Unavailable,
    /// The change may or may not have been committed.
    #[error("no answer: resend with --operation-id {operation} to learn the outcome")]
    OutcomeUnknown {
        /// Operation id to resend the change with.
        operation: String,
    },
    /// No such document, engine or request.
    #[error("{name} was not found")]
    NotFound {
        /// Name or id of the missing object.
        name: String,
    },
    /// A file cannot be read or is not a valid document.
    #[error("{file}: {reason}")]
    InvalidFile {
        /// Path of the file.
        file: String,
        /// Description of the error, with the line if known.
        reason: String,
    },
    /// A membership change was refused or did not complete in time.
    #[error("the membership change was refused: {reason}")]
    MembershipRefused {
        /// Reason of the last refusal.
        reason: &'static str,
    },
    /// The async runtime cannot be started.
    #[error("the runtime cannot be started")]
    Runtime,
}

impl CtlError {
    /// Returns the process's exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidFile { .. } | Self::Runtime => 1,
            Self::Conflict { .. } | Self::OperationIdReused => 3,
            Self::Rejected(_) | Self::MembershipRefused { .. } => 4,
            Self::Unavailable => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::NotFound { .. } => 7,
        }
    }
}
