//! Tests of rollouts that follow the load: the plan is executed step by step in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use railtack_control::{
    serving::{
        rollout_pace::{FleetConditions, LoadDurations},
        rollout_plan::{PaceInputs, RolloutInputs, RolloutStep, TargetVersion, plan_rollout},
    },
    serving_state::ServingState,
};
use railtack_rpc::serving::{ConfigurationDocument, FleetDigest, ReplicaCondition, ServingCommand};
use railtack_serving::{
    EngineConfig, ModelWeights, ReplicaKey, ReplicaRecord, ReplicaState, ServiceConfig,
    ServingConfiguration,
};

const VERSION_MS: u64 = 15_000;
const TICK_MS: u64 = 100;
/// Time from an order's record to its receipt.
const PREPARATION_MS: u64 = 200;
const SLOTS: u32 = 64;
const KV_CAPACITY_TOKENS: u64 = 110_000;

/// Load of one replica: open requests and queued prompt tokens.
#[derive(Clone, Copy)]
struct Load {
    open_requests: u16,
    queued_tokens: u32,
}

const QUIET: Load = Load {
    open_requests: 3,
    queued_tokens: 2_000,
};
const SURGE: Load = Load {
    open_requests: 40,
    queued_tokens: 40_000,
};

/// Replicas that execute the steps of the plan.
struct Fake {
    state: ServingState,
    index: u64,
    now_ms: u64,
    targets: Vec<(u64, u64)>,
    /// Loads in progress: when each began, and the work that is left, milliseconds.
    loads: BTreeMap<String, (u64, f64)>,
    durations: LoadDurations,
    /// Duration of a single load, milliseconds.
    load_ms: f64,
    /// Concurrent loads beyond which each takes longer.
    unhindered_loads: usize,
    dark: BTreeSet<String>,
    has_digest: bool,
    most_at_once: usize,
}

fn id(position: usize) -> String {
    format!("r{position:03}")
}

fn weights(version: u64) -> ModelWeights {
    ModelWeights {
        model: "m".to_owned(),
        version,
    }
}

fn record(position: usize, version: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: id(position),
        service: "pool".to_owned(),
        address: format!("h:{position}"),
        zone: "a".to_owned(),
        slots: SLOTS,
        state: ReplicaState::Ready,
        weights: vec![weights(version)],
        order: None,
        changed_at: 0,
    }
}

fn configuration() -> ServingConfiguration {
    ServingConfiguration {
        revision: 1,
        services: vec![ServiceConfig {
            name: "pool".to_owned(),
            max_connections: 0,
            engine: Some(EngineConfig {
                slots: SLOTS,
                kv_capacity_tokens: KV_CAPACITY_TOKENS,
                token_bytes: 1,
                models: vec!["m".to_owned()],
            }),
            store: None,
        }],
        ..ServingConfiguration::default()
    }
}

impl Fake {
    fn new(replicas: usize, unhindered_loads: usize) -> Self {
        let mut fake = Self {
            state: ServingState::default(),
            index: 0,
            now_ms: 0,
            targets: Vec::new(),
            loads: BTreeMap::new(),
            durations: LoadDurations::default(),
            load_ms: 1_300.0,
            unhindered_loads,
            dark: BTreeSet::new(),
            has_digest: true,
            most_at_once: 0,
        };
        fake.apply(ServingCommand::PutDocument(ConfigurationDocument {
            revision: 1,
            content: Vec::new(),
            configuration: configuration(),
        }));
        for position in 0..replicas {
            fake.apply(ServingCommand::Register(record(position, 1)));
        }
        fake
    }

    fn apply(&mut self, command: ServingCommand) {
        self.index += 1;
        self.state.apply(self.index, command);
    }

    fn set_target(&mut self, version: u64) {
        self.apply(ServingCommand::SetTargetWeights(weights(version)));
        self.targets.push((version, self.now_ms));
    }

    /// The token of the order lock.
    fn token(&mut self) -> u64 {
        self.apply(ServingCommand::AcquireOrderLock {
            holder: "n".to_owned(),
        });
        self.index
    }

    fn conditions(&self, load: Load) -> FleetConditions {
        let replicas = self.state.replicas().keys();
        let conditions = replicas.map(|replica| ReplicaCondition {
            replica: ReplicaKey::of(replica),
            open_requests: load.open_requests,
            pending_prefill_tokens: load.queued_tokens,
            silent_ms: 0,
            is_unresponsive: self.dark.contains(replica),
        });
        FleetConditions::new(&FleetDigest {
            replicas: conditions.collect(),
            ..FleetDigest::default()
        })
    }

