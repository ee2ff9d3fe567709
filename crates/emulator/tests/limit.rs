//! The judge of limits, on records that keep and break them.

use std::time::Duration;

use railtack_emulator::limit::LimitMonitor;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A record of arrivals, the first of which is answered with the first limit, and so on.
fn record(named: &[(f64, Option<f64>)], arrivals: impl Iterator<Item = f64>) -> LimitMonitor {
    let mut record = LimitMonitor::default();
    let mut arrivals: Vec<f64> = arrivals.chain(named.iter().map(|(at, _)| *at)).collect();
    arrivals.sort_by(f64::total_cmp);
    for arrival in arrivals {
        let last = named.iter().rfind(|(from, _)| *from <= arrival);
        record.advertise(last.and_then(|(_, limit)| *limit));
        record.record_arrival(at(arrival));
    }
    record
}

/// So many arrivals at equal distances from a moment on.
fn arrivals(begin: f64, each: f64, count: usize) -> impl Iterator<Item = f64> {
    (0..count).map(move |number| begin + number as f64 * each)
}

#[test]
fn eleven_in_four_seconds_are_allowed_at_one_a_second_and_twelve_are_not() {
    let named = [(0.0, Some(1.0))];
    let kept = record(&named, arrivals(5.0, 0.1, 11));
    assert_eq!(kept.first_violation(), None);
    let broken = record(&named, arrivals(5.0, 0.1, 12));
    let window = broken.first_violation().expect("a broken window");
    assert_eq!((window.arrived, window.allowed), (12, 11.0));
}

#[test]
fn a_limit_binds_three_seconds_after_it_was_named() {
    let named = [(0.0, Some(1.0))];
    assert_eq!(
        record(&named, arrivals(0.0, 0.01, 290)).first_violation(),
        None
    );
    assert!(
        record(&named, arrivals(3.0, 0.01, 290))
            .first_violation()
            .is_some()
    );
}

#[test]
fn a_lower_limit_binds_three_seconds_later_and_a_higher_one_allows_more_at_once() {
    let lowered = [(0.0, Some(40.0)), (10.0, Some(1.0))];
    assert_eq!(
        record(&lowered, arrivals(8.0, 0.03, 150)).first_violation(),
        None
    );
    assert!(
        record(&lowered, arrivals(13.0, 0.1, 12))
            .first_violation()
            .is_some()
    );
    let raised = [(0.0, Some(1.0)), (10.0, Some(40.0))];
    assert_eq!(
        record(&raised, arrivals(10.0, 0.03, 150)).first_violation(),
        None
    );
}

#[test]
fn nothing_is_counted_while_no_limit_is_named() {
    let named = [(0.0, Some(1.0)), (10.0, None), (20.0, Some(0.0))];
    assert_eq!(
        record(&named, arrivals(11.0, 0.01, 1_000)).first_violation(),
        None
    );
    assert_eq!(
        record(&named, arrivals(24.0, 0.1, 5)).first_violation(),
        None
    );
    assert!(
        record(&named, arrivals(24.0, 0.1, 6))
            .first_violation()
            .is_some()
    );
    assert_eq!(
        record(&[], arrivals(0.0, 0.01, 1_000)).first_violation(),
        None
    );
}
