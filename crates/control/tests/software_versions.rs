//! Software versions of replicas in the replicated state and in the updates of routers.

use std::time::Duration;

use railtack_control::{serving::software::ChangeTimes, serving_state::ServingState};
use railtack_rpc::{
    FeatureLevel,
    layout::VersionedRecords,
    serving::{ServingCommand, ServingUpdate, WatchPosition, WatchReply},
};
use railtack_serving::{ReplicaRecord, ReplicaState, SoftwareVersion, SoftwareVersionError};
use speedy::{Readable, Writable};

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::parse(text).expect("a version")
}

fn record(number: u16, software: SoftwareVersion) -> ReplicaRecord {
    ReplicaRecord {
        id: format!("i-{number}"),
        service: "pool".to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: Vec::new(),
        order: None,
        changed_at: 0,
        software,
    }
}

fn records() -> Vec<ReplicaRecord> {
    vec![
        record(1, version("v1")),
        record(2, version("v1.1")),
        record(3, SoftwareVersion::default()),
        record(4, version("v1")),
    ]
}

fn software(state: &ServingState) -> Vec<String> {
    let records = state.replicas().values();
    records.map(|record| record.software.to_string()).collect()
}

fn whole_update(state: &ServingState) -> ServingUpdate {
    let update = state.update_after(WatchPosition::default());
    update.expect("an update")
}

#[test]
fn versions_are_kept_in_commands_snapshots_and_updates() {
    let command = ServingCommand::RegisterVersioned(VersionedRecords(records()));
    let bytes = command.write_to_vec().expect("encoded");
    let command = ServingCommand::read_from_buffer(&bytes).expect("a command");
    let mut state = ServingState::default();
    state.apply(1, command);
    assert_eq!(software(&state), ["v1", "v1.1", "", "v1"]);

    let bytes = state.write_to_vec().expect("encoded");
    let stored = ServingState::read_from_buffer(&bytes).expect("a state");
    assert_eq!(stored, state);

    let reply = WatchReply {
        confirmed_age_ms: Some(1),
        delayed_ms: 2,
        zone: "a".to_owned(),
        members: Vec::new(),
        routers: 3,
        update: Some(whole_update(&state)),
        fleet: None,
        group_level: FeatureLevel::SOFTWARE_VERSIONS,
        relays: Vec::new(),
        configuration: None,
        invalidations: None,
        target_ages: Vec::new(),
    };
    let bytes = reply.write_to_vec().expect("encoded");
    assert_eq!(
        WatchReply::read_from_buffer(&bytes).expect("a reply"),
        reply
    );
}

/// Guards against a message without a version, of a previous build or about weights, dropping the known one.
#[test]
fn a_known_version_stays_known() {
    let mut state = ServingState::default();
    state.apply(
        1,
        ServingCommand::RegisterVersioned(VersionedRecords(records())),
    );
    state.apply(
        2,
        ServingCommand::Register(record(2, SoftwareVersion::default())),
    );
    assert_eq!(software(&state), ["v1", "v1.1", "", "v1"]);
}

/// Guards against a restarted replica being taken for one of the version that it ran before.
#[test]
fn a_new_incarnation_does_not_inherit_the_version() {
    let mut state = ServingState::default();
    let mut restarted = record(1, version("v1"));
    state.apply(
        1,
        ServingCommand::RegisterVersioned(VersionedRecords(vec![restarted.clone()])),
    );
    restarted.id = "i-1#1791139989053".to_owned();
    restarted.software = SoftwareVersion::default();
    state.apply(2, ServingCommand::RegisterAll(vec![restarted]));
    assert_eq!(software(&state), [""]);
}

/// Guards against members of previous builds meeting bytes that they cannot read: without the new level nothing
/// is added to records, snapshots and updates.
#[test]
fn below_its_level_nothing_is_added() {
    let with_versions = ServingCommand::RegisterAll(records());
    let without = records().into_iter().map(|known| ReplicaRecord {
        software: SoftwareVersion::default(),
        ..known
    });
    let without = ServingCommand::RegisterAll(without.collect());
    let bytes = with_versions.write_to_vec().expect("encoded");
    assert_eq!(bytes, without.write_to_vec().expect("encoded"));
    assert_eq!(without.required_level(), FeatureLevel::SHARED_GRANTS);
    let versioned = ServingCommand::RegisterVersioned(VersionedRecords(Vec::new()));
    assert_eq!(versioned.required_level(), FeatureLevel::SOFTWARE_VERSIONS);
}

