//! Tests of the availability that replicas advertise to a router.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_serving::{Availability, BackEndNotice, Moment, News, RequestLimit, StatedLimit};

const REPLICA: &str = "i-1";
const OTHER: &str = "i-2";

fn back_off(time: Duration) -> BackEndNotice {
    BackEndNotice {
        back_off: Some(time),
        ..BackEndNotice::default()
    }
}

#[test]
fn a_replica_accepts_requests_again_after_its_back_off() {
    let start = Moment::from_secs(7);
    let time = Duration::from_secs(3);
    let mut availability = Availability::default();
    assert!(availability.takes(REPLICA, start));
    availability.note(REPLICA, back_off(time), start);
    assert!(!availability.takes(REPLICA, start + time - Duration::from_millis(1)));
    assert_eq!(
        availability.opens_in(REPLICA, start + time / 3),
        Some(time * 2 / 3)
    );
    assert!(availability.takes(OTHER, start));
    assert!(availability.takes(REPLICA, start + time));
}

#[test]
fn a_shorter_back_off_does_not_end_a_longer_one() {
    let start = Moment::from_secs(7);
    let mut availability = Availability::default();
    availability.note(REPLICA, back_off(Duration::from_secs(3)), start);
    availability.note(REPLICA, back_off(Duration::from_secs(1)), start);
    availability.note(REPLICA, BackEndNotice::default(), start);
    assert!(!availability.takes(REPLICA, start + Duration::from_secs(2)));
}

#[test]
fn the_maximum_back_off_does_not_overflow() {
    let start = Moment::from_secs(7);
    let mut availability = Availability::default();
    availability.note(REPLICA, back_off(Duration::MAX), start);
    assert!(!availability.takes(REPLICA, start + Duration::from_secs(3_600)));
}

#[test]
fn a_leaving_replica_accepts_no_more_requests() {
    let start = Moment::from_secs(7);
    let leaving = BackEndNotice {
        is_leaving: true,
        ..BackEndNotice::default()
    };
    let mut availability = Availability::default();
    assert!(
        availability.note(REPLICA, leaving, start).leaves,
        "first notice"
    );
    assert!(
        !availability.note(REPLICA, leaving, start).leaves,
        "repeated notice"
    );
    availability.note(REPLICA, BackEndNotice::default(), start);
    let late = start + Duration::from_secs(60);
    availability.forget_past(late);
    assert_eq!(availability.opens_in(REPLICA, late), None);
    assert!(!availability.takes(REPLICA, late));
}

fn limited(per_s: f64) -> (BackEndNotice, RequestLimit) {
    let limit = RequestLimit::per_s(per_s).expect("a limit");
    let notice = BackEndNotice {
        limit: StatedLimit::Named(limit),
        ..BackEndNotice::default()
    };
    (notice, limit)
}

#[test]
fn a_limit_is_reported_once_and_kept_until_it_is_cleared() {
    let start = Moment::from_secs(7);
    let mut availability = Availability::default();
    let (notice, limit) = limited(1.2);
    let news = availability.note(REPLICA, notice, start);
    assert_eq!(news.limit, Some(limit));
    let later = start + Duration::from_secs(1);
    assert_eq!(availability.note(REPLICA, notice, later), News::default());
    // A response without a limit may be older than the limit.
    availability.note(REPLICA, BackEndNotice::default(), later);
    let known = availability.limit(REPLICA).expect("a limit");
    assert_eq!((known.limit, known.named_at), (limit, later));
    availability.limit_is_over(REPLICA, start);
    assert!(availability.limit(REPLICA).is_some(), "received later");
    availability.limit_is_over(REPLICA, later);
    assert_eq!(availability.limit(REPLICA), None);
    assert_eq!(availability.limit(OTHER), None);
}

#[test]
fn an_exhausted_limit_blocks_requests_until_it_has_room() {
    let start = Moment::from_secs(7);
    let room_at = start + Duration::from_millis(300);
    let mut availability = Availability::default();
    let (notice, limit) = limited(2.0);
    availability.note(REPLICA, notice, start);
    assert!(availability.takes(REPLICA, start));
    availability.has_room_at(REPLICA, limit, room_at);
    assert_eq!(availability.full_limit(REPLICA, start), Some(limit));
    assert_eq!(
        availability.opens_in(REPLICA, start),
        Some(Duration::from_millis(300))
    );
    assert!(availability.takes(REPLICA, room_at));
    assert_eq!(availability.full_limit(REPLICA, room_at), None);
}

quickcheck! {
    /// For any sequence of notices, each replica is unavailable exactly until the end of its latest
    /// back-off, also after expired state was removed.
    fn each_replica_is_unavailable_until_its_latest_back_off_ends(notices: Vec<(u8, u16, u16)>) -> bool {
        let start = Moment::from_secs(7);
        let mut availability = Availability::default();
        let mut latest = [Duration::ZERO; 4];
        let mut elapsed = Duration::ZERO;
        notices.into_iter().all(|(replica, gap_ms, back_off_ms)| {
            elapsed += Duration::from_millis(u64::from(gap_ms));
            let now = start + elapsed;
            availability.forget_past(now);
            let requested = Duration::from_millis(u64::from(back_off_ms));
            let replica = usize::from(replica) % latest.len();
            latest[replica] = latest[replica].max(elapsed + requested);
            availability.note(&replica.to_string(), back_off(requested), now);
            latest.iter().enumerate().all(|(replica, until)| {
                availability.opens_in(&replica.to_string(), now) == Some(until.saturating_sub(elapsed))
            })
        })
    }
}
