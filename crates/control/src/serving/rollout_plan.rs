//! Plans which back-end replicas load newer weights next. Pure.
//!
//! A rollout starts as soon as a new target version is set. A replica serves no requests while it
//! loads, so only some of a model's replicas load at a time: as many as [`rollout_pace`] allows under
//! the current load, or a share of the replicas without a digest. Both grow when the time in which
//! requests may still start on older weights runs out.
//!
//! [`rollout_pace`]: crate::serving::rollout_pace

use std::collections::BTreeMap;

use railtack_serving::{PendingOrder, ReplicaRecord, ReplicaState};

use crate::{
    serving::rollout_pace::{
        FleetConditions, LoadDurations, LoadLimit, ModelLoad, REPLICAS_PER_LOAD,
        REPLICAS_PER_LOAD_WHEN_LATE, Remaining, load_limit,
    },
    serving_state::ServingState,
};

/// Share of the time bound in which all replicas should have loaded the new weights.
const PLANNED_SHARE: f64 = 0.75;
/// The same while the load holds back loads. A load that waits takes as much capacity later, and what starts on the
/// older weights meanwhile is worth less; the other half is left for orders that are lost and for newer versions.
const PACED_SHARE: f64 = 0.5;

/// Factor on the expected duration of a rollout.
const DURATION_MARGIN: f64 = 1.2;
/// Expected duration of a rollout as a share of the time bound, before one was measured.
const ASSUMED_SHARE: f64 = 0.4;

/// One step for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Record the order, so that routers stop sending requests to the replica, and then send it.
    Begin {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
    },
    /// Check whether the replica has executed the recorded order, and send it again if it seems
    /// lost.
    Check {
        /// The replica.
        replica: String,
        /// The order.
        order: PendingOrder,
        /// The newest target version.
        target_version: u64,
    },
}

impl RolloutStep {
    /// The replica of the step.
    pub fn replica(&self) -> &str {
        match self {
            Self::Begin { replica, .. } | Self::Check { replica, .. } => replica,
        }
    }
}

/// A target version and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// Time since it was first seen, milliseconds.
    pub age_ms: u64,
}

/// Inputs besides the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct RolloutInputs<'a> {
    /// Recent target versions of each model.
    pub targets: &'a BTreeMap<String, Vec<TargetVersion>>,
    /// Time after which requests must not start on older weights, milliseconds.
    pub version_ms: u64,
    /// Recent average time between the ends of two loads, milliseconds. Weights come from a shared
    /// source, so more concurrent loads may not finish sooner.
    pub load_interval_ms: Option<u64>,
    /// Load of the service; `None` without a digest, or if loads do not follow it.
    pub pace: Option<PaceInputs<'a>>,
}

impl RolloutInputs<'_> {
    /// Expected time for `remaining` replicas, with a margin, milliseconds.
    fn expected_ms(&self, remaining: usize) -> u64 {
        let expected = match self.load_interval_ms {
            Some(interval) => interval as f64 * remaining as f64,
            None => self.version_ms as f64 * ASSUMED_SHARE,
        };
        (expected * DURATION_MARGIN) as u64
    }

    /// Time until a replica that holds version `held` should have newer weights if a share of the bound is planned
    /// for it, milliseconds.
    fn time_left_ms(&self, model: &str, held: u64, share: f64) -> u64 {
        let newer = self.targets.get(model).into_iter().flatten();
        let oldest_age = newer
            .filter(|target| target.version > held)
            .map(|target| target.age_ms)
            .max()
            .unwrap_or(0);
        let planned = (self.version_ms as f64 * share) as u64;
        planned.saturating_sub(oldest_age)
    }
}

/// Current load of the replicas and the measured durations of loads.
#[derive(Clone, Copy, Debug)]
pub struct PaceInputs<'a> {
    /// Conditions of the replicas in the current digest.
    pub fleet: &'a FleetConditions,
    /// Measured durations of loads.
    pub durations: &'a LoadDurations,
}

