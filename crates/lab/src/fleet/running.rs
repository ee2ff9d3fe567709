//! Starts a fleet and operates it while it runs.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use railtack_backend_api::{EngineStatus, ExecutionCounts, Machine, MachineKind};
use railtack_core::{EngineId, ModelName, ZoneName};
use railtack_http::HttpClient;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    LabError,
    fleet::{
        FleetShape, LabProcess,
        process::{self, Program},
        settings::{ControlEndpoints, Endpoints, SettingsWriter},
    },
};

/// Time in which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two readiness checks of a starting process.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Log lines attached to the error if a process is not ready in time.
const LOG_TAIL_LINES: usize = 40;
/// Timeout of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most retries of a `railtackctl` command while the fleet starts.
const CTL_RETRIES: u32 = 40;
/// Time between two of these retries.
const CTL_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A running fleet. Dropping it kills its processes.
pub struct Fleet {
    /// Sizes of the fleet.
    pub shape: FleetShape,
    /// Addresses of all processes.
    pub endpoints: Endpoints,
    /// Folder of settings, logs and data.
    pub folder: PathBuf,
    /// Control replicas, in the order of `endpoints.control`.
    pub control: Vec<LabProcess>,
    /// Routers, in the order of `endpoints.routers`.
    pub routers: Vec<LabProcess>,
    /// Engines, in the order of `endpoints.engines`.
    pub engines: Vec<LabProcess>,
    /// Service replicas, in the order of `endpoints.services`.
    pub services: Vec<LabProcess>,
    /// Process of the platform.
    pub platform: LabProcess,
    /// Machines that the platform lists although nothing listens at their addresses.
    pub unreachable_machines: Vec<Machine>,
    client: HttpClient,
}

impl Fleet {
    /// Starts every process, publishes the list of machines, adds the control replicas as members and waits
    /// until all engines respond.
    pub async fn start(shape: FleetShape, folder: &Path) -> Result<Self, Report<LabError>> {
        fs::create_dir_all(folder).change_context_lazy(|| LabError::File {
            path: folder.to_owned(),
        })?;
        let endpoints = Endpoints::allocate(&shape)?;
        let writer = SettingsWriter {
            folder,
            shape: &shape,
            endpoints: &endpoints,
        };
        let platform = start_process("platform", Program::Emulator, &writer.platform()?, folder)?;
        let mut engines = Vec::new();
        for endpoint in &endpoints.engines {
            let file = writer.engine(endpoint)?;
            let arguments = vec![
                "--settings".to_owned(),
                file.display().to_string(),
                "--platform".to_owned(),
                endpoints.platform.to_string(),
            ];
            let name = format!("engine-{}", endpoint.engine);
            engines.push(LabProcess::start(
                &name,
                Program::Emulator,
                &arguments,
                folder,
            )?);
        }
        let mut services = Vec::new();
        for endpoint in &endpoints.services {
            let name = format!("service-{}", endpoint.number);
            let file = writer.service(endpoint)?;
            services.push(start_process(&name, Program::Emulator, &file, folder)?);
        }
        let mut control = Vec::new();
        for endpoint in &endpoints.control {
            let file = writer.control(endpoint)?;
            if control.is_empty() {
                initialize_control(&file).await?;
            }
            let name = format!("control-{}", endpoint.replica);
            control.push(start_process(&name, Program::Control, &file, folder)?);
        }
        let mut routers = Vec::new();
        for endpoint in &endpoints.routers {
            let name = format!("router-{}", endpoint.router);
            let file = writer.router(endpoint)?;
            routers.push(start_process(&name, Program::Router, &file, folder)?);
        }
        let fleet = Self {
            shape,
            endpoints,
            folder: folder.to_owned(),
            control,
            routers,
            engines,
            services,
            platform,
            unreachable_machines: Vec::new(),
            client: HttpClient::new(CALL_TIMEOUT),
        };
        fleet.assemble().await?;
        Ok(fleet)
    }

    async fn assemble(&self) -> Result<(), Report<LabError>> {
        self.wait_until_ready("platform", self.endpoints.platform, "/machines")
            .await?;
        self.publish_machines(&[]).await?;
        for endpoint in self.endpoints.control.iter().skip(1) {
            let address = endpoint.listen.to_string();
            self.run_ctl_until_success(&["members", "add", &address])
                .await?;
        }
        for endpoint in &self.endpoints.engines {
            let name = format!("engine-{}", endpoint.engine);
            self.wait_until_ready(&name, endpoint.listen, "/status")
                .await?;
        }
        Ok(())
    }

