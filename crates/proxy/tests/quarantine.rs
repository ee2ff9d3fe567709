//! What a router knows of requests that end replicas.

use std::time::Duration;

use railtack_proxy::quarantine::{
    CrashTracker, QuarantineChange, QuarantineState, REPORT_SETTLE_TIME,
};
use railtack_rpc::serving::{QUARANTINE_DURATION, QuarantineUpdate};
use railtack_serving::ContentKey;
use tokio::time::Instant;

const FATAL: ContentKey = ContentKey(1);
const OTHER: ContentKey = ContentKey(2);

fn told(changed_at: u64, quarantined: &[ContentKey]) -> QuarantineUpdate {
    QuarantineUpdate {
        changed_at,
        quarantined: quarantined.to_vec(),
        suspected: vec![OTHER],
    }
}

#[test]
fn a_caller_is_told_to_come_back_when_the_quarantine_may_end() {
    let start = Instant::now();
    let mut state = QuarantineState::default();
    assert_eq!(state.retry_after(FATAL, start), None);
    let changes = state.apply(&told(5, &[FATAL]), start);
    assert_eq!(changes, [QuarantineChange::Quarantined(FATAL)]);
    assert!(state.should_report_success(FATAL) && state.should_report_success(OTHER));
    assert!(!state.should_report_success(OTHER), "told once");
    assert_eq!(state.retry_after(FATAL, start), Some(QUARANTINE_DURATION));
    assert_eq!(state.retry_after(OTHER, start), None);
    // What is told again does not begin anew.
    let later = start + Duration::from_secs(100);
    assert_eq!(state.apply(&told(6, &[FATAL]), later), []);
    let left = QUARANTINE_DURATION - Duration::from_secs(100);
    assert_eq!(state.retry_after(FATAL, later), Some(left));
    assert!(
        state
            .retry_after(FATAL, start + QUARANTINE_DURATION * 2)
            .is_some()
    );
}

#[test]
fn older_news_that_comes_late_changes_nothing() {
    let now = Instant::now();
    let mut state = QuarantineState::default();
    state.apply(&told(7, &[FATAL]), now);
    assert_eq!(state.apply(&told(6, &[]), now), []);
    assert!(state.retry_after(FATAL, now).is_some());
    let changes = state.apply(&told(8, &[]), now);
    assert_eq!(changes, [QuarantineChange::Released(FATAL)]);
    assert_eq!(state.retry_after(FATAL, now), None);
}

#[test]
fn one_that_is_cleared_by_a_part_of_the_reports_waits_for_the_others() {
    let start = Instant::now();
    let mut state = QuarantineState::default();
    state.apply(&told(7, &[OTHER]), start);
    let soon = start + REPORT_SETTLE_TIME / 4;
    let changes = state.apply(&told(8, &[]), soon);
    assert_eq!(changes, [QuarantineChange::Released(OTHER)]);
    let settled = soon + REPORT_SETTLE_TIME;
    assert_eq!(state.reports_complete_at(OTHER, soon), Some(settled));
    assert_eq!(state.reports_complete_at(OTHER, settled), None);
    assert_eq!(
        state.reports_complete_at(FATAL, soon),
        None,
        "nobody suspects it"
    );
    // The next end begins the time anew, though the lists are the same.
    assert_eq!(state.apply(&told(9, &[]), settled), []);
    let settled_anew = settled + REPORT_SETTLE_TIME;
    assert_eq!(
        state.reports_complete_at(OTHER, settled),
        Some(settled_anew)
    );
}

#[test]
fn all_requests_whose_connections_broke_are_reported_once() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    assert!(
        tracker.record_broken_connection("r", FATAL, now),
        "nobody looks yet"
    );
    assert!(
        !tracker.record_broken_connection("r", OTHER, now),
        "somebody looks already"
    );
    assert!(tracker.is_crash_check_pending(FATAL));
    assert_eq!(tracker.take_unreported("r"), [FATAL, OTHER]);
    // Still awaited while it is being reported; one that breaks meanwhile is reported next.
    assert!(tracker.is_crash_check_pending(FATAL));
    tracker.record_broken_connection("r", ContentKey(3), now);
    assert_eq!(tracker.take_unreported("r"), [ContentKey(3)]);
    assert_eq!(tracker.take_unreported("r"), []);
    tracker.forget("r");
    assert!(!tracker.is_crash_check_pending(FATAL));
    assert!(tracker.record_broken_connection("r", FATAL, now));
}

#[test]
fn nobody_waits_for_what_may_take_long() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_broken_connection("r", FATAL, now);
    tracker.stop_blocking("r");
    assert!(!tracker.is_crash_check_pending(FATAL));
    assert_eq!(tracker.take_unreported("r"), [FATAL]);
}

#[test]
fn what_has_just_run_well_is_not_blamed() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_success(OTHER, start);
    tracker.record_broken_connection("r", OTHER, start + Duration::from_secs(10));
    tracker.record_broken_connection("r", FATAL, start + Duration::from_secs(10));
    assert_eq!(tracker.take_unreported("r"), [FATAL]);
    // A good end long ago clears nothing.
    tracker.record_broken_connection("s", OTHER, start + Duration::from_secs(100));
    assert_eq!(tracker.take_unreported("s"), [OTHER]);
}
