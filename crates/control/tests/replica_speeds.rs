//! Relative speeds of replicas from the paces of all routers.
//!
//! The simulated service reads 56.6 prompt tokens and generates an event of four tokens in 16 ms at the usual
//! speed. Replicas are plain values without processes or network.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use railtack_control::serving::{
    fleet::KnownReplica,
    replica_speeds::{ReplicaSpeeds, SpeedChange},
};
use railtack_rpc::serving::{ReplicaPace, ReplicaSpeed};
use railtack_serving::{RelativeSpeed, ReplicaKey};
use tokio::time::Instant;

const REPLICAS: u32 = 90;
const ROUTERS: u32 = 3;
const TOKENS_PER_MS: f64 = 56.6;
const EVENT_MS: f64 = 16.0;
const FIRST_EVENTS: f64 = 60.0;
const OWN_TOKENS: f64 = 2_000.0;
const GAPS: f64 = 1_200.0;
const INTERVAL: Duration = Duration::from_secs(1);
/// Evaluations after which every lasting speed has been found.
const ENOUGH_EVALUATIONS: u32 = 6;

/// A replica's speed, and its load.
#[derive(Clone, Copy)]
struct Replica {
    speed: f64,
    /// Tokens of other prompts before each of its prompts.
    queued_tokens: f64,
    /// Tokens counted as queued although they were prefilled since the last digest.
    overstated_tokens: f64,
    /// Share of the time that it spends on other prompts between two events.
    prefill_share: f64,
}

const USUAL: Replica = at_speed(1.0);

const fn at_speed(speed: f64) -> Replica {
    Replica {
        speed,
        queued_tokens: 0.0,
        overstated_tokens: 0.0,
        prefill_share: 0.2,
    }
}

/// Speeds by turns, as in a service of three kinds of machines.
fn by_turns(speeds: [f64; 3]) -> Vec<Replica> {
    let turns = speeds.iter().cycle().take(REPLICAS as usize);
    turns.map(|speed| at_speed(*speed)).collect()
}

/// The sums of one router's equal share of the streams at a replica.
fn pace(key: u32, replica: Replica) -> ReplicaPace {
    let share = 1.0 / f64::from(ROUTERS);
    let tokens = OWN_TOKENS + replica.queued_tokens;
    let event_ms = EVENT_MS / replica.speed / (1.0 - replica.prefill_share);
    let first_event_ms = tokens / TOKENS_PER_MS / replica.speed + event_ms;
    ReplicaPace {
        replica: ReplicaKey(key),
        first_events: (FIRST_EVENTS * share) as f32,
        prefilled_tokens: (FIRST_EVENTS * share * (tokens + replica.overstated_tokens)) as f32,
        first_event_ms: (FIRST_EVENTS * share * first_event_ms) as f32,
        gaps: (GAPS * share) as f32,
        gap_ms: (GAPS * share * event_ms) as f32,
    }
}

fn paces(replicas: &[Replica]) -> Vec<ReplicaPace> {
    let numbered = (0..).zip(replicas);
    numbered.map(|(key, replica)| pace(key, *replica)).collect()
}

fn known(replicas: usize) -> Vec<KnownReplica<'static>> {
    let keys = (0..replicas as u32).map(ReplicaKey);
    keys.map(|key| KnownReplica {
        key,
        service: "pool",
        is_alive: true,
    })
    .collect()
}

/// A leader to which all routers report.
struct Leader {
    speeds: ReplicaSpeeds,
    now: Instant,
}

impl Leader {
    fn new() -> Self {
        Self {
            speeds: ReplicaSpeeds::default(),
            now: Instant::now(),
        }
    }

    /// Reports the paces of all routers and evaluates them, several times; returns the changes.
    fn observe(&mut self, replicas: &[Replica], evaluations: u32) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        for _ in 0..evaluations {
            for router in 0..ROUTERS {
                let router = format!("r{router}");
                let paces = paces(replicas);
                let dropped = self.speeds.record_router_report(&router, paces, self.now);
                assert_eq!(dropped, 0);
            }
            changes.extend(self.evaluate(replicas.len()));
        }
        changes
    }

    fn evaluate(&mut self, replicas: usize) -> Vec<SpeedChange> {
        let changes = self.speeds.evaluate(&known(replicas), self.now);
        self.now += INTERVAL;
        changes
    }

    fn steps(&self) -> Vec<(u32, i8)> {
        let unusual = self.speeds.unusual();
        let steps = unusual.iter();
        steps
            .map(|entry| (entry.replica.0, entry.speed.steps()))
            .collect()
    }
}

