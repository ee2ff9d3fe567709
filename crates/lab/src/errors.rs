//! Failures of the lab.

use std::path::PathBuf;

use thiserror::Error;

/// Why a run of the lab failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LabError {
    /// A file could not be written or read.
    #[error("file {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
    },
    /// No free port could be had.
    #[error("no free port on the loopback interface")]
    Port,
    /// A process could not be started.
    #[error("process {name} could not be started")]
    Spawn {
        /// Its name in the fleet.
        name: String,
    },
    /// A process did not come up in time.
    #[error("{name} was not ready within {limit_ms} ms")]
    NotReady {
        /// Its name in the fleet.
        name: String,
        /// The limit.
        limit_ms: u64,
    },
    /// An operator's command failed.
    #[error("railtackctl {command} exited with code {code}")]
    Operator {
        /// The command.
        command: String,
        /// Exit code; -1 if it was killed.
        code: i32,
    },
    /// A signal could not be sent.
    #[error("process {name} could not be signalled")]
    Signal {
        /// Its name in the fleet.
        name: String,
    },
    /// A back end or the platform gave no answer.
    #[error("{name} gave no answer")]
    NoAnswer {
        /// Its name in the fleet.
        name: String,
    },
    /// The asynchronous runtime could not be started.
    #[error("cannot start the async runtime")]
    Runtime,
    /// The run was made, and what it showed breaks a promise.
    #[error("{violations} violations")]
    Violations {
        /// How many.
        violations: u64,
    },
    /// A plot could not be drawn.
    #[error("plot {}", path.display())]
    Plot {
        /// The file.
        path: PathBuf,
    },
}
