//! Addresses of fleets that run at the same time.

use std::{collections::HashSet, net::IpAddr};

use railtack_lab::fleet::{FleetKind, FleetShape, settings::Places};

fn addresses() -> HashSet<IpAddr> {
    let shape = FleetShape::demonstration(FleetKind::Brasov);
    let places = Places::draw(&shape).expect("free ports");
    let control = places.control.iter();
    let control = control.flat_map(|place| [place.listen, place.metrics]);
    let routers = places.routers.iter();
    let routers = routers.flat_map(|place| [place.listen, place.admin]);
    let engines = places.engines.iter().map(|place| place.listen);
    let services = places.services.iter().map(|place| place.listen);
    let all = control.chain(routers).chain(engines).chain(services);
    all.chain([places.platform])
        .map(|place| place.ip())
        .collect()
}

/// A port that was drawn is free until its process listens there only if nobody else draws ports at that
/// address, and no connection leaves from it.
#[test]
fn no_two_fleets_share_an_address() {
    let one = addresses();
    let other = addresses();
    assert!(one.is_disjoint(&other), "{one:?} {other:?}");
    let common = IpAddr::from([127, 0, 0, 1]);
    assert!(!one.contains(&common) && !other.contains(&common));
}
