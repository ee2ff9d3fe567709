//! When a router's question is answered.

use std::time::Duration;

use railtack_control::serving::watch::gathering_time;

#[test]
fn only_changes_close_behind_an_answer_wait_for_others() {
    let asked = Duration::from_millis;
    assert_eq!(gathering_time(0, asked(0)), Duration::ZERO);
    assert!(gathering_time(7, asked(1)) > Duration::from_millis(10));
    assert_eq!(gathering_time(7, asked(300)), Duration::ZERO);
    // A router asks again at once: what waits is far below any bound on changes.
    assert!(gathering_time(7, asked(0)) <= Duration::from_millis(50));
}
