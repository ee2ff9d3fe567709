//! A router and a control group with members of a previous build that does not support grants.

mod support;

use std::time::Duration;

use railtack_proxy::quota::acquire_shared_retry;
use railtack_rpc::FeatureLevel;
use support::router;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(800);

#[tokio::test(start_paused = true)]
async fn acquiring_a_shared_retry_fails_immediately_without_support() {
    let state = router(Vec::new());
    let started_at = Instant::now();
    assert!(!acquire_shared_retry(&state, "pool", OBJECTIVE).await);
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

#[test]
fn the_known_feature_level_never_decreases() {
    let state = router(Vec::new());
    assert!(!state.control_peers.supports_grants());
    state
        .control_peers
        .update_level(FeatureLevel::SHARED_GRANTS);
    // Reported by a lagging control replica.
    state.control_peers.update_level(FeatureLevel::FIRST);
    assert!(state.control_peers.supports_grants());
}