    /// Replicas that are given an order now.
    fn begun(&self, fleet: &FleetConditions) -> Vec<String> {
        let ages = self.targets.iter().map(|(version, at)| TargetVersion {
            version: *version,
            age_ms: self.now_ms - at,
        });
        let targets = BTreeMap::from([("m".to_owned(), ages.collect())]);
        let inputs = RolloutInputs {
            targets: &targets,
            version_ms: VERSION_MS,
            load_interval_ms: None,
            pace: self.has_digest.then_some(PaceInputs {
                fleet,
                durations: &self.durations,
            }),
        };
        let steps = plan_rollout(&self.state, inputs).steps;
        let begun = steps.into_iter().filter_map(|step| match step {
            RolloutStep::Begin { replica, .. } => Some(replica),
            RolloutStep::Check { .. } => None,
        });
        begun.collect()
    }

    /// Executes one interval under the load.
    fn tick(&mut self, load: Load) {
        let fleet = self.conditions(load);
        let token = self.token();
        for replica in self.begun(&fleet) {
            let order = railtack_serving::PendingOrder {
                model: "m".to_owned(),
                version: self.state.weights()["m"],
            };
            self.apply(ServingCommand::BeginOrder {
                token,
                replica: replica.clone(),
                order,
            });
            self.loads.insert(replica, (self.now_ms, self.load_ms));
        }
        self.advance();
    }

    fn advance(&mut self) {
        let lit = |replica: &&String| !self.dark.contains(*replica);
        let loading = self.loads.keys().filter(lit).count();
        self.most_at_once = self.most_at_once.max(loading);
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        let is_started = |began: u64| now_ms > began + PREPARATION_MS;
        let running = self
            .loads
            .iter()
            .filter(|(replica, (began, _))| is_started(*began) && !self.dark.contains(*replica));
        let concurrent = running.count();
        let rate = (self.unhindered_loads as f64 / concurrent.max(1) as f64).min(1.0);
        for (replica, (began, left)) in &mut self.loads {
            if is_started(*began) && !self.dark.contains(replica) {
                *left -= TICK_MS as f64 * rate;
            }
        }
        let done: Vec<String> = self
            .loads
            .iter()
            .filter(|(_, (_, left))| *left <= 0.0)
            .map(|(replica, _)| replica.clone())
            .collect();
        for replica in done {
            let (began, _) = self.loads.remove(&replica).expect("a load in progress");
            let load_ms = now_ms - began - PREPARATION_MS;
            self.durations.record(concurrent, load_ms, PREPARATION_MS);
            let mut updated = self.state.replicas()[&replica].clone();
            let version = updated.order.take().expect("a pending order").version;
            updated.weights = vec![weights(version)];
            self.apply(ServingCommand::Register(updated));
        }
    }

    /// Number of replicas in contact that hold older weights than `version`.
    fn outdated(&self, version: u64) -> usize {
        let records = self.state.replicas().values();
        let outdated = records.filter(|record| record.version_of("m") < Some(version));
        outdated
            .filter(|record| !self.dark.contains(&record.id))
            .count()
    }

    /// Runs until all replicas in contact hold `version`; returns the time since it was named.
    fn run_until_current(&mut self, version: u64, load: impl Fn(u64) -> Load) -> u64 {
        let named_at = self.now_ms;
        while self.outdated(version) > 0 {
            self.tick(load(self.now_ms));
            assert!(
                self.now_ms - named_at < VERSION_MS,
                "the version bound is exceeded"
            );
            assert!(self.most_at_once < self.state.replicas().keys().count());
        }
        self.now_ms - named_at
    }
}

/// Answers a surge while a quarter of the replicas is lost: fewer loads take replicas out of service, and the
/// version bound still holds.
#[test]
fn fewer_replicas_load_beside_a_loss_and_a_surge_and_the_bound_holds() {
    let mut fake = Fake::new(40, 10);
    fake.set_target(2);
    fake.dark = (0..10).map(id).collect();
    while fake.now_ms < 2_000 {
        fake.tick(QUIET);
    }
    // Loads that are in progress when the surge begins are not counted.
    for _ in 0..16 {
        fake.tick(SURGE);
    }
    fake.most_at_once = 0;
    fake.run_until_current(2, |_| SURGE);
    // A quarter of the replicas would be ten.
    assert!(fake.most_at_once <= 8, "{} at once", fake.most_at_once);
    assert!(fake.now_ms < VERSION_MS * 6 / 10, "{} ms", fake.now_ms);
}

/// Answers the loss of a quarter of the replicas: those that are unresponsive do not use up the concurrent loads.
#[test]
fn unresponsive_replicas_do_not_keep_others_from_loading() {
    let mut fake = Fake::new(40, 40);
    fake.dark = (0..10).map(id).collect();
    fake.set_target(2);
    fake.tick(QUIET);
    assert_eq!(
        fake.loads
            .keys()
            .filter(|replica| fake.dark.contains(*replica))
            .count(),
        0
    );
    fake.run_until_current(2, |_| QUIET);
    for _ in 0..10 {
        fake.tick(QUIET);
    }
    let dark_orders = fake.loads.len();
    assert_eq!(
        dark_orders, 10,
        "unresponsive replicas get their orders in the end"
    );
}