/// Guards against homes spread evenly over replicas of unequal speed: most prompts live on the slow ones.
#[test]
fn replicas_of_three_speeds_get_their_steps_relative_to_the_middle() {
    let mut leader = Leader::new();
    leader.observe(&by_turns([0.7, 0.7, 1.7]), ENOUGH_EVALUATIONS);
    let steps = leader.steps();
    assert_eq!(steps.len(), 30, "{steps:?}");
    // 1.7 / 0.7 is 2.43: 2.56 steps of a factor of 1.41.
    assert!(
        steps.iter().all(|(key, steps)| key % 3 == 2 && *steps == 3),
        "{steps:?}"
    );
    // The same with the slow ones in the minority.
    let mut leader = Leader::new();
    leader.observe(&by_turns([1.0, 1.0, 0.41]), ENOUGH_EVALUATIONS);
    let steps = leader.steps();
    assert_eq!(steps.len(), 30, "{steps:?}");
    assert!(
        steps
            .iter()
            .all(|(key, steps)| key % 3 == 2 && *steps == -3),
        "{steps:?}"
    );
}

/// Guards against a fast change of homes on the first few streams: the fewer, the larger the difference must be.
#[test]
fn a_small_difference_takes_more_samples_than_a_large_one() {
    let mut replicas = vec![USUAL; REPLICAS as usize];
    replicas[3].speed = 0.45;
    replicas[5].speed = 0.62;
    let mut leader = Leader::new();
    let few = |pace: ReplicaPace| ReplicaPace {
        first_events: pace.first_events * 0.7,
        prefilled_tokens: pace.prefilled_tokens * 0.7,
        first_event_ms: pace.first_event_ms * 0.7,
        ..pace
    };
    for _ in 0..ENOUGH_EVALUATIONS {
        let paces = paces(&replicas).into_iter().map(few).collect();
        leader.speeds.record_router_report("r0", paces, leader.now);
        leader.evaluate(replicas.len());
    }
    assert_eq!(leader.steps(), [(3, -2)]);
    leader.observe(&replicas, ENOUGH_EVALUATIONS);
    assert_eq!(leader.steps(), [(3, -2), (5, -1)]);
}

/// Guards against homes that move although all replicas are alike.
#[test]
fn replicas_of_one_speed_have_the_usual_one() {
    let mut leader = Leader::new();
    assert_eq!(leader.observe(&by_turns([1.0, 1.0, 1.0]), 50), []);
    // A difference of less than a step is not worth a move.
    assert_eq!(leader.observe(&by_turns([0.85, 1.0, 1.15]), 50), []);
    assert_eq!(leader.steps(), []);
}

/// Guards against a popular prefix: its home has a queue and long gaps, and would lose its other homes as well.
#[test]
fn a_busy_replica_of_usual_speed_keeps_the_usual_step() {
    let mut replicas = vec![USUAL; REPLICAS as usize];
    replicas[7].queued_tokens = 8_000.0;
    replicas[7].prefill_share = 0.7;
    replicas[8].prefill_share = 0.5;
    // An idle one has shorter gaps than the others.
    replicas[9].prefill_share = 0.0;
    let mut leader = Leader::new();
    assert_eq!(leader.observe(&replicas, 50), []);
}

/// Guards against homes that move to a replica because it had few: with a short queue, prompts and gaps seem faster.
#[test]
fn a_lightly_loaded_replica_of_usual_speed_keeps_the_usual_step() {
    let loaded = Replica {
        queued_tokens: 2_000.0,
        // The interleaved generation of the other streams counts for no tokens.
        overstated_tokens: -1_500.0,
        prefill_share: 0.5,
        ..USUAL
    };
    let mut replicas = vec![loaded; REPLICAS as usize];
    replicas[12] = USUAL;
    let mut leader = Leader::new();
    assert_eq!(leader.observe(&replicas, 50), []);
}

/// Guards against a replica that is throttled in the middle of the day.
#[test]
fn a_replica_that_slows_down_is_found_and_no_other_changes() {
    let mut replicas = by_turns([0.7, 0.7, 1.7]);
    let mut leader = Leader::new();
    leader.observe(&replicas, ENOUGH_EVALUATIONS);
    let before = leader.steps();
    replicas[10].speed *= 0.5;
    let changes = leader.observe(&replicas, ENOUGH_EVALUATIONS);
    let found: Vec<_> = changes.iter().map(|change| change.replica.0).collect();
    assert_eq!(found, [10]);
    assert_eq!(changes[0].after.steps(), -2);
    replicas[10].speed *= 2.0;
    leader.observe(&replicas, ENOUGH_EVALUATIONS);
    assert_eq!(leader.steps(), before);
}

