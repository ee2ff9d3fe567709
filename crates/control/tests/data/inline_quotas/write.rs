//! Writes what a build says and stores, as files that later builds have to read.
//!
//! Run as an example of the control crate, on the commit whose layouts are wanted:
//! `cp write.rs crates/control/examples/ && cargo run --example write -- FOLDER`.

use std::{fs, path::Path};

use railtack_consensus::{DiskId, Member, ReplicaId};
use railtack_control::{
    Replica, ReplicaOptions, configuration::RevisionCheck, store::Folder,
};
use railtack_rpc::{
    protocol::{Command, Proposal},
    serving::{ConfigurationDocument, ServingCommand},
};
use railtack_serving::{
    HeldWeights, QuotaUnit, ReplicaRecord, ReplicaState, ServingConfiguration, TenantQuota,
    TenantShape,
};
use railtack_storage::FileMedia;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let folder = Path::new(&folder);
    fs::create_dir_all(folder).expect("a folder");
    write_data(&folder.join("data"));
}

fn tenant(name: &str, key: &str) -> TenantShape {
    TenantShape {
        name: name.to_owned(),
        api_keys: vec![key.to_owned()],
        priority: Some(2),
        isolated: false,
        quota: Some(TenantQuota {
            unit: QuotaUnit::Tokens,
            rate_per_s: 50,
            burst: 700,
            unstated_tokens: 30,
        }),
    }
}

fn configuration(revision: u64) -> ServingConfiguration {
    ServingConfiguration {
        revision,
        tenants: vec![tenant("registry", "key-1"), tenant("counter", "key-2")],
        ..ServingConfiguration::default()
    }
}

fn document(revision: u64) -> ConfigurationDocument {
    ConfigurationDocument {
        revision,
        content: format!("document {revision}").into_bytes(),
        configuration: configuration(revision),
    }
}

fn record(id: &str, address: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: address.to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: vec![HeldWeights {
            model: "valuation".to_owned(),
            version: 1,
        }],
        order: None,
        changed_at: 0,
    }
}

/// One member of its own: a snapshot, and a log behind it.
fn write_data(folder: &Path) {
    let media = FileMedia::open(folder).expect("a folder");
    let options = ReplicaOptions {
        cluster: "layouts".to_owned(),
        replica: ReplicaId(1),
        adopts_folder: true,
        new_disk: DiskId(10),
        election_timeout: 300,
        heartbeat_interval: 50,
        snapshot_entries: 10_000,
        snapshot_bytes: 10_000_000,
        claim_retention_ms: 60_000,
        seed: 1,
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    };
    let member = Member {
        replica: ReplicaId(1),
        disk: DiskId(10),
        address: "127.0.0.1:1".to_owned(),
        voter: true,
    };
    Replica::initialize_as(&media as &dyn Folder, &options, vec![member]).expect("initialized");
    let mut replica = Replica::open(&media, options, 0).expect("opened");
    let mut now = 0;
    while !replica.leads_with_current_state() {
        now += 10;
        replica.tick(now);
        replica.advance().expect("advanced");
    }
    let mut commit = |replica: &mut Replica, command: ServingCommand| {
        now += 10;
        let proposal = Proposal {
            at: now,
            command: Command::Serving(command),
        };
        replica.propose(&proposal).expect("proposed");
        replica.advance().expect("advanced");
    };
    commit(&mut replica, ServingCommand::PutDocument(document(3)));
    for (id, address) in [("r-1", "127.0.0.1:9"), ("r-2", "127.0.0.1:8")] {
        commit(&mut replica, ServingCommand::RegisterAll(vec![record(id, address)]));
    }
    let named = HeldWeights {
        model: "valuation".to_owned(),
        version: 2,
    };
    commit(&mut replica, ServingCommand::NameWeights(named));
    replica.compact().expect("compacted");
    commit(&mut replica, ServingCommand::PutDocument(document(4)));
    commit(&mut replica, ServingCommand::RegisterAll(vec![record("r-3", "127.0.0.1:7")]));
    let gone = ServingCommand::Deregister {
        replica: "r-1".to_owned(),
    };
    commit(&mut replica, gone);
    assert_eq!(replica.state().serving().replicas().size(), 2);
}
