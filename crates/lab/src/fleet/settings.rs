//! Addresses and settings files of the processes of a fleet.

use std::{
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::{
        RwLockWriteGuard,
        atomic::{AtomicU32, Ordering},
    },
};

use error_stack::{Report, ResultExt};

use crate::{
    LabError,
    fleet::{FleetShape, process},
};

/// Addresses of one control replica.
#[derive(Clone, Debug)]
pub struct ControlEndpoints {
    /// Replica number.
    pub replica: u32,
    /// Internal address.
    pub listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
}

impl ControlEndpoints {
    /// Allocates free ports for another replica.
    pub fn allocate(replica: u32) -> Result<Self, Report<LabError>> {
        let mut ports = PortAllocator::new();
        Ok(Self {
            replica,
            listen: ports.next()?,
            metrics: ports.next()?,
        })
    }
}

/// Addresses of one router.
#[derive(Clone, Debug)]
pub struct RouterEndpoints {
    /// Router number.
    pub router: u32,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Address of one engine.
#[derive(Clone, Debug)]
pub struct EngineEndpoint {
    /// Engine number.
    pub engine: u32,
    /// Address of its HTTP interface.
    pub listen: SocketAddr,
}

/// Address of one replica of a service.
#[derive(Clone, Debug)]
pub struct ServiceEndpoint {
    /// Name of the service.
    pub service: &'static str,
    /// Number, unique over all services.
    pub number: u32,
    /// Address of its HTTP interface.
    pub listen: SocketAddr,
}

/// Addresses of all processes of a fleet.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Platform.
    pub platform: SocketAddr,
    /// Control replicas.
    pub control: Vec<ControlEndpoints>,
    /// Routers.
    pub routers: Vec<RouterEndpoints>,
    /// Engines.
    pub engines: Vec<EngineEndpoint>,
    /// Services.
    pub services: Vec<ServiceEndpoint>,
}

impl Endpoints {
    /// Allocates free ports. All listeners stay open until the last port is allocated, so that no port is
    /// allocated twice.
    pub fn allocate(shape: &FleetShape) -> Result<Self, Report<LabError>> {
        let mut ports = PortAllocator::new();
        let platform = ports.next()?;
        let mut control = Vec::new();
        for replica in 1..=shape.control {
            control.push(ControlEndpoints {
                replica,
                listen: ports.next()?,
                metrics: ports.next()?,
            });
        }
        let mut routers = Vec::new();
        for router in 1..=shape.routers {
            routers.push(RouterEndpoints {
                router,
                listen: ports.next()?,
                admin: ports.next()?,
            });
        }
        let mut engines = Vec::new();
        for engine in 1..=shape.engines {
            engines.push(EngineEndpoint {
                engine,
                listen: ports.next()?,
            });
        }
        let mut services = Vec::new();
        for service in &shape.services {
            for _ in 0..shape.service_replicas {
                services.push(ServiceEndpoint {
                    service,
                    number: services.len() as u32,
                    listen: ports.next()?,
                });
            }
        }
        Ok(Self {
            platform,
            control,
            routers,
            engines,
            services,
        })
    }

    /// Returns the internal addresses of the control replicas in the format of `railtackctl --control`.
    pub fn control_list(&self) -> String {
        let addresses = self
            .control
            .iter()
            .map(|endpoint| endpoint.listen.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }
}

/// Number of the next fleet of this process. With the process id, it determines the loopback address of the fleet.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Allocates ports that stay free until the processes listen there. At a shared address another fleet or an
/// outgoing connection could take an allocated port in the meantime. Each fleet therefore uses its own loopback
/// address, from which no connection originates.
struct PortAllocator {
    address: Ipv4Addr,
    held: Vec<TcpListener>,
    /// Dropped after the listeners.
    _starts_blocked: RwLockWriteGuard<'static, ()>,
}

impl PortAllocator {
    fn new() -> Self {
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        // Each byte between 1 and 250.
        let byte = |number: u32| (number % 250) as u8 + 1;
        let process = std::process::id();
        let address = Ipv4Addr::new(127, byte(process / 250), byte(process), byte(fleet));
        Self {
            address,
            held: Vec::new(),
            _starts_blocked: process::block_starts(),
        }
    }