    /// Waits until every router is ready to serve.
    pub async fn wait_for_routers(&self) -> Result<(), Report<LabError>> {
        for endpoint in &self.endpoints.routers {
            let name = format!("router-{}", endpoint.router);
            self.wait_until_ready(&name, endpoint.admin, "/readyz")
                .await?;
        }
        Ok(())
    }

    /// Waits until a GET of `path` at `address` gets status 200. Returns the time waited.
    pub async fn wait_until_ready(
        &self,
        name: &str,
        address: SocketAddr,
        path: &str,
    ) -> Result<Duration, Report<LabError>> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.is_ready(address, path).await {
                return Ok(started.elapsed());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        let not_ready = LabError::NotReady {
            name: name.to_owned(),
            limit_ms: READY_TIMEOUT.as_millis() as u64,
        };
        let mut report = Report::new(not_ready).attach(self.log_tail(name));
        for endpoint in &self.endpoints.control {
            report = report.attach(self.log_tail(&format!("control-{}", endpoint.replica)));
        }
        Err(report)
    }

    /// Returns the last lines of the log of a process.
    fn log_tail(&self, name: &str) -> String {
        let log = LabProcess::log_path(name, &self.folder);
        match fs::read_to_string(&log) {
            Ok(text) => {
                let lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
                let lines: Vec<&str> = lines.into_iter().rev().collect();
                format!("last lines of {name}:\n{}", lines.join("\n"))
            }
            Err(error) => format!("no log of {name}: {error}"),
        }
    }

    /// Whether a GET of `path` at `address` gets status 200.
    pub async fn is_ready(&self, address: SocketAddr, path: &str) -> bool {
        let uri = format!("http://{address}{path}");
        let Ok(request) = hyper::Request::get(uri).body(http_body_util::Full::default()) else {
            return false;
        };
        let response = tokio::time::timeout(CALL_TIMEOUT, self.client.send(request)).await;
        matches!(response, Ok(Ok(response)) if response.status() == 200)
    }

    /// Starts another control replica and adds it as a member. Returns the time taken.
    pub async fn add_control(&mut self) -> Result<Duration, Report<LabError>> {
        let started = Instant::now();
        let number = self
            .endpoints
            .control
            .iter()
            .map(|endpoint| endpoint.replica)
            .max();
        let endpoint = ControlEndpoints::allocate(number.unwrap_or_default() + 1)?;
        let writer = SettingsWriter {
            folder: &self.folder,
            shape: &self.shape,
            endpoints: &self.endpoints,
        };
        let file = writer.control(&endpoint)?;
        let name = format!("control-{}", endpoint.replica);
        let process = start_process(&name, Program::Control, &file, &self.folder)?;
        self.control.push(process);
        let address = endpoint.listen.to_string();
        self.endpoints.control.push(endpoint);
        self.run_ctl_until_success(&["members", "add", &address])
            .await?;
        Ok(started.elapsed())
    }

    /// Publishes the list of machines at the platform, with the given engines marked as leaving.
    pub async fn publish_machines(&self, leaving: &[EngineId]) -> Result<(), Report<LabError>> {
        let machines = self.machines(leaving);
        let content = serde_json::to_vec(&machines).unwrap_or_default();
        let request = hyper::Request::put(format!("http://{}/machines", self.endpoints.platform))
            .body(http_body_util::Full::from(content))
            .change_context(LabError::Runtime)?;
        self.client
            .send(request)
            .await
            .change_context_lazy(|| LabError::NoAnswer {
                name: "platform".to_owned(),
            })?;
        Ok(())
    }

    fn machines(&self, leaving: &[EngineId]) -> Vec<Machine> {
        let engines = self.endpoints.engines.iter().map(|endpoint| Machine {
            kind: MachineKind::Engine {
                engine: EngineId(endpoint.engine),
                model: ModelName::from(self.shape.model),
            },
            address: endpoint.listen,
            zone: ZoneName::from(self.shape.zone(endpoint.engine - 1)),
            leaving: leaving.contains(&EngineId(endpoint.engine)),
        });
        let services = self.endpoints.services.iter().map(|endpoint| Machine {
            kind: MachineKind::Service {
                service: endpoint.service.to_owned(),
            },
            address: endpoint.listen,
            zone: ZoneName::from(self.shape.zone(endpoint.number)),
            leaving: false,
        });
        let unreachable_machines = self.unreachable_machines.iter().cloned();
        engines
            .chain(services)
            .chain(unreachable_machines)
            .collect()
    }