/// Guards against homes that move to and fro: a slow replica that has lost homes has a shorter queue, of which the
/// routers' figures are older than it is, so that its prompts seem fast while its gaps remain long.
#[test]
fn a_slow_replica_keeps_its_step_when_its_load_changes() {
    let mut replicas = by_turns([1.0, 1.0, 0.41]);
    let mut leader = Leader::new();
    leader.observe(&replicas, ENOUGH_EVALUATIONS);
    let before = leader.steps();
    assert_eq!(before.len(), 30);
    for slow in replicas.iter_mut().filter(|replica| replica.speed < 0.5) {
        slow.overstated_tokens = 2_500.0;
        slow.prefill_share = 0.4;
    }
    assert_eq!(leader.observe(&replicas, 50), []);
    assert_eq!(leader.steps(), before);
}

/// Guards against a short disturbance, such as a lossy link: a change must last for three evaluations.
#[test]
fn a_change_must_last() {
    let usual = vec![USUAL; REPLICAS as usize];
    let mut disturbed = usual.clone();
    disturbed[4].speed = 0.4;
    let mut leader = Leader::new();
    for _ in 0..10 {
        assert_eq!(leader.observe(&disturbed, 2), []);
        assert_eq!(leader.observe(&usual, 1), []);
    }
    assert_eq!(leader.observe(&disturbed, 3).len(), 1);
}

/// Guards against moving homes whenever the leader changes.
#[test]
fn a_change_of_leader_changes_no_speed() {
    let replicas = by_turns([0.7, 0.7, 1.7]);
    let mut old = Leader::new();
    old.observe(&replicas, ENOUGH_EVALUATIONS);
    let mut new = Leader::new();
    new.speeds.adopt(&old.speeds.unusual());
    // The first evaluations have no reports, then those of one router, then all.
    for _ in 0..3 {
        assert_eq!(new.evaluate(replicas.len()), []);
    }
    let first = paces(&replicas[..40]);
    new.speeds.record_router_report("r0", first, new.now);
    assert_eq!(new.evaluate(replicas.len()), []);
    assert_eq!(new.observe(&replicas, 20), []);
    assert_eq!(new.steps(), old.steps());
}

/// Guards against a switch of the reference, which would change the speeds of all replicas.
#[test]
fn two_halves_of_different_speed_keep_their_steps() {
    let mut replicas = vec![at_speed(1.0); 45];
    replicas.extend([at_speed(2.0); 45]);
    let mut leader = Leader::new();
    leader.observe(&replicas, ENOUGH_EVALUATIONS);
    let before = leader.steps();
    assert_eq!(before.len(), 45);
    // One of the slow half is lost.
    replicas[0] = at_speed(2.0);
    let changes = leader.observe(&replicas, ENOUGH_EVALUATIONS);
    assert_eq!(changes.len(), 1);
    assert_eq!(leader.steps().len(), 46);
}

/// Guards against a faulty router: its sums are dropped, and the others still count.
#[test]
fn implausible_sums_are_dropped_and_counted() {
    let sound = pace(3, USUAL);
    let gaps = |gaps| ReplicaPace { gaps, ..sound };
    let gap_ms = |gap_ms| ReplicaPace { gap_ms, ..sound };
    let tokens = |prefilled_tokens| ReplicaPace {
        prefilled_tokens,
        ..sound
    };
    let waits = |first_event_ms| ReplicaPace {
        first_event_ms,
        ..sound
    };
    let firsts = |first_events| ReplicaPace {
        first_events,
        ..sound
    };
    let absurd = vec![
        gaps(f32::NAN),
        gaps(-1.0),
        gaps(1e30),
        gap_ms(f32::INFINITY),
        gap_ms(-1.0),
        gap_ms(1e30),
        tokens(f32::NAN),
        tokens(1e30),
        waits(-1.0),
        waits(1e30),
        firsts(f32::NEG_INFINITY),
        firsts(1e30),
    ];
    let mut leader = Leader::new();
    let replicas = by_turns([0.7, 0.7, 1.7]);
    for _ in 0..ENOUGH_EVALUATIONS {
        let count = absurd.len();
        let dropped = leader
            .speeds
            .record_router_report("faulty", absurd.clone(), leader.now);
        assert_eq!(dropped, count);
        let dropped = leader
            .speeds
            .record_control_report("c9", absurd.clone(), leader.now);
        assert_eq!(dropped, count);
        leader.observe(&replicas, 1);
    }
    assert_eq!(leader.steps().len(), 30);
}

