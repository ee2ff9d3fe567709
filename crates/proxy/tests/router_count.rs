//! Number of routers by which the retry budget is divided.

mod support;

use std::time::Duration;

use railtack_proxy::router_count::RouterCount;
use support::router;
use tokio::time::{Instant, advance};

const ROUTERS: u32 = 8;

/// Guards against routers that each take the slack of several, where a service is first used again while a new leader
/// knows few of them.
#[tokio::test(start_paused = true)]
async fn an_idle_service_keeps_to_the_routers_known_before_an_election() {
    let state = router(Vec::new());
    let bounds = state.options.bounds;
    state.record_request("app");
    for _ in 0..40 {
        advance(Duration::from_millis(500)).await;
        state.record_routers(ROUTERS);
    }
    state.record_routers(2);
    let mut retries = 0;
    while state.try_withdraw_retry("app") {
        retries += 1;
    }
    let allowed = bounds.retry_slack * 0.25 / f64::from(ROUTERS);
    assert!(
        f64::from(retries) <= allowed,
        "{retries}, allowed {allowed}"
    );
}

#[test]
fn the_largest_number_within_the_window_counts() {
    let window = Duration::from_secs(10);
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let mut count = RouterCount::default();
    assert_eq!(count.largest(window, start), 0);
    count.record(8, after(0));
    count.record(2, after(4));
    count.record(5, after(8));
    assert_eq!(count.largest(window, after(10)), 8);
    assert_eq!(count.largest(window, after(11)), 5);
    assert_eq!(count.largest(window, after(19)), 0);
}
