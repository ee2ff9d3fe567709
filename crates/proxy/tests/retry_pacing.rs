//! Retry delays of callers refused by rate limits.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_proxy::retry_pacing::RetryPacer;
use railtack_serving::MonotonicTime;

const NOW: MonotonicTime = MonotonicTime::from_secs(100);
const AVAILABLE_IN: Duration = Duration::from_millis(200);

#[test]
fn retries_are_spaced_by_the_rate_limits() {
    let mut pacer = RetryPacer::default();
    // Two routers share ten requests per second: five per second each.
    let pauses: Vec<Duration> = (0..4)
        .map(|_| pacer.next_retry_after(NOW, AVAILABLE_IN, 10.0, 2, 0))
        .collect();
    assert_eq!(pauses, [200, 400, 600, 800].map(Duration::from_millis));
    // Unassigned capacity does not accumulate.
    let later = NOW + Duration::from_secs(60);
    assert_eq!(
        pacer.next_retry_after(later, AVAILABLE_IN, 10.0, 2, 0),
        AVAILABLE_IN
    );
}

quickcheck! {
    fn retry_delays_are_bounded(
        callers: u8,
        per_s: f64,
        routers: u32,
        seed: u64
    ) -> bool {
        let mut pacer = RetryPacer::default();
        (0..callers).all(|_| {
            let pause = pacer.next_retry_after(NOW, AVAILABLE_IN, per_s.abs().min(1e6), routers, seed);
            pause <= Duration::from_secs(4)
        })
    }
}
