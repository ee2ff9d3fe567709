//! Incarnations of back ends that report none.

use std::net::SocketAddr;

use railtack_proxy::crash_checks::CrashCheckHost;
use railtack_router::state::RouterState;
use railtack_settings::{RouterSettings, parse_settings};

const SETTINGS: &str = r#"
router_id = 1
zone = "a"
listen = "127.0.0.1:0"
admin_listen = "127.0.0.1:0"
platform = "127.0.0.1:1"
[[control]]
replica_id = 1
address = "127.0.0.1:2"
"#;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Guards against one crash that is counted twice because another back end crashes between two broken connections.
#[test]
fn a_crash_elsewhere_starts_no_incarnation() {
    let settings: RouterSettings = parse_settings("router.toml", SETTINGS).expect("settings");
    let state = RouterState::new(settings);
    let first = state.backend_incarnation(address(10));
    let second = state.backend_incarnation(address(20));
    state.mark_crashed(&second);
    assert_eq!(state.backend_incarnation(address(10)).id, first.id);
    let next = state.backend_incarnation(address(20));
    assert_ne!(next.id, second.id);
    state.mark_crashed(&next);
    assert_ne!(state.backend_incarnation(address(20)).id, next.id);
    assert_eq!(state.backend_incarnation(address(10)).id, first.id);
}
