//! Loopback addresses of fleets that run at the same time.

use std::{
    collections::HashSet,
    net::IpAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use railtack_lab::fleet::{
    FleetKind, FleetShape, LabProcess,
    process::{self, Program},
    settings::Endpoints,
};

fn addresses() -> HashSet<IpAddr> {
    let shape = FleetShape::demonstration(FleetKind::Brasov);
    let endpoints = Endpoints::allocate(&shape).expect("free ports");
    let control = endpoints.control.iter();
    let control = control.flat_map(|endpoint| [endpoint.listen, endpoint.metrics]);
    let routers = endpoints.routers.iter();
    let routers = routers.flat_map(|endpoint| [endpoint.listen, endpoint.admin]);
    let engines = endpoints.engines.iter().map(|endpoint| endpoint.listen);
    let services = endpoints.services.iter().map(|endpoint| endpoint.listen);
    let all = control.chain(routers).chain(engines).chain(services);
    all.chain([endpoints.platform])
        .map(|endpoint| endpoint.ip())
        .collect()
}

/// An allocated port stays free until its process listens there only if no other fleet allocates ports at that
/// address and no outgoing connection uses it.
#[test]
fn two_fleets_share_no_address() {
    let first = addresses();
    let second = addresses();
    assert!(first.is_disjoint(&second), "{first:?} {second:?}");
    let shared = IpAddr::from([127, 0, 0, 1]);
    assert!(!first.contains(&shared) && !second.contains(&shared));
}

/// Tasks that start processes.
const STARTERS: usize = 4;
/// Processes that each of them starts.
const PROCESSES: usize = 50;

async fn start_processes(folder: PathBuf) {
    for _ in 0..PROCESSES {
        let arguments = ["--help".to_owned()];
        let mut process =
            LabProcess::start("ctl", Program::Ctl, &arguments, &folder).expect("a process");
        process.wait(Duration::from_secs(10)).await;
    }
}

/// Guards against a process that inherits the listeners of an allocation until it runs its own program. The ports
/// are then in use when the processes of the fleet start.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn allocated_ports_are_free_while_processes_start() {
    process::use_lab_binary(Path::new(env!("CARGO_BIN_EXE_railtack-lab")));
    let folder = tempfile::tempdir().expect("a folder");
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| tokio::spawn(start_processes(folder.path().to_owned())))
        .collect();
    let shape = FleetShape::demonstration(FleetKind::Brasov);
    let mut round = 0;
    while starters.iter().any(|starter| !starter.is_finished()) {
        let endpoints = Endpoints::allocate(&shape).expect("free ports");
        let platform = tokio::net::TcpListener::bind(endpoints.platform).await;
        assert!(platform.is_ok(), "round {round}: {platform:?}");
        round += 1;
        // Lets processes start.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for starter in starters {
        starter.await.expect("all processes started");
    }
}