/// Guards against a mix of builds: a former router reports no paces, and an empty report replaces none, since paces
/// come less often than other observations.
#[test]
fn a_router_of_a_former_build_does_not_matter() {
    let replicas = by_turns([0.7, 0.7, 1.7]);
    let mut leader = Leader::new();
    for _ in 0..ENOUGH_EVALUATIONS {
        let paces = paces(&replicas);
        for (router, paces) in [("r0", paces), ("r0", Vec::new()), ("former", Vec::new())] {
            leader
                .speeds
                .record_router_report(router, paces, leader.now);
        }
        leader.evaluate(replicas.len());
    }
    assert_eq!(leader.steps().len(), 30);
}

#[test]
fn control_replicas_add_up_their_routers() {
    let replicas = by_turns([0.7, 0.7, 1.7]);
    let mut control = ReplicaSpeeds::default();
    let mut leader = Leader::new();
    for router in ["r1", "r2"] {
        control.record_router_report(router, paces(&replicas), leader.now);
    }
    let report = control.due_report(leader.now);
    assert_eq!(report.len(), REPLICAS as usize);
    let single = pace(0, replicas[0]);
    assert_eq!(report[0].gaps, single.gaps * 2.0);
    assert_eq!(report[0].first_event_ms, single.first_event_ms * 2.0);
    // The next report is due after an interval.
    assert_eq!(control.due_report(leader.now + INTERVAL / 2), []);
    assert!(!control.due_report(leader.now + INTERVAL).is_empty());
    // Reports of silent routers expire.
    assert_eq!(control.due_report(leader.now + INTERVAL * 6), []);
    for _ in 0..ENOUGH_EVALUATIONS {
        leader
            .speeds
            .record_control_report("c2", report.clone(), leader.now);
        leader.evaluate(replicas.len());
    }
    assert_eq!(leader.steps().len(), 30);
}

/// Guards against judging from a handful of streams, or a service of two replicas without a middle.
#[test]
fn few_samples_tell_nothing() {
    let replicas = by_turns([0.5, 0.5, 4.0]);
    let mut leader = Leader::new();
    for _ in 0..50 {
        let few = paces(&replicas).into_iter().map(|pace| ReplicaPace {
            first_events: pace.first_events / 4.0,
            prefilled_tokens: pace.prefilled_tokens / 4.0,
            first_event_ms: pace.first_event_ms / 4.0,
            ..pace
        });
        leader
            .speeds
            .record_router_report("r0", few.collect(), leader.now);
        assert_eq!(leader.evaluate(replicas.len()), []);
    }
    let mut leader = Leader::new();
    assert_eq!(leader.observe(&[at_speed(1.0), at_speed(3.0)], 50), []);
}

/// A replica that is no longer registered loses its speed with its record.
#[test]
fn speeds_of_removed_replicas_are_forgotten() {
    let mut leader = Leader::new();
    let removed = ReplicaSpeed {
        replica: ReplicaKey(u32::MAX),
        speed: RelativeSpeed::from_ratio(2.0),
    };
    leader.speeds.adopt(&[removed]);
    leader.evaluate(REPLICAS as usize);
    assert_eq!(leader.steps(), []);
}

quickcheck! {
    /// Errors of a measurement, up to a seventh in either direction, change no speed.
    fn chance_changes_no_speed(errors: Vec<u8>) -> TestResult {
        if errors.is_empty() {
            return TestResult::discard();
        }
        let usual = vec![USUAL; 9];
        let mut leader = Leader::new();
        let mut errors = errors.iter().cycle();
        for _ in 0..20 {
            let disturbed = usual.iter().map(|replica| {
                let error = f64::from(*errors.next().unwrap_or(&0)) / 255.0 * 2.0 - 1.0;
                Replica { speed: replica.speed * (1.0 + error / 7.0), ..*replica }
            });
            let disturbed: Vec<_> = disturbed.collect();
            if !leader.observe(&disturbed, 1).is_empty() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
}
