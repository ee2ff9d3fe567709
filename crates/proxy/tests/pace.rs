//! Sums over a router's streams that tell the speed of a replica, and when they are reported.

use std::time::Duration;

use railtack_proxy::{
    load::pace::{Gap, GapTimer, PaceSums, ReportTimer, bounded_report},
    prefill_latency::PrefillBacklog,
};
use railtack_rpc::serving::ReplicaPace;
use railtack_serving::ReplicaKey;
use tokio::time::Instant;

const REPLICA: ReplicaKey = ReplicaKey(5);
const HALF_LIFE: Duration = Duration::from_secs(15);

fn gap(length_ms: u64, unread_ms: u64) -> Gap {
    Gap {
        length: ms(length_ms),
        unread: ms(unread_ms),
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn backlog(uncached_tokens: u64, queued_tokens: u64) -> PrefillBacklog {
    PrefillBacklog {
        uncached_tokens,
        queued_tokens,
        mean_queued_tokens: 0,
    }
}

/// Guards against a pace that ignores the queue: a prompt behind others waits for them too.
#[test]
fn prompts_ahead_and_the_prompt_itself_are_added_up() {
    let now = Instant::now();
    let mut sums = PaceSums::default();
    sums.record_first_event(backlog(2_890, 1_000), ms(70), now);
    sums.record_first_event(backlog(110, 0), ms(10), now);
    sums.record_gap(gap(20, 0), now);
    sums.record_gap(gap(40, 0), now);
    let expected = ReplicaPace {
        replica: REPLICA,
        first_events: 2.0,
        prefilled_tokens: 4_000.0,
        first_event_ms: 80.0,
        gaps: 2.0,
        gap_ms: 60.0,
    };
    assert_eq!(sums.report(REPLICA, now), Some(expected));
}

/// Guards against a replica that slows down in the middle of the day but is judged by its morning.
#[test]
fn sums_decay_and_are_reported_only_while_they_cover_streams() {
    let start = Instant::now();
    let mut sums = PaceSums::default();
    assert_eq!(sums.report(REPLICA, start), None);
    for _ in 0..8 {
        sums.record_gap(gap(20, 0), start);
    }
    let later = start + HALF_LIFE;
    sums.record_gap(gap(60, 0), later);
    let pace = sums.report(REPLICA, later).expect("a pace");
    assert!((pace.gaps - 5.0).abs() < 0.001, "{pace:?}");
    assert!((pace.gap_ms - 140.0).abs() < 0.001, "{pace:?}");
    assert_eq!(sums.report(REPLICA, later + HALF_LIFE * 3), None);
}

/// Guards against callers that read slowly, and against stalls and lost packets: neither shows a replica's speed.
#[test]
fn gaps_of_slow_readers_and_stalls_are_left_out() {
    let now = Instant::now();
    let mut sums = PaceSums::default();
    sums.record_gap(gap(20, 4), now);
    sums.record_gap(gap(20, 10), now);
    sums.record_gap(gap(500, 499), now);
    sums.record_gap(gap(1_001, 0), now);
    sums.record_first_event(backlog(100, 0), ms(5_001), now);
    let pace = sums.report(REPLICA, now).expect("a pace");
    assert_eq!(
        (pace.gaps, pace.gap_ms, pace.first_events),
        (1.0, 20.0, 0.0)
    );
}

#[test]
fn a_gap_lasts_from_one_event_to_the_next() {
    let start = Instant::now();
    let mut timer = GapTimer::started(start);
    let gap = timer.event(start + ms(3), start + ms(20));
    let expected = Gap {
        length: ms(20),
        unread: ms(3),
    };
    assert_eq!(gap, Some(expected));
    // At a resumed stream the first event ends no gap.
    let mut resumed = GapTimer::default();
    assert_eq!(resumed.event(start, start + ms(300)), None);
    assert!(resumed.event(start + ms(300), start + ms(310)).is_some());
}

/// Guards against reports that take a router's link: they are sent less often than the observations.
#[test]
fn paces_are_reported_once_a_second() {
    let start = Instant::now();
    let mut timer = ReportTimer::default();
    let requests = (0..40).map(|request| start + ms(request * 250));
    let reports = requests.filter(|at| timer.take_due(*at)).count();
    assert_eq!(reports, 10);
}

/// Guards against reports that grow with a fleet of thousands of replicas.
#[test]
fn a_report_is_bounded_and_keeps_the_best_known_replicas() {
    let pace = |key: u32| ReplicaPace {
        replica: ReplicaKey(key),
        first_events: 1.0,
        prefilled_tokens: 1.0,
        first_event_ms: 1.0,
        gaps: key as f32,
        gap_ms: 1.0,
    };
    let report = bounded_report((0..5_000).map(pace).collect());
    assert_eq!(report.len(), 128);
    assert!(report.iter().all(|pace| pace.gaps >= 4_872.0));
    let few: Vec<_> = (0..90).map(pace).collect();
    assert_eq!(bounded_report(few.clone()), few);
}
