//! Tests of the clock that includes suspended time.

use std::time::Duration;

use railtack_clock::BootInstant;
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn suspended_time_is_included() {
    let monotonic = Instant::now() + SECOND;
    let before = BootInstant::at(monotonic, 3 * SECOND);
    let after = BootInstant::at(monotonic + SECOND, 8 * SECOND);
    assert_eq!(after.saturating_duration_since(before), 6 * SECOND);
    assert_eq!(before.saturating_duration_since(after), Duration::ZERO);
    assert!(after > before);
    assert_eq!(
        before + SECOND,
        BootInstant::at(monotonic + SECOND, 3 * SECOND)
    );
    let earlier = after.checked_sub(6 * SECOND);
    assert_eq!(earlier, Some(before));
}

#[tokio::test(start_paused = true)]
async fn the_virtual_clock_is_followed() {
    let before = BootInstant::now();
    advance(5 * SECOND).await;
    let elapsed = before.elapsed();
    // The two clocks of the machine are read some nanoseconds apart.
    let difference = elapsed.abs_diff(5 * SECOND);
    assert!(difference < SECOND, "{elapsed:?}");
}
