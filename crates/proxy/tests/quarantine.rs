//! What a router knows of requests that end replicas.

use std::time::Duration;

use railtack_proxy::quarantine::{EndsMet, QuarantineChange, QuarantineKnowledge, REPORTS_COME_IN};
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
    let mut known = QuarantineKnowledge::default();
    assert_eq!(known.pause(FATAL, start), None);
    let changes = known.learn(&told(5, &[FATAL]), start);
    assert_eq!(changes, [QuarantineChange::Quarantined(FATAL)]);
    assert!(known.take_good_end(FATAL) && known.take_good_end(OTHER));
    assert!(!known.take_good_end(OTHER), "told once");
    assert_eq!(known.pause(FATAL, start), Some(QUARANTINE_DURATION));
    assert_eq!(known.pause(OTHER, start), None);
    // What is told again does not begin anew.
    let later = start + Duration::from_secs(100);
    assert_eq!(known.learn(&told(6, &[FATAL]), later), []);
    let left = QUARANTINE_DURATION - Duration::from_secs(100);
    assert_eq!(known.pause(FATAL, later), Some(left));
    assert!(
        known
            .pause(FATAL, start + QUARANTINE_DURATION * 2)
            .is_some()
    );
}

#[test]
fn older_news_that_comes_late_changes_nothing() {
    let now = Instant::now();
    let mut known = QuarantineKnowledge::default();
    known.learn(&told(7, &[FATAL]), now);
    assert_eq!(known.learn(&told(6, &[]), now), []);
    assert!(known.pause(FATAL, now).is_some());
    let changes = known.learn(&told(8, &[]), now);
    assert_eq!(changes, [QuarantineChange::Released(FATAL)]);
    assert_eq!(known.pause(FATAL, now), None);
}

#[test]
fn one_that_is_cleared_by_a_part_of_the_reports_waits_for_the_others() {
    let start = Instant::now();
    let mut known = QuarantineKnowledge::default();
    known.learn(&told(7, &[OTHER]), start);
    let soon = start + REPORTS_COME_IN / 4;
    let changes = known.learn(&told(8, &[]), soon);
    assert_eq!(changes, [QuarantineChange::Released(OTHER)]);
    let settled = soon + REPORTS_COME_IN;
    assert_eq!(known.settles_at(OTHER, soon), Some(settled));
    assert_eq!(known.settles_at(OTHER, settled), None);
    assert_eq!(known.settles_at(FATAL, soon), None, "nobody suspects it");
    // The next end begins the time anew, though the lists are the same.
    assert_eq!(known.learn(&told(9, &[]), settled), []);
    let settled_anew = settled + REPORTS_COME_IN;
    assert_eq!(known.settles_at(OTHER, settled), Some(settled_anew));
}

#[test]
fn all_requests_whose_connections_broke_are_reported_once() {
    let now = Instant::now();
    let mut met = EndsMet::default();
    assert!(met.broke("r", FATAL, now), "nobody looks yet");
    assert!(!met.broke("r", OTHER, now), "somebody looks already");
    assert!(met.is_awaited(FATAL));
    assert_eq!(met.next_report("r"), [FATAL, OTHER]);
    // Still awaited while it is being reported; one that breaks meanwhile is reported next.
    assert!(met.is_awaited(FATAL));
    met.broke("r", ContentKey(3), now);
    assert_eq!(met.next_report("r"), [ContentKey(3)]);
    assert_eq!(met.next_report("r"), []);
    met.forget("r");
    assert!(!met.is_awaited(FATAL));
    assert!(met.broke("r", FATAL, now));
}

#[test]
fn nobody_waits_for_what_may_take_long() {
    let now = Instant::now();
    let mut met = EndsMet::default();
    met.broke("r", FATAL, now);
    met.stop_awaiting("r");
    assert!(!met.is_awaited(FATAL));
    assert_eq!(met.next_report("r"), [FATAL]);
}

#[test]
fn what_has_just_run_well_is_not_blamed() {
    let start = Instant::now();
    let mut met = EndsMet::default();
    met.outlived(OTHER, start);
    met.broke("r", OTHER, start + Duration::from_secs(10));
    met.broke("r", FATAL, start + Duration::from_secs(10));
    assert_eq!(met.next_report("r"), [FATAL]);
    // A good end long ago clears nothing.
    met.broke("s", OTHER, start + Duration::from_secs(100));
    assert_eq!(met.next_report("s"), [OTHER]);
}
