//! Tests of the availability that replicas advertise to a router.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_serving::{
    Availability, BackendSignals, LimitHeader, MonotonicTime, RequestLimit, SignalChanges,
};

const REPLICA: &str = "i-1";
const OTHER: &str = "i-2";

fn back_off(time: Duration) -> BackendSignals {
    BackendSignals {
        back_off: Some(time),
        ..BackendSignals::default()
    }
}

#[test]
fn a_replica_accepts_requests_again_after_its_back_off() {
    let start = MonotonicTime::from_secs(7);
    let time = Duration::from_secs(3);
    let mut availability = Availability::default();
    assert!(availability.accepts_requests(REPLICA, start));
    availability.record(REPLICA, back_off(time), start);
    assert!(!availability.accepts_requests(REPLICA, start + time - Duration::from_millis(1)));
    assert_eq!(
        availability.available_in(REPLICA, start + time / 3),
        Some(time * 2 / 3)
    );
    assert!(availability.accepts_requests(OTHER, start));
    assert!(availability.accepts_requests(REPLICA, start + time));
}

#[test]
fn a_shorter_back_off_does_not_end_a_longer_one() {
    let start = MonotonicTime::from_secs(7);
    let mut availability = Availability::default();
    availability.record(REPLICA, back_off(Duration::from_secs(3)), start);
    availability.record(REPLICA, back_off(Duration::from_secs(1)), start);
    availability.record(REPLICA, BackendSignals::default(), start);
    assert!(!availability.accepts_requests(REPLICA, start + Duration::from_secs(2)));
}

#[test]
fn the_maximum_back_off_does_not_overflow() {
    let start = MonotonicTime::from_secs(7);
    let mut availability = Availability::default();
    availability.record(REPLICA, back_off(Duration::MAX), start);
    assert!(!availability.accepts_requests(REPLICA, start + Duration::from_secs(3_600)));
}

#[test]
fn a_leaving_replica_accepts_no_more_requests() {
    let start = MonotonicTime::from_secs(7);
    let leaving = BackendSignals {
        is_leaving: true,
        ..BackendSignals::default()
    };
    let mut availability = Availability::default();
    assert!(
        availability.record(REPLICA, leaving, start).is_leaving,
        "first signal"
    );
    assert!(
        !availability.record(REPLICA, leaving, start).is_leaving,
        "repeated signal"
    );
    availability.record(REPLICA, BackendSignals::default(), start);
    let late = start + Duration::from_secs(60);
    availability.remove_expired(late);
    assert_eq!(availability.available_in(REPLICA, late), None);
    assert!(!availability.accepts_requests(REPLICA, late));
}

fn limited(per_s: f64) -> (BackendSignals, RequestLimit) {
    let limit = RequestLimit::per_s(per_s).expect("a limit");
    let signals = BackendSignals {
        limit: LimitHeader::Present(limit),
        ..BackendSignals::default()
    };
    (signals, limit)
}

#[test]
fn a_limit_is_reported_once_and_kept_until_it_is_cleared() {
    let start = MonotonicTime::from_secs(7);
    let mut availability = Availability::default();
    let (signals, limit) = limited(1.2);
    let changes = availability.record(REPLICA, signals, start);
    assert_eq!(changes.limit, Some(limit));
    let later = start + Duration::from_secs(1);
    assert_eq!(
        availability.record(REPLICA, signals, later),
        SignalChanges::default()
    );
    // A response without a limit may be older than the limit.
    availability.record(REPLICA, BackendSignals::default(), later);
    let known = availability.limit(REPLICA).expect("a limit");
    assert_eq!((known.limit, known.advertised_at), (limit, later));
    availability.clear_limit(REPLICA, start);
    assert!(availability.limit(REPLICA).is_some(), "received later");
    availability.clear_limit(REPLICA, later);
    assert_eq!(availability.limit(REPLICA), None);
    assert_eq!(availability.limit(OTHER), None);
}

#[test]
fn an_exhausted_limit_blocks_requests_until_it_has_room() {
    let start = MonotonicTime::from_secs(7);
    let limited_until = start + Duration::from_millis(300);
    let mut availability = Availability::default();
    let (signals, limit) = limited(2.0);
    availability.record(REPLICA, signals, start);
    assert!(availability.accepts_requests(REPLICA, start));
    availability.set_limited_until(REPLICA, limit, limited_until);
    assert_eq!(availability.exhausted_limit(REPLICA, start), Some(limit));
    assert_eq!(
        availability.available_in(REPLICA, start),
        Some(Duration::from_millis(300))
    );
    assert!(availability.accepts_requests(REPLICA, limited_until));
    assert_eq!(availability.exhausted_limit(REPLICA, limited_until), None);
}

quickcheck! {
    /// For any sequence of signals, each replica is unavailable exactly until the end of its latest
    /// back-off, also after expired state was removed.
    fn each_replica_is_unavailable_until_its_latest_back_off_ends(signals: Vec<(u8, u16, u16)>) -> bool {
        let start = MonotonicTime::from_secs(7);
        let mut availability = Availability::default();
        let mut latest = [Duration::ZERO; 4];
        let mut elapsed = Duration::ZERO;
        signals.into_iter().all(|(replica, gap_ms, back_off_ms)| {
            elapsed += Duration::from_millis(u64::from(gap_ms));
            let now = start + elapsed;
            availability.remove_expired(now);
            let requested = Duration::from_millis(u64::from(back_off_ms));
            let replica = usize::from(replica) % latest.len();
            latest[replica] = latest[replica].max(elapsed + requested);
            availability.record(&replica.to_string(), back_off(requested), now);
            latest.iter().enumerate().all(|(replica, until)| {
                availability.available_in(&replica.to_string(), now) == Some(until.saturating_sub(elapsed))
            })
        })
    }
}
