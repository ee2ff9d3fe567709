//! Writes what a build says and stores, as files that later builds have to read.
//!
//! Run as an example of the control crate, on the commit whose layouts are wanted:
//! `cp write.rs crates/control/examples/ && cargo run --example write -- FOLDER`.

use std::{fs, path::Path};

use railtack_consensus::{Body, DiskId, Entry, Member, Message, Payload, ReplicaId};
use railtack_control::{
    Replica, ReplicaOptions, configuration::RevisionCheck, store::Folder,
};
use railtack_rpc::{
    FeatureLevel, Sender,
    permits::{LimitedReplica, LimitStatement, PermitReply, PermitRequest, PermitStamp},
    protocol::{Command, Outcome, PollReply, PollRequest, Proposal, ProposeReply, VoterAddress},
    service::{ControlRequest, ControlResponse},
    serving::{
        AliveNotice, AliveReply, ConfigurationDocument, Known, QuarantineUpdate, QuotaReply, QuotaRequest, QuotaSubject, SignOfLife, SuspectStatus, FleetDigest, JoinRequest, ReplicaCondition,
        ReplicaSighting, ServingCommand, ServingOutcome, ServingUpdate, WatchReply, WatchRequest,
    },
};
use railtack_serving::{
    ContentKey, HeldWeights, QuotaUnit, RequestLimit, TenantQuota, ReplicaKey, ReplicaRecord, ReplicaState, ServingConfiguration, TenantShape,
};
use railtack_storage::FileMedia;
use speedy::Writable;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let folder = Path::new(&folder);
    fs::create_dir_all(folder.join("messages")).expect("a folder");
    write_messages(&folder.join("messages"));
    write_stored(folder);
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

fn put(revision: u64) -> ServingCommand {
    ServingCommand::put(document(revision), FeatureLevel::SHARED_GRANTS)
}

fn quarantine() -> QuarantineUpdate {
    QuarantineUpdate {
        changed_at: 6,
        quarantined: vec![ContentKey(7)],
        watched: vec![ContentKey(8)],
    }
}

