//! The only version of a service's software, as far as a router can tell.

use std::time::Duration;

use railtack_proxy::streams::history::SoftwareHistory;
use railtack_serving::{ReplicaRecord, ReplicaState, SoftwareVersion};

const SECOND: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn record(service: &str, software: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: "i-1".to_owned(),
        service: service.to_owned(),
        address: "10.0.0.1:1".to_owned(),
        zone: "a".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        weights: Vec::new(),
        order: None,
        changed_at: 0,
        software: SoftwareVersion::parse(software).unwrap_or_default(),
    }
}

fn only(history: &SoftwareHistory, registered: &[ReplicaRecord], now: Duration) -> Option<String> {
    let version = history.only_version("pool", registered.iter(), WINDOW, now);
    version.map(|version| version.to_string())
}

#[test]
fn one_version_is_told_and_several_are_not() {
    let mut history = SoftwareHistory::default();
    let one = [
        record("pool", "v1"),
        record("pool", "v1"),
        record("app", "v7"),
    ];
    assert_eq!(only(&history, &one, SECOND), None, "nothing is known yet");
    history.record_complete(true, SECOND);
    assert_eq!(only(&history, &one, SECOND).as_deref(), Some("v1"));
    let two = [record("pool", "v1"), record("pool", "v1.1")];
    assert_eq!(only(&history, &two, SECOND), None);
    let with_unknown = [record("pool", "v1"), record("pool", "")];
    assert_eq!(only(&history, &with_unknown, SECOND), None);
    assert_eq!(only(&history, &[], SECOND), None);
}

/// Guards against a stream going on at the new version right after the last replica of its own has left.
#[test]
fn a_version_that_has_left_counts_while_its_streams_may_be_taken_up() {
    let mut history = SoftwareHistory::default();
    history.record_complete(true, SECOND);
    let left = [record("pool", "v1")];
    history.record_left(left.iter(), SECOND * 5);
    let registered = [record("pool", "v1.1")];
    assert_eq!(only(&history, &registered, SECOND * 14), None);
    assert_eq!(
        only(&history, &registered, SECOND * 15).as_deref(),
        Some("v1.1")
    );
    assert_eq!(only(&history, &[], SECOND * 6).as_deref(), Some("v1"));
}

/// Guards against a router that has just started taking the only version that it sees for the only one there was.
#[test]
fn a_restarted_router_cannot_tell_until_it_has_watched_for_long_enough() {
    let mut history = SoftwareHistory::default();
    let registered = [record("pool", "v1.1")];
    history.record_complete(false, SECOND);
    history.record_complete(false, SECOND * 8);
    assert_eq!(only(&history, &registered, SECOND * 10), None);
    assert_eq!(
        only(&history, &registered, SECOND * 11).as_deref(),
        Some("v1.1")
    );
}