/// Pace of the rollout of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPace {
    /// Name of the model.
    pub model: String,
    /// Number of concurrent loads.
    pub limit: LoadLimit,
    /// Load of the replicas.
    pub load: ModelLoad,
    /// Loads that remain until each of the points in time that are to be met.
    pub remaining: Vec<Remaining>,
}

/// Steps that are due, and the paces that they follow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// The steps.
    pub steps: Vec<RolloutStep>,
    /// Paces of the models whose replicas have outdated weights; empty without a digest.
    pub paces: Vec<ModelPace>,
}

/// Plans the next steps for all models.
pub fn plan_rollout(state: &ServingState, inputs: RolloutInputs<'_>) -> RolloutPlan {
    let mut plan = RolloutPlan::default();
    for (model, version) in state.weights() {
        ModelRollout::new(state, model, *version, inputs).plan(&mut plan);
    }
    plan
}

/// A ready replica that holds the model.
struct Holder<'a> {
    record: &'a ReplicaRecord,
    held: u64,
    is_unresponsive: bool,
    open_requests: u64,
    pending_prefill_tokens: u64,
}

impl Holder<'_> {
    /// Order in which replicas load. One that is unresponsive executes no order now. Of the others, those
    /// with the oldest weights come first, since these are the first that may not be used any more, and
    /// then those whose load interrupts the fewest requests.
    fn rank(&self) -> (bool, u64, u64, u64) {
        (
            self.is_unresponsive,
            self.held,
            self.open_requests,
            self.pending_prefill_tokens,
        )
    }
}

/// The rollout of one model.
struct ModelRollout<'a> {
    state: &'a ServingState,
    model: &'a str,
    version: u64,
    inputs: RolloutInputs<'a>,
    holders: Vec<Holder<'a>>,
}

impl<'a> ModelRollout<'a> {
    fn new(
        state: &'a ServingState,
        model: &'a str,
        version: u64,
        inputs: RolloutInputs<'a>,
    ) -> Self {
        let fleet = inputs.pace.map(|pace| pace.fleet);
        let ready = state
            .replicas()
            .values()
            .filter(|record| record.state == ReplicaState::Ready);
        let holders = ready.filter_map(|record| {
            let (open_requests, pending_prefill_tokens) =
                fleet.map_or((0, 0), |fleet| fleet.load(record));
            Some(Holder {
                record,
                held: record.version_of(model)?,
                is_unresponsive: fleet.is_some_and(|fleet| fleet.is_unresponsive(record)),
                open_requests,
                pending_prefill_tokens,
            })
        });
        Self {
            state,
            model,
            version,
            inputs,
            holders: holders.collect(),
        }
    }

