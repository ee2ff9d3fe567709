//! When callers come back that no replica has room for.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_proxy::retry_pacing::RetryPacer;
use railtack_serving::MonotonicTime;

const NOW: MonotonicTime = MonotonicTime::from_secs(100);
const OPENS_IN: Duration = Duration::from_millis(200);

#[test]
fn callers_come_back_as_far_apart_as_the_limits_allow() {
    let mut pacer = RetryPacer::default();
    // Two routers share ten requests a second: five a second each.
    let pauses: Vec<Duration> = (0..4)
        .map(|_| pacer.next_retry_after(NOW, OPENS_IN, 10.0, 2, 0))
        .collect();
    assert_eq!(pauses, [200, 400, 600, 800].map(Duration::from_millis));
    // Room that nobody was told of is not kept for anybody.
    let later = NOW + Duration::from_secs(60);
    assert_eq!(
        pacer.next_retry_after(later, OPENS_IN, 10.0, 2, 0),
        OPENS_IN
    );
}

quickcheck! {
    fn nobody_is_told_to_wait_for_longer_than_some_seconds(
        callers: u8,
        per_s: f64,
        routers: u32,
        seed: u64
    ) -> bool {
        let mut pacer = RetryPacer::default();
        (0..callers).all(|_| {
            let pause = pacer.next_retry_after(NOW, OPENS_IN, per_s.abs().min(1e6), routers, seed);
            pause <= Duration::from_secs(4)
        })
    }
}