/// Answers a quiet service whose loads do not slow each other down: later rollouts take less time than with a quarter
/// of the replicas at once.
#[test]
fn a_quiet_service_loads_more_than_a_quarter_if_loads_stay_as_fast() {
    let mut by_share = Fake::new(50, 50);
    by_share.has_digest = false;
    by_share.set_target(2);
    let before = by_share.run_until_current(2, |_| QUIET);
    let mut fake = Fake::new(50, 50);
    // A replica that came back with older weights has loaded by itself before.
    fake.durations.record(1, 1_300, PREPARATION_MS);
    fake.set_target(2);
    fake.run_until_current(2, |_| QUIET);
    fake.set_target(3);
    let paced = fake.run_until_current(3, |_| QUIET);
    assert!(paced * 3 < before * 2, "{paced} ms instead of {before} ms");
    assert!(fake.most_at_once <= 25);
}

/// Answers loads that slow each other down: no more replicas are out of service than shorten the rollout.
#[test]
fn loads_that_slow_each_other_down_are_not_added() {
    let mut by_share = Fake::new(90, 12);
    by_share.load_ms = 600.0;
    by_share.has_digest = false;
    by_share.set_target(2);
    let before = by_share.run_until_current(2, |_| QUIET);
    let mut fake = Fake::new(90, 12);
    fake.load_ms = 600.0;
    // Load and time have kept some loads apart before, so the duration of a load by itself is known.
    fake.durations.record(4, 600, PREPARATION_MS);
    fake.set_target(2);
    fake.run_until_current(2, |_| QUIET);
    fake.most_at_once = 0;
    fake.set_target(3);
    let paced = fake.run_until_current(3, |_| QUIET);
    assert!(fake.most_at_once <= 18, "{} at once", fake.most_at_once);
    assert!(paced <= before + 500, "{paced} ms instead of {before} ms");
}

/// Answers a version that is named before the previous one is everywhere.
#[test]
fn overlapping_versions_meet_the_bound_of_each() {
    let mut fake = Fake::new(60, 12);
    fake.set_target(2);
    while fake.now_ms < 2_000 {
        fake.tick(QUIET);
    }
    fake.set_target(3);
    while fake.outdated(2) > 0 {
        fake.tick(SURGE);
    }
    assert!(fake.now_ms < VERSION_MS * 8 / 10, "{} ms", fake.now_ms);
    fake.run_until_current(3, |_| SURGE);
    assert!(
        fake.now_ms < 2_000 + VERSION_MS * 8 / 10,
        "{} ms",
        fake.now_ms
    );
}

/// Answers a change of the leader during a rollout: without a digest a quarter loads, as without this mechanism.
#[test]
fn a_leader_without_a_digest_loads_a_quarter() {
    let mut fake = Fake::new(40, 40);
    fake.has_digest = false;
    fake.set_target(2);
    fake.tick(SURGE);
    assert_eq!(fake.loads.len(), 10);
    fake.has_digest = true;
    fake.run_until_current(2, |_| SURGE);
}

/// Answers streams that a load interrupts: replicas with the fewest open requests load first, after those with the
/// oldest weights.
#[test]
fn replicas_with_the_fewest_open_requests_load_first() {
    let mut fake = Fake::new(8, 8);
    fake.apply(ServingCommand::Register(record(0, 2)));
    fake.set_target(3);
    let condition = |position: usize, open_requests, pending_prefill_tokens| ReplicaCondition {
        replica: ReplicaKey::of(&id(position)),
        open_requests,
        pending_prefill_tokens,
        silent_ms: 0,
        is_unresponsive: false,
    };
    let mut replicas: Vec<_> = (1..8).map(|position| condition(position, 9, 0)).collect();
    replicas[3] = condition(4, 2, 700);
    replicas[4] = condition(5, 2, 300);
    let fleet = FleetConditions::new(&FleetDigest {
        replicas,
        ..FleetDigest::default()
    });
    assert_eq!(fake.begun(&fleet), [id(5), id(4)]);
}

/// Answers full load at any size of the service: some replica always serves, and some replica always loads.
#[test]
fn never_all_replicas_load_at_once() {
    for replicas in 2..24 {
        for load in [QUIET, SURGE] {
            let mut fake = Fake::new(replicas, 4);
            fake.set_target(2);
            fake.run_until_current(2, |_| load);
            assert!(fake.most_at_once < replicas);
        }
    }
}

/// Answers the loss of one of two replicas: the other one loads only when the time runs out.
#[test]
fn the_last_responsive_replica_loads_only_when_the_time_runs_out() {
    let mut fake = Fake::new(2, 2);
    fake.durations.record(1, 1_300, PREPARATION_MS);
    fake.dark = BTreeSet::from([id(0)]);
    fake.set_target(2);
    for _ in 0..30 {
        fake.tick(QUIET);
    }
    assert!(fake.loads.is_empty());
    fake.run_until_current(2, |_| QUIET);
    assert!(fake.now_ms < VERSION_MS * 8 / 10);
}
