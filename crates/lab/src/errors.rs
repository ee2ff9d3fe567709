//! Errors of the lab.

use std::path::PathBuf;

use thiserror::Error;

/// Error of a lab command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LabError {
    /// A file could not be written or read.
    #[error("file {}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
    },
    /// No free port could be allocated.
    #[error("no free port on the loopback interface")]
    Port,
    /// A process could not be started.
    #[error("process {name} could not be started")]
    Spawn {
        /// Name of the process in the fleet.
        name: String,
    },
    /// A process was not ready before the timeout.
    #[error("{name} was not ready within {limit_ms} ms")]
    NotReady {
        /// Name of the process in the fleet.
        name: String,
        /// Timeout, milliseconds.
        limit_ms: u64,
    },
    /// A `railtackctl` command failed.
    #[error("railtackctl {command} exited with code {code}")]
    Operator {
        /// Arguments of the command.
        command: String,
        /// Exit code; -1 if the process did not start or was killed by a signal.
        code: i32,
    },
    /// A signal could not be sent.
    #[error("process {name} could not be signalled")]
    Signal {
        /// Name of the process in the fleet.
        name: String,
    },
    /// A back end or the platform did not respond.
    #[error("{name} gave no answer")]
    NoAnswer {
        /// Name of the process in the fleet.
        name: String,
    },
    /// The asynchronous runtime could not be started.
    #[error("runtime")]
    Runtime,
    /// The run completed and violated guarantees.
    #[error("{violations} violations")]
    Violations {
        /// Number of violations.
        violations: u64,
    },
    /// A plot could not be drawn.
    #[error("plot {}", path.display())]
    Plot {
        /// Path of the file.
        path: PathBuf,
    },
}
