//! Loopback addresses of fleets that run at the same time.

use std::{collections::HashSet, net::IpAddr};

use railtack_lab::fleet::{FleetKind, FleetShape, settings::Endpoints};

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