#[test]
fn versions_are_bounded() {
    let longest = "x".repeat(railtack_serving::software::MAX_VERSION_BYTES);
    assert!(SoftwareVersion::parse(&longest).is_ok());
    let cases = [
        ("", SoftwareVersionError::Length),
        ("a\nb", SoftwareVersionError::ControlCharacter),
    ];
    for (text, error) in cases {
        assert_eq!(SoftwareVersion::parse(text), Err(error));
    }
    let too_long = SoftwareVersion::parse(&(longest + "x"));
    assert_eq!(too_long, Err(SoftwareVersionError::Length));
}

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn registered(versions: &[&str]) -> ServingState {
    let mut state = ServingState::default();
    let records = (1..).zip(versions);
    let records = records
        .map(|(number, text)| record(number, SoftwareVersion::parse(text).unwrap_or_default()));
    let command = ServingCommand::RegisterVersioned(VersionedRecords(records.collect()));
    state.apply(1, command);
    state
}

fn deregister(state: &mut ServingState, index: u64, replica: &str) {
    let replica = replica.to_owned();
    state.apply(index, ServingCommand::Deregister { replica });
}

fn only(times: &mut ChangeTimes, state: &ServingState, now: Duration) -> Option<String> {
    let version = times.only_version(state, "pool", WINDOW, now);
    version.map(|version| version.to_string())
}

#[test]
fn one_version_is_told_and_several_are_not() {
    let mut times = ChangeTimes::default();
    let mut only = |versions: &[&str]| only(&mut times, &registered(versions), SECOND);
    assert_eq!(only(&["v1", "v1"]).as_deref(), Some("v1"));
    assert_eq!(only(&["", ""]).as_deref(), Some(""));
    assert_eq!(only(&["v1", "v1.1"]), None);
    assert_eq!(only(&["v1", ""]), None);
    assert_eq!(only(&[]), None);
}

/// Guards against a stream going on at the new version right after the last replica of its own has left, also at a
/// control replica that restarted meanwhile.
#[test]
fn a_version_that_has_left_counts_while_its_streams_may_be_taken_up() {
    let mut state = registered(&["v1", "v1.1"]);
    let mut times = ChangeTimes::default();
    deregister(&mut state, 2, "i-1");
    times.observe(&state, SECOND * 5);
    assert_eq!(only(&mut times, &state, SECOND * 14), None);
    assert_eq!(
        only(&mut times, &state, SECOND * 15).as_deref(),
        Some("v1.1")
    );

    let bytes = state.write_to_vec().expect("encoded");
    let stored = ServingState::read_from_buffer(&bytes).expect("a state");
    assert_eq!(stored, state);
    let mut after_restart = ChangeTimes::default();
    assert_eq!(only(&mut after_restart, &stored, SECOND), None);
    assert_eq!(
        only(&mut after_restart, &stored, SECOND * 11).as_deref(),
        Some("v1.1")
    );
}

/// Guards against a version being forgotten that is replaced by a restart in place, expires, or is named anew.
#[test]
fn every_way_to_leave_is_remembered() {
    let restart: fn(&mut ServingState) = |state| {
        let mut again = record(1, version("v1.1"));
        again.id = "i-1#1791139989053".to_owned();
        let records = VersionedRecords(vec![again]);
        state.apply(2, ServingCommand::RegisterVersioned(records));
    };
    let expiry: fn(&mut ServingState) = |state| {
        let replica = "i-1".to_owned();
        state.apply(2, ServingCommand::Expire { replica });
    };
    let other_version: fn(&mut ServingState) = |state| {
        let records = VersionedRecords(vec![record(1, version("v1.1"))]);
        state.apply(2, ServingCommand::RegisterVersioned(records));
    };
    for leave in [restart, expiry, other_version] {
        let mut state = registered(&["v1", "v1.1"]);
        leave(&mut state);
        let mut times = ChangeTimes::default();
        assert_eq!(only(&mut times, &state, SECOND), None);
        assert_eq!(
            only(&mut times, &state, SECOND * 11).as_deref(),
            Some("v1.1")
        );
    }
}

/// Guards against a replica that names its version for the first time counting as two versions.
#[test]
fn a_replica_that_named_no_version_before_has_one() {
    let mut state = registered(&[""]);
    let records = VersionedRecords(vec![record(1, version("v1"))]);
    state.apply(2, ServingCommand::RegisterVersioned(records));
    let mut times = ChangeTimes::default();
    assert_eq!(only(&mut times, &state, SECOND).as_deref(), Some("v1"));
}

/// Guards against former versions growing without bound.
#[test]
fn former_versions_are_bounded() {
    let mut state = ServingState::default();
    for number in 0..600_u64 {
        let records = vec![record(1, version(&format!("v{number}")))];
        let command = ServingCommand::RegisterVersioned(VersionedRecords(records));
        state.apply(2 * number + 1, command);
        let replica = "i-1".to_owned();
        state.apply(2 * number + 2, ServingCommand::Expire { replica });
    }
    assert_eq!(state.former_versions().iter().count(), 256);
}
