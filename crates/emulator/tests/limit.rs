//! Tests of the limit check on arrivals within and over advertised limits.

use std::time::Duration;

use railtack_emulator::limit::LimitMonitor;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns a monitor of the given arrivals. A further request arrives at each time in `advertised`,
/// and its response is the first with that limit.
fn monitor(advertised: &[(f64, Option<f64>)], arrivals: impl Iterator<Item = f64>) -> LimitMonitor {
    let mut monitor = LimitMonitor::default();
    let mut arrivals: Vec<f64> = arrivals
        .chain(advertised.iter().map(|(at, _)| *at))
        .collect();
    arrivals.sort_by(f64::total_cmp);
    for arrival in arrivals {
        let last = advertised.iter().rfind(|(from, _)| *from <= arrival);
        monitor.advertise(last.and_then(|(_, limit)| *limit));
        monitor.record_arrival(at(arrival));
    }
    monitor
}

/// Returns `count` arrival times from `start` on, `interval` seconds apart.
fn arrivals(start: f64, interval: f64, count: usize) -> impl Iterator<Item = f64> {
    (0..count).map(move |number| start + number as f64 * interval)
}

#[test]
fn window_tolerates_eleven_arrivals_at_one_per_second_but_not_twelve() {
    let advertised = [(0.0, Some(1.0))];
    let within_limit = monitor(&advertised, arrivals(5.0, 0.1, 11));
    assert_eq!(within_limit.first_violation(), None);
    let over_limit = monitor(&advertised, arrivals(5.0, 0.1, 12));
    let violation = over_limit.first_violation().expect("a violation");
    assert_eq!((violation.arrivals, violation.allowed), (12, 11.0));
}

#[test]
fn limit_is_enforced_three_seconds_after_it_was_advertised() {
    let advertised = [(0.0, Some(1.0))];
    assert_eq!(
        monitor(&advertised, arrivals(0.0, 0.01, 290)).first_violation(),
        None
    );
    assert!(
        monitor(&advertised, arrivals(3.0, 0.01, 290))
            .first_violation()
            .is_some()
    );
}

#[test]
fn lowered_limit_is_enforced_after_three_seconds_and_raised_limit_at_once() {
    let lowered = [(0.0, Some(40.0)), (10.0, Some(1.0))];
    assert_eq!(
        monitor(&lowered, arrivals(8.0, 0.03, 150)).first_violation(),
        None
    );
    assert!(
        monitor(&lowered, arrivals(13.0, 0.1, 12))
            .first_violation()
            .is_some()
    );
    let raised = [(0.0, Some(1.0)), (10.0, Some(40.0))];
    assert_eq!(
        monitor(&raised, arrivals(10.0, 0.03, 150)).first_violation(),
        None
    );
}

#[test]
fn no_violation_while_no_limit_is_advertised() {
    let advertised = [(0.0, Some(1.0)), (10.0, None), (20.0, Some(0.0))];
    assert_eq!(
        monitor(&advertised, arrivals(11.0, 0.01, 1_000)).first_violation(),
        None
    );
    assert_eq!(
        monitor(&advertised, arrivals(24.0, 0.1, 5)).first_violation(),
        None
    );
    assert!(
        monitor(&advertised, arrivals(24.0, 0.1, 6))
            .first_violation()
            .is_some()
    );
    assert_eq!(
        monitor(&[], arrivals(0.0, 0.01, 1_000)).first_violation(),
        None
    );
}
