//! One process of a fleet.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{OnceLock, PoisonError, RwLock, RwLockWriteGuard},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use tokio::process::{Child, Command};

use crate::LabError;

/// Time in which a killed process must exit.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);

/// Programs of a fleet. The lab binary contains all of them.
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
    /// Returns the argument with which `railtack-lab process` starts the program.
    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Control => "control",
            Self::Emulator => "emulator",
            Self::Ctl => "ctl",
        }
    }
}

/// Signal sent to a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL: the process exits at once.
    Kill,
    /// SIGTERM: a planned stop.
    Terminate,
    /// SIGSTOP: the process stops running; its connections stay open.
    Freeze,
    /// SIGCONT: the process resumes.
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

/// A child process of the lab.
#[derive(Debug)]
pub struct LabProcess {
    /// Name in the fleet.
    pub name: String,
    program: Program,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    /// Lab binary of another build, used by later starts.
    lab_override: Option<PathBuf>,
}

impl LabProcess {
    /// Starts a program that appends its output to `NAME.log` in `folder`.
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

    /// Returns the path of the log file of a process.
    pub fn log_path(name: &str, folder: &Path) -> PathBuf {
        folder.join(format!("{name}.log"))
    }

    /// Uses the lab binary of another build from the next start on.
    pub fn set_binary(&mut self, lab: &Path) {
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
        let mut command = command.change_context_lazy(spawn_error)?;
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true);
        let child = spawn(&mut command).change_context_lazy(spawn_error)?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id, or `None` if the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process. After [`Fault::Kill`] it waits until the process has exited.
    pub async fn inject(&mut self, fault: Fault) -> Result<(), Report<LabError>> {
        let failed = || LabError::Signal {
            name: self.name.clone(),
        };
        let id = self.id().ok_or_else(|| Report::new(failed()))?;
        let mut kill = Command::new("kill");
        kill.arg(format!("-{}", fault.signal())).arg(id.to_string());
        let mut child = spawn(&mut kill).change_context_lazy(failed)?;
        let status = child.wait().await.change_context_lazy(failed)?;
        if !status.success() {
            return Err(Report::new(failed()));
        }
        if fault == Fault::Kill {
            self.wait(KILL_TIMEOUT).await;
        }
        Ok(())
    }

    /// Waits for the process to exit. Returns `None` on timeout, if a signal killed it, or if it was not
    /// running.
    pub async fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = tokio::time::timeout(timeout, child.wait())
            .await
            .ok()?
            .ok()?;
        self.child = None;
        status.code()
    }
}

/// Excludes process starts while ports are allocated. A new process holds the listeners of its parent until it
/// runs its own program, so that a port would stay in use after its listener is closed.
static PROCESS_STARTS: RwLock<()> = RwLock::new(());

/// Blocks process starts until the guard is dropped.
pub fn block_starts() -> RwLockWriteGuard<'static, ()> {
    PROCESS_STARTS
        .write()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no ports are being allocated. Returns once it runs its own program.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _allowed = PROCESS_STARTS
        .read()
        .unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

static LAB_BINARY: OnceLock<PathBuf> = OnceLock::new();

/// Sets the path of the lab binary, for tests, which run in another binary. Only the first call has an effect.
pub fn use_lab_binary(path: &Path) {
    LAB_BINARY.get_or_init(|| path.to_owned());
}

/// Returns a command that runs a program of the lab binary.
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
