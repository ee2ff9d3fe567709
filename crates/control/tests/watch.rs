//! When a router's question is answered.

use std::time::Duration;

use railtack_control::serving::watch::{gathering_interval, gathering_time, longest_gathering};
use railtack_rpc::serving::{WatchPosition, WatchRequest};
use railtack_serving::{Bounds, QuotaBounds};

const LONGEST: Duration = Duration::from_millis(400);

fn question(known: u64, wait_ms: u64) -> WatchRequest {
    WatchRequest {
        router: "r".to_owned(),
        known: WatchPosition::at(known),
        wants_records: true,
        accepts_partial: true,
        wait_ms,
        has_lease: true,
        observations: Vec::new(),
    }
}

#[test]
fn only_changes_close_behind_an_answer_wait_for_others() {
    let asked = Duration::from_millis;
    let interval = gathering_interval(3, LONGEST);
    let gathering = |known, asked| gathering_time(&question(known, 500), asked, interval);
    assert_eq!(gathering(0, asked(0)), Duration::ZERO);
    assert!(gathering(7, asked(1)) > Duration::from_millis(10));
    assert_eq!(gathering(7, asked(300)), Duration::ZERO);
    // A router asks again at once: what waits is far below any bound on changes.
    assert!(gathering(7, asked(0)) <= Duration::from_millis(50));
}

/// A router without a lease allows no time and gives the question up soon: with hundreds of
/// routers it would never have an answer, and no lease.
#[test]
fn no_answer_waits_beyond_the_time_that_the_router_allows() {
    let interval = gathering_interval(60, LONGEST);
    assert!(interval > Duration::from_millis(300));
    let gathering = |wait_ms| gathering_time(&question(7, wait_ms), Duration::ZERO, interval);
    assert_eq!(gathering(0), Duration::ZERO);
    assert_eq!(gathering(100), Duration::from_millis(100));
}

/// It waits for the confirmation instead, which is no news that is gathered.
#[test]
fn a_router_without_a_lease_is_answered_without_gathering() {
    let interval = gathering_interval(60, LONGEST);
    let request = WatchRequest {
        has_lease: false,
        ..question(7, 500)
    };
    assert_eq!(
        gathering_time(&request, Duration::ZERO, interval),
        Duration::ZERO
    );
    let in_pieces = WatchRequest {
        known: WatchPosition {
            state: 9,
            changes: 5,
            records: 5,
        },
        ..question(7, 500)
    };
    assert_eq!(
        gathering_time(&in_pieces, Duration::ZERO, interval),
        Duration::ZERO
    );
}

/// A rollout changes hundreds of records in a second. However many routers ask one control
/// replica, the answers that it gives in a second stay the same in number.
#[test]
fn answers_with_news_do_not_grow_with_the_number_of_routers() {
    for routers in [8_u32, 33, 55] {
        let interval = gathering_interval(routers, LONGEST).as_secs_f64();
        let answers_per_second = f64::from(routers) / interval;
        assert!(
            answers_per_second <= 151.0,
            "{routers} routers are given {answers_per_second} answers in a second",
        );
    }
}

#[test]
fn news_waits_for_a_small_part_of_the_deployments_bounds() {
    let mut bounds = Bounds {
        config_apply_ms: 3_000,
        revoke_ms: 5_000,
        fail_closed: true,
        drain_ms: 2_000,
        grace_ms: 8_000,
        ack_ms: 4_000,
        contact_ms: 3_000,
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 10.0,
        lease_ms: 3_000,
        version_ms: 8_000,
        reuse_window_ms: 10_000,
        quota: QuotaBounds {
            window_ms: 8_000,
            overage: 0.1,
            slack: 110_000.0,
        },
    };
    let longest = longest_gathering(&bounds);
    assert_eq!(longest, Duration::from_millis(250));
    assert_eq!(gathering_interval(4_000, longest), longest);
    bounds.config_apply_ms = 800;
    assert_eq!(longest_gathering(&bounds), Duration::from_millis(100));
}
