//! Writes the messages, the command and the state that grew with the software versions of replicas, as files that
//! later builds have to read.
//!
//! Run as an example of the control crate, on the commit whose layouts are wanted:
//! `cp write.rs crates/control/examples/ && cargo run --example write -- FOLDER`.

use std::{fs, path::Path};

use railtack_control::{ControlState, configuration::RevisionCheck};
use railtack_rpc::{
    FeatureLevel,
    layout::VersionedRecords,
    protocol::{Command, Proposal},
    service::{ControlRequest, ControlResponse},
    serving::{ServingCommand, ServingUpdate, WatchPosition, WatchReply},
    streams::{OnlyVersionRequest, StreamRecord},
};
use railtack_serving::{
    ModelWeights, ReplicaRecord, ReplicaState, SoftwareVersion, StreamKey, StreamOrigin,
};
use speedy::Writable;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let messages = Path::new(&folder).join("messages");
    let stored = Path::new(&folder).join("stored");
    fs::create_dir_all(&messages).expect("a folder");
    fs::create_dir_all(&stored).expect("a folder");
    for (name, request) in requests() {
        let bytes = request.write_to_vec().expect("encoded");
        fs::write(messages.join(name), bytes).expect("a file");
    }
    for (name, response) in responses() {
        let bytes = response.write_to_vec().expect("encoded");
        fs::write(messages.join(name), bytes).expect("a file");
    }
    write_stored(&stored);
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::parse(text).expect("a version")
}

fn record(number: u16, software: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("r-{number}"),
        service: "pool".to_owned(),
        address: format!("127.0.0.1:{number}"),
        zone: "zone-a".to_owned(),
        slots: 16,
        state: ReplicaState::Ready,
        weights: vec![ModelWeights {
            model: "valuation".to_owned(),
            version: 2,
        }],
        order: None,
        changed_at: 3,
        software: SoftwareVersion::parse(software).unwrap_or_default(),
    }
}

fn records() -> Vec<ReplicaRecord> {
    vec![record(1, "v1"), record(2, "v1.1"), record(3, ""), record(4, "v1")]
}

fn register() -> ServingCommand {
    ServingCommand::RegisterVersioned(VersionedRecords(records()))
}

fn proposal(command: ServingCommand) -> Proposal {
    Proposal {
        at: 17,
        command: Command::Serving(command),
    }
}

fn requests() -> Vec<(&'static str, ControlRequest)> {
    let key = StreamKey(0x0123_4567_89ab_cdef);
    let record = StreamRecord {
        key,
        origin: StreamOrigin {
            service: "pool".to_owned(),
            software: version("v1.1"),
        },
        keep_ms: 6_000,
    };
    let request = OnlyVersionRequest {
        service: "pool".to_owned(),
        window_ms: 35_000,
    };
    vec![
        (
            "propose-request",
            ControlRequest::Propose {
                proposal: proposal(register()),
            },
        ),
        (
            "record-streams-request",
            ControlRequest::RecordStreams {
                records: vec![record],
            },
        ),
        ("find-stream-request", ControlRequest::FindStream { key }),
        (
            "only-version-request",
            ControlRequest::OnlyVersion { request },
        ),
    ]
}

fn responses() -> Vec<(&'static str, ControlResponse)> {
    let watch = WatchReply {
        confirmed_age_ms: Some(50),
        delayed_ms: 100,
        zone: "zone-a".to_owned(),
        members: vec!["10.0.0.1:7700".to_owned()],
        routers: 65,
        update: Some(ServingUpdate {
            position: WatchPosition::at(9),
            complete: true,
            replicas: records(),
            ..ServingUpdate::default()
        }),
        fleet: None,
        group_level: FeatureLevel::SOFTWARE_VERSIONS,
        relays: Vec::new(),
    };
    let origin = StreamOrigin {
        service: "pool".to_owned(),
        software: version("v1.1"),
    };
    vec![
        ("watch-reply", ControlResponse::Watch(watch)),
        ("record-streams-reply", ControlResponse::RecordStreams(true)),
        (
            "find-stream-reply",
            ControlResponse::FindStream(Some(origin)),
        ),
        (
            "only-version-reply",
            ControlResponse::OnlyVersion(Some(version("v1"))),
        ),
    ]
}

fn write_stored(folder: &Path) {
    let replica = "r-2".to_owned();
    let commands = [register(), ServingCommand::Deregister { replica }];
    let mut state = ControlState::new(60_000);
    for (index, command) in (3..).zip(commands) {
        let proposal = proposal(command);
        let bytes = proposal.write_to_vec().expect("encoded");
        fs::write(folder.join(format!("command-{index}")), bytes).expect("a file");
        state.apply(index, proposal, RevisionCheck::Enforced);
    }
    let bytes = state.write_to_vec().expect("encoded");
    fs::write(folder.join("state"), bytes).expect("a file");
}