    fn plan(&self, plan: &mut RolloutPlan) {
        plan.steps.extend(self.checks());
        let mut outdated: Vec<&Holder<'_>> = self.outdated().collect();
        outdated.sort_by_key(|holder| holder.rank());
        let Some(first) = outdated.first() else {
            return;
        };
        let due: Vec<&Holder<'_>> = match self.inputs.pace {
            Some(pace) => self.due_at_pace(&outdated, pace, plan),
            None => self.due_by_share(&outdated, first.held),
        };
        let begun = due.into_iter().map(|holder| RolloutStep::Begin {
            replica: holder.record.id.clone(),
            order: PendingOrder {
                model: self.model.to_owned(),
                version: self.version,
            },
        });
        plan.steps.extend(begun);
    }

    /// Checks of the orders that are pending.
    fn checks(&self) -> impl Iterator<Item = RolloutStep> {
        self.holders.iter().filter_map(|holder| {
            let order = holder.record.order.as_ref()?;
            (order.model == self.model).then(|| RolloutStep::Check {
                replica: holder.record.id.clone(),
                order: order.clone(),
                target_version: self.version,
            })
        })
    }

    fn outdated(&self) -> impl Iterator<Item = &Holder<'a>> {
        let idle = self
            .holders
            .iter()
            .filter(|holder| holder.record.order.is_none());
        idle.filter(|holder| holder.held < self.version)
    }

    /// Number of replicas with a pending order of any model that fulfil a condition.
    fn loading(&self, is_counted: impl Fn(&Holder<'_>) -> bool) -> usize {
        let loading = self
            .holders
            .iter()
            .filter(|holder| holder.record.order.is_some());
        loading.filter(|holder| is_counted(holder)).count()
    }

    /// Replicas that begin to load now without regard to the load of the service.
    fn due_by_share<'b>(&self, outdated: &[&'b Holder<'a>], oldest: u64) -> Vec<&'b Holder<'a>> {
        let time_left_ms = self.inputs.time_left_ms(self.model, oldest, PLANNED_SHARE);
        let loading = self.loading(|_| true);
        let expected_ms = self.inputs.expected_ms(loading + outdated.len());
        let limit = max_concurrent_loads(self.holders.len(), time_left_ms < expected_ms / 2);
        let free = limit.saturating_sub(loading);
        outdated.iter().take(free).copied().collect()
    }

    /// Replicas that begin to load now at the pace that the load of the service allows. Replicas that are
    /// unresponsive execute no order, so they do not keep others from loading; they are given theirs once
    /// all others have the newest weights.
    fn due_at_pace<'b>(
        &self,
        outdated: &[&'b Holder<'a>],
        pace: PaceInputs<'_>,
        plan: &mut RolloutPlan,
    ) -> Vec<&'b Holder<'a>> {
        let loading = self.loading(|holder| !holder.is_unresponsive);
        let responsive: Vec<&'b Holder<'a>> = outdated
            .iter()
            .copied()
            .filter(|holder| !holder.is_unresponsive)
            .collect();
        if responsive.is_empty() {
            let limit = max_concurrent_loads(self.holders.len(), false);
            let free = limit.saturating_sub(self.loading(|_| true));
            return outdated.iter().take(free).copied().collect();
        }
        let load = self.load();
        let remaining = self.remaining(loading, &responsive);
        let limit = load_limit(&load, &remaining, pace.durations);
        plan.paces.push(ModelPace {
            model: self.model.to_owned(),
            limit,
            load,
            remaining,
        });
        let free = limit.loads.saturating_sub(loading);
        responsive.into_iter().take(free).collect()
    }

    /// Loads that remain until the replicas with each of the outdated versions should have newer weights;
    /// `outdated` is ordered by version.
    fn remaining(&self, loading: usize, outdated: &[&Holder<'_>]) -> Vec<Remaining> {
        let groups = outdated.chunk_by(|one, other| one.held == other.held);
        let mut replicas = loading;
        let remaining = groups.map(|group| {
            replicas += group.len();
            Remaining {
                replicas,
                time_left_ms: self
                    .inputs
                    .time_left_ms(self.model, group[0].held, PACED_SHARE),
            }
        });
        remaining.collect()
    }

    /// Load of the responsive replicas.
    fn load(&self) -> ModelLoad {
        let responsive = self.holders.iter().filter(|holder| !holder.is_unresponsive);
        let service = self.holders.first().map(|holder| &holder.record.service);
        let configuration = self.state.configuration();
        let engine = service
            .and_then(|service| configuration.service(service))
            .and_then(|service| service.engine.as_ref());
        let mut load = ModelLoad {
            kv_capacity_tokens: engine.map_or(0, |engine| engine.kv_capacity_tokens),
            ..ModelLoad::default()
        };
        for holder in responsive {
            load.responsive += 1;
            load.open_requests += holder.open_requests;
            load.pending_prefill_tokens += holder.pending_prefill_tokens;
            load.slots = load.slots.max(holder.record.slots);
        }
        load.unresponsive = self.holders.len() - load.responsive;
        load
    }
}

/// Number of replicas that may load at the same time without regard to the load: more if the rollout is
/// late. With two or more replicas, one always serves.
fn max_concurrent_loads(replicas: usize, is_late: bool) -> usize {
    let replicas_per_load = if is_late {
        REPLICAS_PER_LOAD_WHEN_LATE
    } else {
        REPLICAS_PER_LOAD
    };
    let kept_serving = usize::from(replicas > 1);
    replicas
        .div_ceil(replicas_per_load)
        .min(replicas.saturating_sub(kept_serving))
        .max(1)
}
