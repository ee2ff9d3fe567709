//! One process of a fleet.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::Stdio,
    sync::OnceLock,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use tokio::process::{Child, Command};

use crate::LabError;

/// Time for a process to end after it was killed.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);

/// The programs; the lab contains them all, so that one build starts a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// `railtack-router`.
    Router,
    /// `railtack-control`.
    Control,
    /// `railtack-emulator`.
    Emulator,
    /// `railtackctl`.
    Ctl,
}

impl Program {
    /// The name under which `railtack-lab process` starts it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Control => "control",
            Self::Emulator => "emulator",
            Self::Ctl => "ctl",
        }
    }
}

/// What is done to a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL: the process is gone at once.
    Kill,
    /// SIGTERM: a planned stop.
    Terminate,
    /// SIGSTOP: frozen, connections stay open in silence.
    Freeze,
    /// SIGCONT: goes on.
    Thaw,
}

impl Fault {
    fn signal(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Freeze => "STOP",
            Self::Thaw => "CONT",
        }
    }
}

/// A process that the lab started.
#[derive(Debug)]
pub struct LabProcess {
    /// Its name in the fleet.
    pub name: String,
    program: Program,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    /// The lab of another build, whose programs are started from now on.
    lab_override: Option<PathBuf>,
}

impl LabProcess {
    /// Starts a program; its output goes to `NAME.log` in `folder`.
    pub fn start(
        name: &str,
        program: Program,
        arguments: &[String],
        folder: &Path,
    ) -> Result<Self, Report<LabError>> {
        let mut process = Self {
            name: name.to_owned(),
            program,
            arguments: arguments.to_vec(),
            log: Self::log_path(name, folder),
            child: None,
            lab_override: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Where the output of a process goes.
    pub fn log_path(name: &str, folder: &Path) -> PathBuf {
        folder.join(format!("{name}.log"))
    }

    /// Has the programs of another build's lab started from the next start on.
    pub fn replace_by(&mut self, lab: &Path) {
        self.lab_override = Some(lab.to_owned());
    }

    /// Starts the program again with the same arguments.
    pub fn restart(&mut self) -> Result<(), Report<LabError>> {
        let spawn_error = || LabError::Spawn {
            name: self.name.clone(),
        };
        let log = open_log(&self.log)?;
        let errors = log.try_clone().change_context_lazy(spawn_error)?;
        let command = match &self.lab_override {
            Some(lab) => Ok(lab_command(lab, self.program)),
            None => command(self.program),
        };
        let child = command
            .change_context_lazy(spawn_error)?
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .change_context_lazy(spawn_error)?;
        self.child = Some(child);
        Ok(())
    }

    /// The process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Signals the process. [`Fault::Kill`] also waits until it is gone.
    pub async fn inflict(&mut self, fault: Fault) -> Result<(), Report<LabError>> {
        let failed = || LabError::Signal {
            name: self.name.clone(),
        };
        let id = self.id().ok_or_else(|| Report::new(failed()))?;
        let status = Command::new("kill")
            .arg(format!("-{}", fault.signal()))
            .arg(id.to_string())
            .status()
            .await
            .change_context_lazy(failed)?;
        if !status.success() {
            return Err(Report::new(failed()));
        }
        if fault == Fault::Kill {
            self.wait(KILL_TIMEOUT).await;
        }
        Ok(())
    }

    /// Waits for the process to end; its exit code if it did so by itself.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = tokio::time::timeout(limit, child.wait()).await.ok()?.ok()?;
        self.child = None;
        status.code()
    }
}

static LAB_BINARY: OnceLock<PathBuf> = OnceLock::new();

/// Names the lab's binary, for tests, whose own binary is another. Only the first call counts.
pub fn use_lab_binary(path: &Path) {
    LAB_BINARY.get_or_init(|| path.to_owned());
}

/// A command that runs a program of the lab's binary.
pub fn command(program: Program) -> std::io::Result<Command> {
    let lab = match LAB_BINARY.get() {
        Some(path) => path.clone(),
        None => std::env::current_exe()?,
    };
    Ok(lab_command(&lab, program))
}

fn lab_command(lab: &Path, program: Program) -> Command {
    let mut command = Command::new(lab);
    command.arg("process").arg(program.name());
    command
}

fn open_log(path: &Path) -> Result<File, Report<LabError>> {
    fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .change_context_lazy(|| LabError::File {
            path: path.to_owned(),
        })
}
