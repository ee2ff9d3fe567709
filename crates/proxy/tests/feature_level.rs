//! A router beside a control group that has members of a former build, which grants nothing.

mod support;

use std::time::Duration;

use railtack_proxy::quota::borrow_retry;
use railtack_rpc::FeatureLevel;
use support::router;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(800);

#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_for_a_retry_that_nobody_lends() {
    let state = router(Vec::new());
    let began_at = Instant::now();
    assert!(!borrow_retry(&state, "pool", OBJECTIVE).await);
    assert_eq!(began_at.elapsed(), Duration::ZERO);
}

#[test]
fn the_level_that_a_router_knows_never_falls() {
    let state = router(Vec::new());
    assert!(!state.control_peers.supports_grants());
    state
        .control_peers
        .update_level(FeatureLevel::SHARED_GRANTS);
    // Told by a control replica that is behind.
    state.control_peers.update_level(FeatureLevel::FIRST);
    assert!(state.control_peers.supports_grants());
}
