//! Quarantine state and crash reports of a router.

use std::time::Duration;

use railtack_proxy::{
    crash_tracker::CrashTracker,
    quarantine::{QuarantineChange, QuarantineState, REPORT_SETTLE_TIME, SEGMENT_SETTLE_TIME},
};
use railtack_rpc::serving::{QUARANTINE_DURATION, QuarantineUpdate};
use railtack_serving::ContentKey;
use tokio::time::Instant;

const FATAL: ContentKey = ContentKey(1);
const OTHER: ContentKey = ContentKey(2);

fn update(changed_at: u64, quarantined: &[ContentKey]) -> QuarantineUpdate {
    QuarantineUpdate {
        changed_at,
        quarantined: quarantined.to_vec(),
        suspected: vec![OTHER],
    }
}

#[test]
fn the_retry_delay_ends_when_the_quarantine_may_end() {
    let start = Instant::now();
    let mut state = QuarantineState::default();
    assert_eq!(state.retry_after(FATAL, start), None);
    let changes = state.apply(&update(5, &[FATAL]), start);
    assert_eq!(changes, [QuarantineChange::Quarantined(FATAL)]);
    assert!(state.should_report_success(FATAL) && state.should_report_success(OTHER));
    assert!(!state.should_report_success(OTHER), "reported once");
    assert_eq!(state.retry_after(FATAL, start), Some(QUARANTINE_DURATION));
    assert_eq!(state.retry_after(OTHER, start), None);
    // Repeating a quarantine does not restart its time.
    let later = start + Duration::from_secs(100);
    assert_eq!(state.apply(&update(6, &[FATAL]), later), []);
    let left = QUARANTINE_DURATION - Duration::from_secs(100);
    assert_eq!(state.retry_after(FATAL, later), Some(left));
    assert!(
        state
            .retry_after(FATAL, start + QUARANTINE_DURATION * 2)
            .is_some()
    );
}

#[test]
fn a_late_older_update_is_ignored() {
    let now = Instant::now();
    let mut state = QuarantineState::default();
    state.apply(&update(7, &[FATAL]), now);
    assert_eq!(state.apply(&update(6, &[]), now), []);
    assert!(state.retry_after(FATAL, now).is_some());
    let changes = state.apply(&update(8, &[]), now);
    assert_eq!(changes, [QuarantineChange::Released(FATAL)]);
    assert_eq!(state.retry_after(FATAL, now), None);
}

#[test]
fn a_request_cleared_by_a_partial_report_waits_for_the_others() {
    let start = Instant::now();
    let mut state = QuarantineState::default();
    state.apply(&update(7, &[OTHER]), start);
    let soon = start + REPORT_SETTLE_TIME / 4;
    let changes = state.apply(&update(8, &[]), soon);
    assert_eq!(changes, [QuarantineChange::Released(OTHER)]);
    let complete_at = soon + REPORT_SETTLE_TIME;
    assert_eq!(state.reports_complete_at(OTHER, soon), Some(complete_at));
    assert_eq!(state.reports_complete_at(OTHER, complete_at), None);
    assert_eq!(
        state.reports_complete_at(FATAL, soon),
        None,
        "not suspected"
    );
    // The next crash restarts the time, although the lists are the same.
    assert_eq!(state.apply(&update(9, &[]), complete_at), []);
    let extended = complete_at + REPORT_SETTLE_TIME;
    assert_eq!(
        state.reports_complete_at(OTHER, complete_at),
        Some(extended)
    );
}

#[test]
fn each_request_with_a_broken_connection_is_reported_once() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    assert!(
        tracker.record_broken_connection("r", FATAL, now),
        "no check in progress"
    );
    assert!(
        !tracker.record_broken_connection("r", OTHER, now),
        "check in progress"
    );
    assert!(tracker.is_crash_check_pending(FATAL));
    assert_eq!(tracker.take_unreported("r"), [FATAL, OTHER]);
    // Still pending while it is being reported; a request whose connection breaks now is reported
    // next.
    assert!(tracker.is_crash_check_pending(FATAL));
    tracker.record_broken_connection("r", ContentKey(3), now);
    assert_eq!(tracker.take_unreported("r"), [ContentKey(3)]);
    assert_eq!(tracker.take_unreported("r"), []);
    tracker.remove("r");
    assert!(!tracker.is_crash_check_pending(FATAL));
    assert!(tracker.record_broken_connection("r", FATAL, now));
}

#[test]
fn requests_do_not_wait_for_a_long_check() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_broken_connection("r", FATAL, now);
    tracker.stop_blocking("r");
    assert!(!tracker.is_crash_check_pending(FATAL));
    assert_eq!(tracker.take_unreported("r"), [FATAL]);
}

#[test]
fn a_recently_successful_request_is_not_reported() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_success(OTHER, start);
    tracker.record_broken_connection("r", OTHER, start + Duration::from_secs(10));
    tracker.record_broken_connection("r", FATAL, start + Duration::from_secs(10));
    assert_eq!(tracker.take_unreported("r"), [FATAL]);
    // An old success does not clear a request.
    tracker.record_broken_connection("s", OTHER, start + Duration::from_secs(100));
    assert_eq!(tracker.take_unreported("s"), [OTHER]);
}

/// Guards against a broken connection that a running check does not cover and whose crash is never looked for.
#[test]
fn a_connection_that_breaks_during_a_check_is_checked_again() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_broken_connection("r", OTHER, start);
    let later = start + Duration::from_millis(900);
    tracker.record_broken_connection("r", FATAL, later);
    assert_eq!(tracker.end_check("r", start), Some(later));
    assert_eq!(tracker.take_unreported("r"), [OTHER, FATAL]);
    assert_eq!(tracker.end_check("r", later), None);
    assert!(
        tracker.record_broken_connection("r", FATAL, later),
        "a new check"
    );
}

/// Guards against the removal of a request that was added after the last look at the requests to report.
#[test]
fn records_with_unreported_requests_are_not_removed() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_broken_connection("r", FATAL, now);
    assert_eq!(tracker.take_unreported("r"), [FATAL]);
    tracker.record_broken_connection("r", OTHER, now);
    assert!(!tracker.remove("r"));
    assert_eq!(tracker.take_unreported("r"), [OTHER]);
    assert!(tracker.remove("r"));
}

/// Guards against popular segments that are refused for the moment in which many replicas crash at once.
#[test]
fn a_segment_is_refused_only_if_it_stays_quarantined() {
    let segment = ContentKey::of_prompt_segment("pool", 1);
    let mut state = QuarantineState::default();
    let update = |changed_at, quarantined| QuarantineUpdate {
        changed_at,
        quarantined,
        suspected: Vec::new(),
    };
    let start = Instant::now();
    state.apply(&update(1, vec![segment]), start);
    assert_eq!(state.retry_after(segment, start), None);
    state.apply(&update(2, Vec::new()), start + SEGMENT_SETTLE_TIME / 2);
    state.apply(&update(3, vec![segment]), start + SEGMENT_SETTLE_TIME / 2);
    assert_eq!(
        state.retry_after(segment, start + SEGMENT_SETTLE_TIME),
        None
    );
    let settled_at = start + SEGMENT_SETTLE_TIME * 3 / 2;
    assert!(state.retry_after(segment, settled_at).is_some());
}
