//! Why a command failed, each with its exit code.

use railtack_core::Revision;
use railtack_settings::DocumentError;
use thiserror::Error;

/// A failed command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CtlError {
    /// The document was changed since the operator looked.
    #[error("conflict: the document is at revision {current}; nothing was changed")]
    Conflict {
        /// Present revision; 0 if there is no document.
        current: Revision,
    },
    /// The document is not valid.
    #[error("rejected: {0}; nothing was changed")]
    Rejected(DocumentError),
    /// The operation id was used for another change.
    #[error("the operation id was used for another change; nothing was changed")]
    OperationReused,
    /// No control replica took the request.
    #[error("no control replica could be reached; nothing was changed")]
    Unavailable,
    /// The change may or may not be in force.
    #[error("no answer: resend with --operation-id {operation} to learn the outcome")]
    Unknown {
        /// The operation's id.
        operation: String,
    },
    /// No such document, engine or request.
    #[error("{name} was not found")]
    NotFound {
        /// What was looked for.
        name: String,
    },
    /// A file cannot be read or is not a document.
    #[error("{file}: {reason}")]
    BadFile {
        /// The file.
        file: String,
        /// What is wrong, with the line if known.
        reason: String,
    },
    /// A change of the control replicas was refused.
    #[error("the membership change was refused: {reason}")]
    MembershipRefused {
        /// Why.
        reason: &'static str,
    },
    /// The runtime cannot be started.
    #[error("cannot start the async runtime")]
    Runtime,
}

impl CtlError {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::BadFile { .. } | Self::Runtime => 1,
            Self::Conflict { .. } | Self::OperationReused => 3,
            Self::Rejected(_) | Self::MembershipRefused { .. } => 4,
            Self::Unavailable => 5,
            Self::Unknown { .. } => 6,
            Self::NotFound { .. } => 7,
        }
    }
}
