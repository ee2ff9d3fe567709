//! Refusal of prompts whose first event would be late.

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

/// A latency of 40 µs per token.
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
fn nothing_is_refused_before_the_latency_is_known() {
    let unknown = PrefillLatency::default();
    let crowded = backlog(9_000, 1_000_000, 1_000_000);
    assert_eq!(unknown.retry_after(crowded, OBJECTIVE), None);
}

#[test]
fn a_prompt_behind_a_long_queue_is_refused_until_the_queue_drains() {
    // 60,000 queued tokens take 2.4 s, the prompt's own 4,000 another 0.16 s.
    let refused = measured_latency().retry_after(backlog(4_000, 60_000, 40_000), OBJECTIVE);
    let pause = refused.expect("a refusal").as_secs_f64();
    assert!((pause - 2.16).abs() < 0.01, "{pause}");
    assert_eq!(
        measured_latency().retry_after(backlog(4_000, 15_000, 15_000), OBJECTIVE),
        None
    );
}

#[test]
fn a_queue_at_a_single_replica_is_not_an_overload() {
    let hot = backlog(4_000, 60_000, 5_000);
    assert_eq!(measured_latency().retry_after(hot, OBJECTIVE), None);
}

#[test]
fn a_short_prompt_is_never_refused() {
    let short = backlog(600, 200_000, 200_000);
    assert_eq!(measured_latency().retry_after(short, OBJECTIVE), None);
}

#[test]
fn a_very_long_prompt_is_not_refused_for_its_own_length() {
    let long = backlog(60_000, 5_000, 5_000);
    assert_eq!(measured_latency().retry_after(long, OBJECTIVE), None);
}

#[test]
fn old_samples_count_less_than_new_ones() {
    let mut latency = measured_latency();
    let later = Instant::now() + Duration::from_secs(60);
    // Now 10 µs per token.
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
    /// A longer queue neither lifts a refusal nor shortens the retry delay.
    fn a_longer_queue_never_helps(own: u16, others: u32, more: u16) -> TestResult {
        let (own, others) = (u64::from(own), u64::from(others));
        let shorter = measured_latency().retry_after(backlog(own, others, others), OBJECTIVE);
        let longer = others + u64::from(more);
        let longer = measured_latency().retry_after(backlog(own, longer, longer), OBJECTIVE);
        TestResult::from_bool(longer >= shorter)
    }
}
