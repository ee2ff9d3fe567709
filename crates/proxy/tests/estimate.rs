//! Expected latencies of a prompt, learned from a router's own streams.

use std::time::Duration;

use railtack_proxy::load::{
    estimate::{Expectation, ReplicaLoad, ServiceEstimate},
    longest_gap::LongestGap,
};
use railtack_serving::RelativeSpeed;
use tokio::time::Instant;

const FIXED_MS: f64 = 40.0;
const TOKENS_PER_MS: f64 = 92.0;
const IDLE_GAP_MS: f64 = 40.0;
const PREFILL_GAP_MS: f64 = 180.0;
/// Time between two samples of one router.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

fn milliseconds(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

fn load(queued_tokens: u64, ratio: f64) -> ReplicaLoad {
    ReplicaLoad {
        queued_tokens,
        speed: RelativeSpeed::from_ratio(ratio),
        ..ReplicaLoad::default()
    }
}

/// Samples of short and long prompts at replicas of different speeds, with little queued.
struct Samples {
    estimate: ServiceEstimate,
    now: Instant,
}

impl Samples {
    fn new() -> Self {
        Self {
            estimate: ServiceEstimate::default(),
            now: Instant::now(),
        }
    }

    fn first_event(&mut self, uncached: u64, load: ReplicaLoad, slowdown: f64) {
        let tokens = (uncached + load.queued_tokens) as f64;
        let usual_ms = FIXED_MS + tokens / TOKENS_PER_MS;
        let waited = milliseconds(usual_ms * slowdown / load.speed.ratio());
        self.now += SAMPLE_INTERVAL;
        self.estimate
            .record_first_event(uncached, load, waited, self.now);
    }

    fn gap(&mut self, load: ReplicaLoad, gap_ms: f64) {
        let gap = milliseconds(gap_ms / load.speed.ratio());
        self.estimate.record_gap(load, gap);
    }

    fn mixed(mut self, count: u64) -> Self {
        for index in 0..count {
            let uncached = if index % 2 == 0 { 628 } else { 2_890 };
            let ratio = [0.7, 1.0, 1.4][(index % 3) as usize];
            self.first_event(uncached, load(index % 5 * 300, ratio), 1.0);
        }
        self
    }

    fn expect(&self, uncached: u64, load: ReplicaLoad) -> Expectation {
        self.estimate.expect(uncached, load).expect("samples")
    }
}

fn assert_near(actual: Duration, expected_ms: f64) {
    let actual_ms = actual.as_secs_f64() * 1_000.0;
    let error = (actual_ms - expected_ms).abs();
    assert!(
        error < expected_ms * 0.1,
        "{actual_ms} instead of {expected_ms}"
    );
}

/// Load: short prompts behind the first long queue after a quiet time.
#[test]
fn a_fixed_time_does_not_count_as_time_per_token() {
    let samples = Samples::new().mixed(40);
    let expected = samples.expect(1_121, load(23_000, 1.0));
    assert!(expected.first_event < Duration::from_millis(400));
    assert_near(expected.first_event, FIXED_MS + 24_121.0 / TOKENS_PER_MS);
}

/// Load: replicas of one service that differ in speed.
#[test]
fn a_slow_replica_takes_longer_for_the_same_prompt() {
    let samples = Samples::new().mixed(40);
    let usual_ms = FIXED_MS + 10_000.0 / TOKENS_PER_MS;
    for ratio in [0.5, 1.0, 2.0] {
        let expected = samples.expect(2_000, load(8_000, ratio));
        assert_near(expected.first_event, usual_ms / ratio);
    }
}

/// Load: a replica slows down in the middle of the day, before its speed is known.
#[test]
fn waits_of_slowed_replicas_raise_the_estimate() {
    let mut samples = Samples::new().mixed(100);
    let before = samples.expect(2_890, load(5_000, 1.0)).first_event;
    for index in 0..600 {
        let uncached = if index % 2 == 0 { 628 } else { 2_890 };
        samples.first_event(uncached, load(index % 5 * 1_000, 1.0), 2.0);
    }
    let after = samples.expect(2_890, load(5_000, 1.0)).first_event;
    assert!(after > before.mul_f64(1.7), "{before:?} {after:?}");
}

/// Load: a flood begins, and queues that were gone when a prompt arrived last now.
#[test]
fn a_change_of_most_latencies_shows_within_seconds() {
    let mut samples = Samples::new().mixed(60);
    for index in 0..20 {
        let uncached = if index % 2 == 0 { 628 } else { 2_890 };
        samples.first_event(uncached, load(index % 5 * 1_000, 1.0), 8.0);
    }
    let expected = samples.expect(2_890, load(2_000, 1.0)).first_event;
    let before_ms = FIXED_MS + 4_890.0 / TOKENS_PER_MS;
    assert!(expected > milliseconds(before_ms * 3.0), "{expected:?}");
}

/// Load: a few prompts of a day wait for seconds, for example for a preempted request.
#[test]
fn a_few_long_waits_hardly_move_the_estimate() {
    let mut samples = Samples::new().mixed(60);
    for _ in 0..3 {
        samples.first_event(628, load(0, 1.0), 100.0);
    }
    let expected = samples.expect(628, load(0, 1.0));
    let usual_ms = FIXED_MS + 628.0 / TOKENS_PER_MS;
    assert!(expected.first_event < milliseconds(usual_ms * 1.5));
}

/// Load: prompts of one kind at idle replicas, from which no time per token can be told.
#[test]
fn too_few_or_too_similar_samples_give_no_estimate() {
    let few = Samples::new().mixed(8);
    assert_eq!(few.estimate.expect(628, load(0, 1.0)), None);
    let mut alike = Samples::new();
    for _ in 0..200 {
        alike.first_event(628, load(0, 1.0), 1.0);
    }
    assert_eq!(alike.estimate.expect(628, load(0, 1.0)), None);
}

/// Load: waits that fall with the number of tokens, as after a queue that the digest shows too late.
#[test]
fn neither_part_is_negative() {
    let mut samples = Samples::new();
    for index in 0..40_u64 {
        let tokens = 1_000 + index * 200;
        let waited = Duration::from_millis(500 - index * 10);
        samples
            .estimate
            .record_first_event(tokens, load(0, 1.0), waited, samples.now);
    }
    let short = samples.expect(0, load(0, 1.0)).first_event;
    let long = samples.expect(100_000, load(0, 1.0)).first_event;
    assert!(short <= long && short > Duration::ZERO);
}

/// Load: streams at replicas that prefill long prompts between their tokens.
#[test]
fn gaps_are_longer_where_the_queue_lasts_longer_than_a_gap() {
    let mut samples = Samples::new().mixed(40);
    for index in 0..100_u64 {
        let ratio = if index % 2 == 0 { 0.7 } else { 1.4 };
        samples.gap(load(0, ratio), IDLE_GAP_MS);
        samples.gap(load(20_000, ratio), PREFILL_GAP_MS);
    }
    assert_near(samples.expect(628, load(0, 1.0)).gap, IDLE_GAP_MS);
    assert_near(samples.expect(628, load(20_000, 1.0)).gap, PREFILL_GAP_MS);
    let slow = samples.expect(628, load(20_000, 0.5)).gap;
    assert_near(slow, PREFILL_GAP_MS / 0.5);
    // A queue of 10 ms lengthens a gap by 10 ms.
    let short_queue = samples.expect(628, load(920, 1.0)).gap;
    assert_near(short_queue, IDLE_GAP_MS + 10.0);
}

/// Load: long prompts with two events each, of which the second holds a single token, among longer streams.
#[test]
fn streams_of_few_events_do_not_tell_the_longest_gap() {
    let mut short = LongestGap::default();
    short.record(milliseconds(5.0), || load(0, 1.0));
    assert_eq!(short.get(), None);
    let mut long = LongestGap::default();
    for (gap_ms, queued) in [(40.0, 0), (180.0, 20_000), (30.0, 0), (5.0, 0)] {
        long.record(milliseconds(gap_ms), || load(queued, 1.0));
    }
    assert_eq!(long.get(), Some((milliseconds(180.0), load(20_000, 1.0))));
}

/// Load: a stream that pauses for seconds once, for example for a preemption.
#[test]
fn a_single_pause_hardly_moves_the_gap() {
    let mut samples = Samples::new().mixed(40);
    for _ in 0..100 {
        samples.gap(load(0, 1.0), IDLE_GAP_MS);
    }
    samples.gap(load(0, 1.0), 5_000.0);
    let gap = samples.expect(628, load(0, 1.0)).gap;
    assert!(gap < milliseconds(IDLE_GAP_MS * 1.4), "{gap:?}");
}
