//! Writes the messages that grew with the relays of routers, as files that later builds have to read.
//!
//! Run as an example of the control crate, on the commit whose layouts are wanted:
//! `cp write.rs crates/control/examples/ && cargo run --example write -- FOLDER`.

use std::{fs, path::Path};

use railtack_rpc::{
    FeatureLevel,
    permits::LimitedReplica,
    relay::RelayOffer,
    service::{ControlRequest, ControlResponse},
    serving::{
        FleetDigest, LivenessReply, LivenessReport, ReplicaCondition, ReplicaHeartbeat,
        ReplicaObservation, ReplicaPace, ReplicaSpeed, WatchPosition, WatchReply, WatchRequest,
    },
};
use railtack_serving::{RelativeSpeed, ReplicaKey, RequestLimit};
use speedy::Writable;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let folder = Path::new(&folder).join("messages");
    fs::create_dir_all(&folder).expect("a folder");
    for (name, request) in requests() {
        let bytes = request.write_to_vec().expect("encoded");
        fs::write(folder.join(name), bytes).expect("a file");
    }
    for (name, response) in responses() {
        let bytes = response.write_to_vec().expect("encoded");
        fs::write(folder.join(name), bytes).expect("a file");
    }
}

fn observation() -> ReplicaObservation {
    ReplicaObservation {
        replica: ReplicaKey(7),
        open_requests: 12,
        pending_prefill_tokens: 4_096,
        silent_ms: 35,
        stalled_routers: 1,
    }
}

fn pace() -> ReplicaPace {
    ReplicaPace {
        replica: ReplicaKey(7),
        first_events: 3.5,
        prefilled_tokens: 12_000.0,
        first_event_ms: 420.0,
        gaps: 90.0,
        gap_ms: 2_500.0,
    }
}

fn digest() -> FleetDigest {
    FleetDigest {
        age_ms: 40,
        replicas: vec![ReplicaCondition {
            replica: ReplicaKey(7),
            open_requests: 12,
            pending_prefill_tokens: 4_096,
            silent_ms: 35,
            is_unresponsive: false,
        }],
        limited: vec![LimitedReplica {
            replica: ReplicaKey(8),
            limit: RequestLimit::per_s(2.5).expect("a limit"),
            advertised_age_ms: 300,
        }],
        speeds: vec![ReplicaSpeed {
            replica: ReplicaKey(7),
            speed: RelativeSpeed::from_ratio(0.7),
        }],
    }
}

fn offer() -> RelayOffer {
    RelayOffer {
        router: "router-2".to_owned(),
        address: "10.0.1.2:7701".to_owned(),
    }
}

fn requests() -> Vec<(&'static str, ControlRequest)> {
    let watch = WatchRequest {
        router: "router-1".to_owned(),
        position: WatchPosition {
            state: 9,
            changes: 8,
            records: 7,
        },
        wait_ms: 500,
        wants_records: true,
        has_lease: true,
        accepts_partial: true,
        observations: vec![observation()],
        paces: vec![pace()],
        relay_address: Some("10.0.1.1:7701".to_owned()),
    };
    let without_paces = WatchRequest {
        paces: Vec::new(),
        ..watch.clone()
    };
    let report = LivenessReport {
        identities: Vec::new(),
        routers: vec!["router-1".to_owned()],
        sender: "10.0.0.1:7700".to_owned(),
        observations: vec![observation()],
        replicas: vec![ReplicaHeartbeat {
            replica: ReplicaKey(7),
            age_ms: 120,
        }],
        paces: vec![pace()],
        relays: vec![offer()],
    };
    vec![
        ("watch-request", ControlRequest::Watch { request: watch }),
        (
            "without-paces-request",
            ControlRequest::Watch {
                request: without_paces,
            },
        ),
        ("alive-notice", ControlRequest::Alive { notice: report }),
    ]
}

fn responses() -> Vec<(&'static str, ControlResponse)> {
    let watch = WatchReply {
        confirmed_age_ms: Some(50),
        delayed_ms: 100,
        zone: "zone-a".to_owned(),
        members: vec!["10.0.0.1:7700".to_owned()],
        routers: 65,
        update: None,
        fleet: Some(digest()),
        group_level: FeatureLevel::LOAD_REPORTS,
        relays: vec![offer()],
    };
    let without_fleet = WatchReply {
        fleet: None,
        ..watch.clone()
    };
    let alive = LivenessReply {
        routers: 65,
        fleet: Some(digest()),
        relays: vec![offer()],
    };
    let alive_without_fleet = LivenessReply {
        fleet: None,
        ..alive.clone()
    };
    let alive_without_speeds = LivenessReply {
        fleet: Some(FleetDigest {
            speeds: Vec::new(),
            ..digest()
        }),
        ..alive.clone()
    };
    vec![
        ("watch-reply", ControlResponse::Watch(watch)),
        (
            "watch-without-fleet-reply",
            ControlResponse::Watch(without_fleet),
        ),
        ("alive-reply", ControlResponse::Alive(alive)),
        (
            "alive-without-fleet-reply",
            ControlResponse::Alive(alive_without_fleet),
        ),
        (
            "alive-without-speeds-reply",
            ControlResponse::Alive(alive_without_speeds),
        ),
    ]
}