    /// Runs `railtackctl` against this fleet. Returns its standard output.
    pub async fn run_ctl(&self, arguments: &[&str]) -> Result<String, Report<LabError>> {
        let failed = |code| LabError::Operator {
            command: arguments.join(" "),
            code,
        };
        let mut command = process::command(Program::Ctl).change_context_lazy(|| failed(-1))?;
        command
            .arg("--control")
            .arg(self.endpoints.control_list())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let child = process::spawn(&mut command).change_context_lazy(|| failed(-1))?;
        let output = child
            .wait_with_output()
            .await
            .change_context_lazy(|| failed(-1))?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        Err(Report::new(failed(output.status.code().unwrap_or(-1))))
    }

    /// Runs a `railtackctl` command and retries it while the fleet starts.
    async fn run_ctl_until_success(&self, arguments: &[&str]) -> Result<(), Report<LabError>> {
        let mut last = self.run_ctl(arguments).await;
        for _ in 0..CTL_RETRIES {
            if last.is_ok() {
                break;
            }
            sleep(CTL_RETRY_INTERVAL).await;
            last = self.run_ctl(arguments).await;
        }
        last.map(|_| ())
    }

    /// Returns the status of every engine that responds.
    pub async fn engine_statuses(&self) -> Vec<EngineStatus> {
        let mut statuses = Vec::new();
        for endpoint in &self.endpoints.engines {
            let status = self
                .client
                .get_json::<EngineStatus>(endpoint.listen, "/status", CALL_TIMEOUT)
                .await;
            statuses.extend(status);
        }
        statuses
    }

    /// Returns the executions of each key, summed over all service replicas.
    pub async fn executions(&self) -> Result<ExecutionCounts, Report<LabError>> {
        let mut total = ExecutionCounts::default();
        for endpoint in &self.endpoints.services {
            let counts = self
                .client
                .get_json::<ExecutionCounts>(endpoint.listen, "/executions", CALL_TIMEOUT)
                .await
                .change_context_lazy(|| LabError::NoAnswer {
                    name: format!("service-{}", endpoint.number),
                })?;
            for (key, count) in counts.by_key {
                *total.by_key.entry(key).or_default() += count;
            }
            total.requests_in_back_off += counts.requests_in_back_off;
            total.over_limit += counts.over_limit;
        }
        Ok(total)
    }

    /// Returns the configuration revision that a router has applied, or `None` if it does not respond.
    pub async fn router_revision(&self, admin: SocketAddr) -> Option<u64> {
        let content = self
            .client
            .get_json::<Value>(admin, "/configuration", CALL_TIMEOUT)
            .await
            .ok()?;
        content.get("revision")?.as_u64()
    }

    /// Returns the position in `control` of the current leader.
    pub async fn leader(&self) -> Option<usize> {
        let output = self.run_ctl(&["--output", "json", "status"]).await.ok()?;
        let status: Value = serde_json::from_str(&output).ok()?;
        let leader = status
            .as_array()?
            .iter()
            .find_map(|replica| replica.get("leader")?.as_str()?.parse::<u64>().ok())?;
        self.endpoints
            .control
            .iter()
            .position(|endpoint| u64::from(endpoint.replica) == leader)
    }
}

fn start_process(
    name: &str,
    program: Program,
    settings: &Path,
    folder: &Path,
) -> Result<LabProcess, Report<LabError>> {
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    LabProcess::start(name, program, &arguments, folder)
}

async fn initialize_control(settings: &Path) -> Result<(), Report<LabError>> {
    let failed = |code| LabError::Operator {
        command: "initialize".to_owned(),
        code,
    };
    let mut command = process::command(Program::Control).change_context_lazy(|| failed(-1))?;
    command.arg("--settings").arg(settings).arg("initialize");
    let mut child = process::spawn(&mut command).change_context_lazy(|| failed(-1))?;
    let status = child.wait().await.change_context_lazy(|| failed(-1))?;
    if status.success() {
        return Ok(());
    }
    Err(Report::new(failed(status.code().unwrap_or(-1))))
}