fn write_messages(folder: &Path) {
    let save = |name: &str, bytes: Vec<u8>| {
        fs::write(folder.join(name), bytes).expect("a file");
    };
    let request = |name: &str, request: ControlRequest| {
        save(name, request.write_to_vec().expect("encoded"));
    };
    let response = |name: &str, response: ControlResponse| {
        save(name, response.write_to_vec().expect("encoded"));
    };
    let sighting = ReplicaSighting {
        replica: ReplicaKey::of("r-1"),
        open_requests: 3,
        unread_tokens: 900,
        heard_ms: 40,
        waiting_in_vain: 0,
    };
    let digest = FleetDigest {
        age_ms: 120,
        replicas: vec![ReplicaCondition {
            replica: ReplicaKey::of("r-1"),
            open_requests: 5,
            unread_tokens: 1_200,
            heard_ms: 60,
            is_dark: false,
        }],
        limited: vec![LimitedReplica {
            replica: ReplicaKey::of("r-1"),
            limit: RequestLimit::per_s(1.5).expect("a limit"),
            named_ms: 80,
        }],
    };
    request(
        "watch-request",
        ControlRequest::Watch {
            request: WatchRequest {
                router: "router-1".to_owned(),
                known: Known {
                    through: 9,
                    changes_through: 8,
                    records_through: 7,
                },
                takes_records: true,
                has_lease: true,
                takes_parts: true,
                wait_ms: 500,
                sightings: vec![sighting],
            },
        },
    );
    response(
        "watch-reply",
        ControlResponse::Watch(WatchReply {
            confirmed_age_ms: Some(35),
            held_ms: 210,
            zone: "a".to_owned(),
            members: vec!["127.0.0.1:1".to_owned()],
            routers: 2,
            update: Some(ServingUpdate {
                known: Known {
                    through: 9,
                    changes_through: 8,
                    records_through: 7,
                },
                quarantine: Some(quarantine()),
                configuration: Some(configuration(4)),
                complete: true,
                replicas: vec![record("r-1", "127.0.0.1:9")],
                removed: vec!["r-0".to_owned()],
                weights: vec![HeldWeights {
                    model: "valuation".to_owned(),
                    version: 1,
                }],
            }),
            fleet: Some(digest.clone()),
            group_level: FeatureLevel::SHARED_GRANTS,
        }),
    );
    request(
        "alive-notice",
        ControlRequest::Alive {
            notice: AliveNotice {
                identities: vec!["r-1".to_owned()],
                replicas: vec![SignOfLife {
                    replica: ReplicaKey::of("r-1"),
                    age_ms: 30,
                }],
                routers: vec!["router-1".to_owned()],
                sender: "127.0.0.1:2".to_owned(),
                sightings: vec![sighting],
            },
        },
    );
    response(
        "alive-reply",
        ControlResponse::Alive(AliveReply {
            routers: 2,
            fleet: Some(digest),
        }),
    );
    request(
        "poll-request",
        ControlRequest::Poll {
            request: PollRequest {
                router: railtack_core::RouterId(1),
                applied: 5,
                want_update: true,
                quarantine_known: 6,
            },
        },
    );
    response(
        "poll-reply",
        ControlResponse::Poll(PollReply {
            replica: ReplicaId(1),
            voter: true,
            last_configuration_index: 5,
            update: None,
            membership_index: 3,
            voters: vec![VoterAddress {
                replica: ReplicaId(1),
                address: "127.0.0.1:1".to_owned(),
            }],
            routers: 2,
            quarantine: Some(quarantine()),
            group_level: FeatureLevel::SHARED_GRANTS,
        }),
    );
    request(
        "propose-request",
        ControlRequest::Propose {
            proposal: Proposal {
                at: 1_000,
                command: Command::Serving(put(3)),
            },
        },
    );
    response(
        "propose-reply",
        ControlResponse::Propose(ProposeReply::Done(Outcome::Serving(ServingOutcome::Done))),
    );
    request(
        "join-request",
        ControlRequest::Join {
            request: JoinRequest {
                replica: ReplicaId(2),
                disk: DiskId(20),
                address: "127.0.0.1:2".to_owned(),
                level: FeatureLevel::SHARED_GRANTS,
            },
        },
    );
    request("read-index-request", ControlRequest::ReadIndex {});
    request(
        "take-quota-request",
        ControlRequest::TakeQuota {
            request: QuotaRequest {
                subject: QuotaSubject::Tenant {
                    name: "registry".to_owned(),
                },
                stated_tokens: Some(900),
                longest_wait_ms: 250,
            },
        },
    );
    response(
        "take-quota-reply",
        ControlResponse::TakeQuota(QuotaReply::Refused {
            retry_after_ms: 300,
            rate_per_s: 50,
            level: -4,
            term: 3,
        }),
    );
    let stamp = PermitStamp {
        term: 3,
        at_ms: 700,
    };
    request(
        "take-permit-request",
        ControlRequest::TakePermit {
            request: PermitRequest {
                life: "r-1".to_owned(),
                statement: LimitStatement {
                    limit: RequestLimit::per_s(1.5).ok(),
                    age_ms: 20,
                    permit: Some(stamp),
                },
                wants_permit: true,
            },
        },
    );
    response(
        "take-permit-reply",
        ControlResponse::TakePermit(PermitReply::Given {
            limit: RequestLimit::per_s(1.5).expect("a limit"),
            stamp,
        }),
    );
    response(
        "suspects-reply",
        ControlResponse::Suspects(vec![SuspectStatus {
            content: ContentKey(7),
            ends: 3,
            is_quarantined: true,
            changed_at: 6,
        }]),
    );
    let proposal = Proposal {
        at: 1_000,
        command: Command::Serving(put(3)),
    };
    request(
        "deliver-request",
        ControlRequest::Deliver {
            message: Message {
                from: ReplicaId(1),
                from_disk: DiskId(10),
                to: ReplicaId(2),
                to_disk: DiskId(20),
                term: 4,
                body: Body::Append {
                    previous_index: 6,
                    previous_term: 3,
                    entries: vec![Entry {
                        index: 7,
                        term: 4,
                        payload: Payload::Command(proposal.write_to_vec().expect("encoded")),
                    }],
                    commit: 6,
                    sent_at: 900,
                },
            },
            sender: Sender::of_this_build("127.0.0.1:1".to_owned()),
        },
    );
}

/// The state and the commands of one member of its own.
fn write_stored(folder: &Path) {
    let stored = folder.join("stored");
    fs::create_dir_all(&stored).expect("a folder");
    let media = FileMedia::open(&folder.join("data")).expect("a folder");
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
    commit(&mut replica, put(3));
    for (id, address) in [("r-1", "127.0.0.1:9"), ("r-2", "127.0.0.1:8")] {
        commit(&mut replica, ServingCommand::RegisterAll(vec![record(id, address)]));
    }
    let named = HeldWeights {
        model: "valuation".to_owned(),
        version: 2,
    };
    commit(&mut replica, ServingCommand::NameWeights(named));
    let end = ServingCommand::RecordEnd {
        replica: ReplicaKey::of("r-2"),
        contents: vec![ContentKey(7)],
        witness: Some("router-1".to_owned()),
    };
    commit(&mut replica, end);
    commit(&mut replica, put(4));
    commit(&mut replica, ServingCommand::RegisterAll(vec![record("r-3", "127.0.0.1:7")]));
    let gone = ServingCommand::Deregister {
        replica: "r-1".to_owned(),
    };
    commit(&mut replica, gone);
    assert_eq!(replica.state().serving().replicas().size(), 2);
    for entry in replica.raft().log().entries_from(1, usize::MAX) {
        if let Payload::Command(command) = &entry.payload {
            let name = format!("command-{}", entry.index);
            fs::write(stored.join(name), command).expect("a file");
        }
    }
    replica.compact().expect("compacted");
    let state = &replica.raft().log().snapshot().state;
    fs::write(stored.join("state"), state).expect("a file");
}
