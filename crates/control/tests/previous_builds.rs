//! Compatibility with the messages and data folders of previous builds during a rolling upgrade.
//!
//! The bytes in `data/production` were written by such a build. A build that cannot read them loses
//! the log and the state of the group, and replicas of both builds cannot exchange messages.

use std::{
    fs,
    path::{Path, PathBuf},
};

use railtack_consensus::{DiskId, ReplicaId};
use railtack_control::{ControlState, Replica, ReplicaOptions, configuration::RevisionCheck};
use railtack_rpc::{
    FeatureLevel,
    layout::read_proposal,
    service::{ControlRequest, ControlResponse},
};
use railtack_storage::FileMedia;
use speedy::{Readable, Writable};

fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data")
}

fn message(name: &str) -> Vec<u8> {
    fs::read(data().join("production/messages").join(name))
        .expect("a message of the previous build")
}

fn request(name: &str) -> ControlRequest {
    ControlRequest::read_from_buffer(&message(name))
        .unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn response(name: &str) -> ControlResponse {
    ControlResponse::read_from_buffer(&message(name))
        .unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn options() -> ReplicaOptions {
    ReplicaOptions {
        cluster: "layouts".to_owned(),
        replica: ReplicaId(1),
        accept_stored_id: true,
        new_disk: DiskId(11),
        election_timeout: 300,
        heartbeat_interval: 50,
        snapshot_entries: 10_000,
        snapshot_bytes: 10_000_000,
        claim_retention_ms: 60_000,
        seed: 1,
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    }
}

fn copy_of_folder(build: &str, name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // The folder exists only if an earlier run was aborted.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    for file in fs::read_dir(data().join(build).join("data"))
        .expect("the data folder of the previous build")
    {
        let file = file.expect("a file");
        fs::copy(file.path(), folder.join(file.file_name())).expect("a copy");
    }
    folder
}

fn elect_as_leader(replica: &mut Replica) {
    let mut now = 0;
    while !replica.is_ready_leader() {
        now += 10;
        assert!(now < 10_000, "no leader");
        replica.tick(now);
        replica.advance().expect("advanced");
    }
}

#[test]
fn a_data_folder_of_a_previous_build_is_opened() {
    let media = FileMedia::open(copy_of_folder("production", "previous-folder")).expect("a folder");
    let mut replica = Replica::open(&media, options(), 0).expect("opened");
    elect_as_leader(&mut replica);
    let serving = replica.state().serving();
    assert_eq!(serving.content(), Some(b"document 4".as_slice()));
    let tenants = &serving.configuration().tenants;
    let names: Vec<&str> = tenants.iter().map(|tenant| tenant.name.as_str()).collect();
    assert_eq!(names, ["registry", "counter"]);
    assert_eq!(tenants[1].api_keys, ["key-2"]);
    assert_eq!(serving.weights()["valuation"], 2);
    let replicas: Vec<&str> = serving.replicas().keys().map(String::as_str).collect();
    assert_eq!(replicas, ["r-3"]);
    assert!(serving.has_departed("r-1"));
    assert!(serving.has_departed("r-2"));
}

#[test]
fn messages_of_a_previous_build_are_decoded() {
    let ControlRequest::Watch { request: watch } = request("watch-request") else {
        panic!("not a watch request");
    };
    assert_eq!(
        (watch.router.as_str(), watch.position.state),
        ("router-1", 7)
    );
    assert!(watch.position.is_complete() && watch.position.is_current());
    assert_eq!((watch.wait_ms, watch.observations.len()), (500, 1));

    let ControlResponse::Watch(reply) = response("watch-reply") else {
        panic!("not a reply to `watch`");
    };
    assert_eq!((reply.confirmed_age_ms, reply.routers), (Some(35), 2));
    let update = reply.update.expect("an update");
    assert!(update.position.is_complete() && update.complete);
    assert_eq!((update.position.state, update.replicas.len()), (9, 1));
    assert_eq!(
        update.configuration.expect("a configuration").tenants.len(),
        2
    );
    assert_eq!(reply.fleet.expect("a digest").replicas[0].open_requests, 5);

    let ControlRequest::Alive { notice } = request("alive-notice") else {
        panic!("not a liveness report");
    };
    assert_eq!(notice.sender, "127.0.0.1:2");
    assert_eq!((notice.routers.len(), notice.observations.len()), (1, 1));

    let ControlResponse::Alive(reply) = response("alive-reply") else {
        panic!("not a reply to `alive`");
    };
    assert_eq!(
        (reply.routers, reply.fleet.map(|fleet| fleet.age_ms)),
        (2, Some(120))
    );

    let ControlRequest::Poll { request: poll } = request("poll-request") else {
        panic!("not a poll request");
    };
    assert_eq!(
        (poll.applied, poll.want_update, poll.quarantine_known),
        (5, true, 0)
    );

    let ControlResponse::Poll(reply) = response("poll-reply") else {
        panic!("not a reply to `poll`");
    };
    assert_eq!(
        (
            reply.last_configuration_index,
            reply.routers,
            reply.quarantine
        ),
        (5, 2, None)
    );

    assert!(matches!(
        request("propose-request"),
        ControlRequest::Propose { .. }
    ));
    assert!(matches!(
        response("propose-reply"),
        ControlResponse::Propose(_)
    ));
    assert!(matches!(
        request("join-request"),
        ControlRequest::Join { .. }
    ));
    assert!(matches!(
        request("read-index-request"),
        ControlRequest::ReadIndex {}
    ));
    assert!(matches!(
        request("deliver-request"),
        ControlRequest::Deliver { .. }
    ));
}

/// Previous builds ignore bytes after the message that they know.
#[test]
fn encoded_messages_begin_with_the_previous_layout() {
    let requests = [
        "watch-request",
        "alive-notice",
        "poll-request",
        "propose-request",
        "join-request",
        "read-index-request",
        "deliver-request",
    ];
    for name in requests {
        let written = request(name).write_to_vec().expect("encoded");
        assert!(written.starts_with(&message(name)), "{name}");
    }
    for name in ["watch-reply", "alive-reply", "poll-reply", "propose-reply"] {
        let written = response(name).write_to_vec().expect("encoded");
        assert!(written.starts_with(&message(name)), "{name}");
    }
    // Log entries and snapshots must not have trailing bytes.
    let proposed = request("propose-request").write_to_vec().expect("encoded");
    assert_eq!(proposed, message("propose-request"));
}

#[test]
fn a_state_of_a_previous_build_is_written_unchanged() {
    let media = FileMedia::open(copy_of_folder("production", "previous-state")).expect("a folder");
    let replica = Replica::open(&media, options(), 0).expect("opened");
    let bytes = &replica.raft().log().snapshot().state;
    let state = ControlState::read_from_buffer(bytes).expect("a state");
    assert_eq!(state.serving().level(), FeatureLevel::FIRST);
    assert_eq!(&state.write_to_vec().expect("encoded"), bytes);
}

/// Some builds stored the quota of each tenant inline, without a version of the layout.
#[test]
fn a_data_folder_with_inline_quotas_is_opened() {
    let folder = copy_of_folder("inline_quotas", "inline-quotas");
    let media = FileMedia::open(folder).expect("a folder");
    let mut replica = Replica::open(&media, options(), 0).expect("opened");
    let snapshot = replica.state().serving();
    assert_eq!(snapshot.content(), Some(b"document 3".as_slice()));
    assert_eq!(snapshot.level(), FeatureLevel::SHARED_GRANTS);
    elect_as_leader(&mut replica);
    let serving = replica.state().serving();
    assert_eq!(serving.content(), Some(b"document 4".as_slice()));
    let tenants = &serving.configuration().tenants;
    let quotas: Vec<u64> = tenants
        .iter()
        .filter_map(|tenant| Some(tenant.quota?.burst))
        .collect();
    assert_eq!(quotas, [700, 700]);
    assert_eq!(tenants[1].api_keys, ["key-2"]);
    let replicas: Vec<&str> = serving.replicas().keys().map(String::as_str).collect();
    assert_eq!(replicas, ["r-2", "r-3"]);
    assert!(serving.has_departed("r-1"));
}

/// A build older than the data must not ignore what it cannot read.
#[test]
fn trailing_bytes_after_a_known_layout_are_rejected() {
    let mut bytes = message("propose-request");
    let mut command = bytes.split_off(4);
    assert!(read_proposal(&command).is_ok());
    command.push(0);
    assert!(read_proposal(&command).is_err());
    command.truncate(command.len() - 2);
    assert!(read_proposal(&command).is_err());
}
