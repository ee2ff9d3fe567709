//! Prompts that are refused because their first event would come too late.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use railtack_proxy::prefill_latency::{PrefillBacklog, PrefillLatency};
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(800);

fn backlog(uncached_tokens: u64, queued_tokens: u64, mean_queued_tokens: u64) -> PrefillBacklog {
    PrefillBacklog {
        uncached_tokens,
        queued_tokens,
        mean_queued_tokens,
    }
}

/// A pace of 25 tokens a millisecond.
fn measured_latency() -> PrefillLatency {
    let mut latency = PrefillLatency::default();
    let start = Instant::now();
    for prompt in 0..20 {
        let at = start + Duration::from_millis(prompt * 10);
        latency.record(backlog(5_000, 5_000, 5_000), Duration::from_millis(400), at);
    }
    latency
}

#[test]
fn nothing_is_refused_before_the_pace_is_known() {
    let unknown = PrefillLatency::default();
    let crowded = backlog(9_000, 1_000_000, 1_000_000);
    assert_eq!(unknown.retry_after(crowded, OBJECTIVE), None);
}

#[test]
fn a_prompt_behind_a_long_queue_is_refused_and_told_when_it_has_drained() {
    // 60,000 tokens are 2.4 s, and the prompt's own 4,000 another 0.16 s.
    let refused = measured_latency().retry_after(backlog(4_000, 60_000, 40_000), OBJECTIVE);
    let pause = refused.expect("a refusal").as_secs_f64();
    assert!((pause - 2.16).abs() < 0.01, "{pause}");
    assert_eq!(
        measured_latency().retry_after(backlog(4_000, 15_000, 15_000), OBJECTIVE),
        None
    );
}

#[test]
fn a_queue_at_one_replica_alone_is_no_overload() {
    let hot = backlog(4_000, 60_000, 5_000);
    assert_eq!(measured_latency().retry_after(hot, OBJECTIVE), None);
}

#[test]
fn a_short_prompt_is_never_refused_for_the_queue() {
    let short = backlog(600, 200_000, 200_000);
    assert_eq!(measured_latency().retry_after(short, OBJECTIVE), None);
}

#[test]
fn a_very_long_prompt_is_not_refused_for_its_own_length() {
    let long = backlog(60_000, 5_000, 5_000);
    assert_eq!(measured_latency().retry_after(long, OBJECTIVE), None);
}

#[test]
fn an_old_pace_counts_less_than_a_new_one() {
    let mut latency = measured_latency();
    let later = Instant::now() + Duration::from_secs(60);
    // Now 100 tokens a millisecond.
    for _ in 0..10 {
        latency.record(
            backlog(5_000, 5_000, 5_000),
            Duration::from_millis(100),
            later,
        );
    }
    assert_eq!(
        latency.retry_after(backlog(4_000, 60_000, 40_000), OBJECTIVE),
        None
    );
}

quickcheck! {
    /// A longer queue never turns a refusal into a send, nor shortens the pause.
    fn a_longer_queue_is_never_better(own: u16, others: u32, more: u16) -> TestResult {
        let (own, others) = (u64::from(own), u64::from(others));
        let shorter = measured_latency().retry_after(backlog(own, others, others), OBJECTIVE);
        let longer = others + u64::from(more);
        let longer = measured_latency().retry_after(backlog(own, longer, longer), OBJECTIVE);
        TestResult::from_bool(longer >= shorter)
    }
}
