//! Writes the messages that grew with the transfer of the configuration in parts, as files that later builds have to
//! read.
//!
//! Run as an example of the control crate, on the commit whose layouts are wanted:
//! `cp write.rs crates/control/examples/ && cargo run --example write -- FOLDER`.

use std::{fs, path::Path};

use railtack_rpc::{
    FeatureLevel,
    service::{ControlRequest, ControlResponse},
    serving::{
        ConfigurationPart, ConfigurationPosition, TransferPosition, WatchPosition, WatchReply,
        WatchRequest,
    },
};
use railtack_serving::{
    CallerLimits, ConfigurationItem, EngineConfig, ItemKey, QuotaUnit, RequestKind, Route,
    ServiceConfig, TenantConfig, TenantQuota, WeightedService,
};
use speedy::Writable;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let messages = Path::new(&folder).join("messages");
    fs::create_dir_all(&messages).expect("a folder");
    let request = ControlRequest::Watch { request: request() };
    let bytes = request.write_to_vec().expect("encoded");
    fs::write(messages.join("watch-request"), bytes).expect("a file");
    let bytes = ControlResponse::Watch(reply()).write_to_vec();
    fs::write(messages.join("watch-reply"), bytes.expect("encoded")).expect("a file");
}

fn position() -> ConfigurationPosition {
    ConfigurationPosition {
        complete_through: 5,
        newest: 9,
        transfer: Some(TransferPosition {
            through: 8,
            last: ItemKey::Route {
                host: "a.example".to_owned(),
                path_prefix: "/chat/".to_owned(),
            },
        }),
    }
}

fn request() -> WatchRequest {
    WatchRequest {
        router: "router-1".to_owned(),
        position: WatchPosition::at(5),
        wait_ms: 500,
        wants_records: true,
        has_lease: true,
        accepts_partial: true,
        observations: Vec::new(),
        paces: Vec::new(),
        relay_address: None,
        configuration: Some(position()),
    }
}

fn items() -> Vec<ConfigurationItem> {
    let name = || "pool".to_owned();
    let service = ServiceConfig {
        name: name(),
        max_connections: 100,
        engine: Some(EngineConfig {
            slots: 8,
            kv_capacity_tokens: 100_000,
            token_bytes: 1_000,
            models: vec!["m".to_owned()],
        }),
        store: None,
    };
    let tenant = TenantConfig {
        name: "office".to_owned(),
        api_keys: vec!["k1".to_owned()],
        priority: Some(2),
        isolated: true,
        quota: Some(quota()),
    };
    let route = Route {
        name: "chat".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/chat/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        timeout_ms: 4_000,
        objective_ms: 1_000,
        gap_objective_ms: 500,
        priority: 1,
        targets: vec![WeightedService {
            service: name(),
            weight_milli: 1_000,
        }],
        max_attempts: 2,
        allows_anonymous: false,
        sticky: true,
    };
    vec![
        ConfigurationItem::Limits(CallerLimits::default()),
        ConfigurationItem::Service(service),
        ConfigurationItem::Tenant {
            tenant,
            quota: Some(quota()),
            position: 1,
        },
        ConfigurationItem::Route(route),
    ]
}

fn quota() -> TenantQuota {
    TenantQuota {
        unit: QuotaUnit::Tokens,
        rate_per_s: 1_000,
        burst: 8_000,
        default_tokens: 200,
    }
}

fn reply() -> WatchReply {
    WatchReply {
        confirmed_age_ms: Some(50),
        delayed_ms: 100,
        zone: "zone-a".to_owned(),
        members: vec!["10.0.0.1:7700".to_owned()],
        routers: 65,
        update: None,
        fleet: None,
        group_level: FeatureLevel::SOFTWARE_VERSIONS,
        relays: Vec::new(),
        configuration: Some(ConfigurationPart {
            starts_over: true,
            items: items(),
            removed: vec![ItemKey::Service {
                name: "former".to_owned(),
            }],
            revision: 7,
            position: position(),
        }),
    }
}