    fn next(&mut self) -> Result<SocketAddr, Report<LabError>> {
        let listener = TcpListener::bind((self.address, 0)).change_context(LabError::Port)?;
        let address = listener.local_addr().change_context(LabError::Port)?;
        self.held.push(listener);
        Ok(address)
    }
}

/// Writes settings files into a folder.
pub struct SettingsWriter<'a> {
    /// Folder for the files.
    pub folder: &'a Path,
    /// Shape of the fleet.
    pub shape: &'a FleetShape,
    /// Addresses of the fleet.
    pub endpoints: &'a Endpoints,
}

impl SettingsWriter<'_> {
    /// Writes the settings of a control replica. Returns the path of the file.
    pub fn control(&self, endpoint: &ControlEndpoints) -> Result<PathBuf, Report<LabError>> {
        let data = self.folder.join(format!("control-{}", endpoint.replica));
        let text = format!(
            "replica_id = {}\ncluster = \"lab\"\nzone = \"{}\"\nlisten = \"{}\"\n\
             metrics_listen = \"{}\"\ndata = \"{}\"\nplatform = \"{}\"\n",
            endpoint.replica,
            self.shape.zone(endpoint.replica - 1),
            endpoint.listen,
            endpoint.metrics,
            data.display(),
            self.endpoints.platform,
        );
        self.write(&format!("control-{}.toml", endpoint.replica), &text)
    }

    /// Writes the settings of a router.
    pub fn router(&self, endpoint: &RouterEndpoints) -> Result<PathBuf, Report<LabError>> {
        let mut text = format!(
            "router_id = {}\nzone = \"{}\"\nlisten = \"{}\"\nadmin_listen = \"{}\"\n\
             platform = \"{}\"\n",
            endpoint.router,
            self.shape.zone(endpoint.router - 1),
            endpoint.listen,
            endpoint.admin,
            self.endpoints.platform,
        );
        for control in &self.endpoints.control {
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "[[control]]\nreplica_id = {}\naddress = \"{}\"\n",
                control.replica, control.listen
            );
        }
        self.write(&format!("router-{}.toml", endpoint.router), &text)
    }

    /// Writes the settings of an engine.
    pub fn engine(&self, endpoint: &EngineEndpoint) -> Result<PathBuf, Report<LabError>> {
        let software = match self.shape.engine_software(endpoint.engine) {
            // Previous builds, whose engines a fleet may begin with, do not know the setting.
            "" => String::new(),
            version => format!("software_version = \"{version}\"\n"),
        };
        let text = format!(
            "listen = \"{}\"\n[role]\nkind = \"engine\"\nengine_id = {}\nzone = \"{}\"\n\
             model = \"{}\"\nweights_version = 1\n{}[role.costs]\ncache_blocks = {}\n",
            endpoint.listen,
            endpoint.engine,
            self.shape.zone(endpoint.engine - 1),
            self.shape.model,
            software,
            self.shape.cache_blocks,
        );
        self.write(&format!("engine-{}.toml", endpoint.engine), &text)
    }

    /// Writes the settings of a service replica.
    pub fn service(&self, endpoint: &ServiceEndpoint) -> Result<PathBuf, Report<LabError>> {
        let text = format!(
            "listen = \"{}\"\n[role]\nkind = \"service\"\nservice = \"{}\"\nanswer_ms = 5\n",
            endpoint.listen, endpoint.service,
        );
        self.write(&format!("service-{}.toml", endpoint.number), &text)
    }

    /// Writes the settings of the platform.
    pub fn platform(&self) -> Result<PathBuf, Report<LabError>> {
        let text = format!(
            "listen = \"{}\"\n[role]\nkind = \"platform\"\nlag_ms = {}\n\
             weight_bytes_per_second = 1000000000\n",
            self.endpoints.platform, self.shape.platform_lag_ms,
        );
        self.write("platform.toml", &text)
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, Report<LabError>> {
        let path = self.folder.join(name);
        fs::write(&path, text).change_context_lazy(|| LabError::File { path: path.clone() })?;
        Ok(path)
    }
}
