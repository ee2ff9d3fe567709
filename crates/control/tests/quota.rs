//! Randomized test of tenant quotas over all routers: for any demand, urgencies, returns of refused callers,
//! changes of leader, delays and changes of quotas, no window runs more of a tenant's requests than its
//! bound allows.
//!
//! Runs use virtual time. Each mutant removes one safeguard and must be detected.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use railtack_control::serving::quota::{
    MAX_LEADERSHIP_CONFIRMATION_AGE, grant_times,
    ledger::{LedgerReply, QuotaLedger, Withdrawal},
};
use railtack_rpc::serving::{GRANT_TTL, GRANT_WAIT_DIVISOR, QuotaUrgency};
use railtack_serving::{ContentKey, TenantQuota};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use support::{at, bounds, quota};
use tokio::time::Instant;

const SEEDS: u64 = 3_000;
/// Seeds of runs with urgencies and returns, which take longer.
const URGENCY_SEEDS: u64 = 1_000;
/// Seeds within which each mutant must be detected.
const MUTANT_SEEDS: u64 = 1_500;
const RUN_MS: u64 = 24_000;
const ROUTERS: u32 = 300;
const TENANT: &str = "office";
/// Tolerated usage above the quota, tokens.
const SLACK: f64 = 110_000.0;

/// A safeguard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    /// No safeguard is removed.
    None,
    /// Every request is granted.
    NoLimit,
    /// Routers use grants however late the reply arrives.
    LateGrantsAccepted,
    /// A new term starts with full buckets.
    FullBucketsAtNewTerm,
    /// A previous leader keeps granting quota until it learns of the new one.
    StaleLeaderGrants,
    /// Routers send promised callers' requests without a grant when they return.
    PromisesUsedAsGrants,
    /// A kept promise is granted again to later requests of the same content.
    PromisesGrantedTwice,
}

/// A control replica that is the leader, or believes that it is.
struct Leader {
    ledger: QuotaLedger,
    /// Time of its last confirmation as leader; `None` until it is replaced.
    last_confirmation_ms: Option<u64>,
}

/// Cost of one request, and when it was sent to a replica.
#[derive(Clone, Copy)]
struct Usage {
    at_ms: u64,
    cost: u64,
}

/// A request on its way to a leader.
#[derive(Clone, Copy)]
struct QuotaRequest {
    requested_ms: u64,
    cost: u64,
    leader: usize,
    /// `None` for a router of the previous build.
    urgency: Option<QuotaUrgency>,
    /// Whether its caller was promised capacity and returned.
    is_promised: bool,
}

impl QuotaRequest {
    fn max_wait(&self) -> Duration {
        let objective_ms = self.urgency.map_or(0, |urgency| urgency.objective_ms);
        if objective_ms == 0 {
            return Duration::from_millis(100);
        }
        Duration::from_millis(u64::from(objective_ms)) / GRANT_WAIT_DIVISOR
    }
}

/// Requests that a simulation sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Demand {
    /// Requests without urgency, as of routers of the previous build.
    Unstated,
    /// Requests of several urgencies, whose callers return when they were told; few without.
    ByUrgency,
}

struct Simulation {
    random: StdRng,
    demand: Demand,
    mutant: Mutant,
    start: Instant,
    leaders: Vec<Leader>,
    /// Quotas with the times from which they apply.
    quotas: Vec<(u64, TenantQuota)>,
    /// Requests by time of arrival.
    in_flight: BTreeMap<u64, Vec<QuotaRequest>>,
    usages: Vec<Usage>,
    /// Contents of promised requests that were granted on return.
    kept: BTreeSet<ContentKey>,
}

impl Simulation {
    fn new(seed: u64, demand: Demand, mutant: Mutant) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let rate = random.random_range(40_000..600_000);
        let burst = random.random_range(rate / 2..rate * 2);
        let mut simulation = Self {
            random,
            demand,
            mutant,
            start: Instant::now(),
            leaders: Vec::new(),
            quotas: vec![(0, quota(rate, burst))],
            in_flight: BTreeMap::new(),
            usages: Vec::new(),
            kept: BTreeSet::new(),
        };
        simulation.elect(0);
        simulation
    }

    /// Elects a new leader; the last confirmation of the previous one is some time old.
    fn elect(&mut self, now_ms: u64) {
        let confirmation_age = self.random.random_range(0..200);
        if let Some(previous) = self.leaders.last_mut() {
            previous.last_confirmation_ms = Some(now_ms.saturating_sub(confirmation_age));
        }
        let began = at(self.start, now_ms);
        let mut ledger = QuotaLedger::new(bounds(SLACK), grant_times(), began);
        if self.mutant == Mutant::FullBucketsAtNewTerm {
            ledger = QuotaLedger::new(
                bounds(SLACK),
                grant_times(),
                began - Duration::from_secs(60),
            );
        }
        self.leaders.push(Leader {
            ledger,
            last_confirmation_ms: None,
        });
    }

    /// Raises or lowers the quota, sometimes to almost nothing.
    fn change_quota(&mut self, now_ms: u64) {
        let min_rate = if self.random.random_bool(0.2) {
            2
        } else {
            40_000
        };
        let rate = self
            .random
            .random_range(min_rate..600_000.min(min_rate * 15));
        let burst = self.random.random_range(rate / 2..rate * 2);
        self.quotas.push((now_ms, quota(rate, burst)));
    }

    fn current_quota(&self) -> TenantQuota {
        self.quotas[self.quotas.len() - 1].1
    }

    /// A router sends a request to one of the replicas that believe to be the leader.
    fn send_request(&mut self, now_ms: u64, cost: u64) {
        let urgency = self.random_urgency();
        let request = QuotaRequest {
            requested_ms: now_ms,
            cost,
            leader: self.any_leader(),
            urgency,
            is_promised: false,
        };
        let arrives_ms = now_ms + self.delay();
        self.in_flight.entry(arrives_ms).or_default().push(request);
    }

    /// One of the replicas that believe to be the leader.
    fn any_leader(&mut self) -> usize {
        let to_previous = self.leaders.len() > 1 && self.random.random_bool(0.5);
        self.leaders.len() - 1 - usize::from(to_previous)
    }

    /// Urgencies of a few routes, also out of range; some requests have the same content, and some routers
    /// state no urgency.
    fn random_urgency(&mut self) -> Option<QuotaUrgency> {
        if self.demand == Demand::Unstated || self.random.random_bool(0.2) {
            return None;
        }
        let routes = [(0, 400), (2, 1_000), (2, 300), (200, 1_000), (5, 0)];
        let (priority, objective_ms) = routes[self.random.random_range(0..routes.len())];
        Some(QuotaUrgency {
            priority,
            objective_ms,
            time_left_ms: self.random.random_range(0..12_000),
            content: ContentKey(self.random.random_range(0..5_000)),
        })
    }

    /// A refused caller returns at the time it was told, through another router, if it can wait that long.
    fn return_later(&mut self, now_ms: u64, request: QuotaRequest, retry_after: Duration) {
        let Some(urgency) = request.urgency else {
            return;
        };
        let stays_away = self.random.random_bool(0.1);
        if request.is_promised || stays_away || !urgency.is_promised(retry_after) {
            return;
        }
        let requested_ms = now_ms + retry_after.as_millis() as u64 + self.delay();
        let returned = QuotaRequest {
            requested_ms,
            leader: self.any_leader(),
            is_promised: true,
            ..request
        };
        let arrives_ms = requested_ms + self.delay();
        self.in_flight.entry(arrives_ms).or_default().push(returned);
    }

    /// Whether a mutant sends the request without a grant.
    fn is_sent_without_grant(&self, request: &QuotaRequest) -> bool {
        match self.mutant {
            Mutant::PromisesUsedAsGrants => request.is_promised,
            Mutant::PromisesGrantedTwice => self.is_promised_twice(request),
            _ => false,
        }
    }

    /// Whether a promise to the request was kept before.
    fn is_promised_twice(&self, request: &QuotaRequest) -> bool {
        let content = request.urgency.map(|urgency| urgency.content);
        content.is_some_and(|content| self.kept.contains(&content))
    }

    /// The request arrives; the router uses the grant if the reply is in time.
    fn handle_request(&mut self, now_ms: u64, request: QuotaRequest) {
        if self.is_sent_without_grant(&request) {
            self.usages.push(Usage {
                at_ms: now_ms,
                cost: request.cost,
            });
            return;
        }
        let quota = self.current_quota();
        let max_confirmation_age = if self.mutant == Mutant::StaleLeaderGrants {
            Duration::from_secs(8)
        } else {
            MAX_LEADERSHIP_CONFIRMATION_AGE
        };
        let start = self.start;
        let leader = &mut self.leaders[request.leader];
        let confirmation_age = leader
            .last_confirmation_ms
            .map_or(0, |confirmed_ms| now_ms - confirmed_ms);
        if Duration::from_millis(confirmation_age) >= max_confirmation_age {
            return;
        }
        let withdrawal = Withdrawal {
            account: TENANT,
            quota,
            cost: request.cost,
            max_wait: request.max_wait(),
            urgency: request.urgency,
        };
        let reply = leader.ledger.withdraw(withdrawal, at(start, now_ms));
        let wait_ms = match reply {
            LedgerReply::Granted { wait } => {
                let promised = request.urgency.filter(|_| request.is_promised);
                self.kept.extend(promised.map(|urgency| urgency.content));
                wait.as_millis() as u64
            }
            LedgerReply::Refused { .. } if self.mutant == Mutant::NoLimit => 0,
            LedgerReply::Refused { retry_after, .. } => {
                self.return_later(now_ms, request, retry_after);
                return;
            }
        };
        let replied_ms = now_ms + self.delay();
        let used_ms = replied_ms + wait_ms;
        let in_time = used_ms <= request.requested_ms + wait_ms + GRANT_TTL.as_millis() as u64;
        if in_time || self.mutant == Mutant::LateGrantsAccepted {
            self.usages.push(Usage {
                at_ms: used_ms,
                cost: request.cost,
            });
        }
    }

    /// Mostly short; occasionally a message or a process is delayed for seconds.
    fn delay(&mut self) -> u64 {
        if self.random.random_bool(0.1) {
            self.random.random_range(0..4_000)
        } else {
            self.random.random_range(0..20)
        }
    }

    fn run(&mut self) {
        // Demand varies between far below and far above the quota.
        let mut pause_limit = 100;
        for now_ms in 0..RUN_MS {
            if self.random.random_ratio(1, 2_000) {
                pause_limit = *[1, 5, 50, 1_000]
                    .get(self.random.random_range(0..4))
                    .unwrap_or(&1);
            }
            if self.random.random_ratio(1, 5_000) {
                self.elect(now_ms);
            }
            if self.random.random_ratio(1, 12_000) {
                self.change_quota(now_ms);
            }
            for request in self.in_flight.remove(&now_ms).unwrap_or_default() {
                self.handle_request(now_ms, request);
            }
            if self.random.random_ratio(1, pause_limit) {
                // Routers keep no state, so it does not matter which of them sends the request.
                let _router = self.random.random_range(0..ROUTERS);
                let cost = self.random.random_range(200..50_000);
                self.send_request(now_ms, cost);
            }
        }
    }

    /// The first window that exceeds its bound: its start, the cost and the bound.
    fn violated_window(&mut self) -> Option<(u64, f64, f64)> {
        self.usages.sort_by_key(|used| used.at_ms);
        let window = bounds(SLACK).window_ms;
        let mut end = 0;
        let mut sum = 0.0;
        for begin in 0..self.usages.len() {
            let began_ms = self.usages[begin].at_ms;
            while end < self.usages.len() && self.usages[end].at_ms < began_ms + window {
                sum += self.usages[end].cost as f64;
                end += 1;
            }
            let bound = self.bound(began_ms, window);
            if sum > bound {
                return Some((began_ms, sum, bound));
            }
            sum -= self.usages[begin].cost as f64;
        }
        None
    }

    /// The bound on a window; a lower quota applies one window after its change.
    fn bound(&self, began_ms: u64, window_ms: u64) -> f64 {
        let bounds = bounds(SLACK);
        let mut largest: f64 = 0.0;
        for (position, (from_ms, quota)) in self.quotas.iter().enumerate() {
            let until_ms = self
                .quotas
                .get(position + 1)
                .map_or(u64::MAX, |next| next.0);
            let in_force =
                *from_ms <= began_ms + window_ms && until_ms.saturating_add(window_ms) >= began_ms;
            if in_force {
                let window_s = window_ms as f64 / 1_000.0;
                let allowance = quota.rate_per_s as f64 * window_s + quota.burst as f64;
                largest = largest.max(allowance * (1.0 + bounds.overage) + bounds.slack);
            }
        }
        largest
    }
}

fn failing_seed(demand: Demand, mutant: Mutant, seeds: u64) -> Option<(u64, (u64, f64, f64))> {
    (0..seeds).find_map(|seed| {
        let mut simulation = Simulation::new(seed, demand, mutant);
        simulation.run();
        simulation.violated_window().map(|window| (seed, window))
    })
}

#[test]
fn no_window_exceeds_the_bound() {
    assert_eq!(failing_seed(Demand::Unstated, Mutant::None, SEEDS), None);
}

#[test]
fn each_mutant_is_detected() {
    for mutant in [
        Mutant::NoLimit,
        Mutant::LateGrantsAccepted,
        Mutant::FullBucketsAtNewTerm,
        Mutant::StaleLeaderGrants,
    ] {
        let detected = failing_seed(Demand::Unstated, mutant, MUTANT_SEEDS);
        assert!(detected.is_some(), "{mutant:?} was not detected");
    }
}

/// Load: requests of all urgencies and returning callers beside changes of leader and of the quota.
#[test]
fn no_window_exceeds_the_bound_with_urgencies_and_returns() {
    let failing = failing_seed(Demand::ByUrgency, Mutant::None, URGENCY_SEEDS);
    assert_eq!(failing, None);
}

#[test]
fn each_mutant_of_returns_is_detected() {
    for mutant in [
        Mutant::NoLimit,
        Mutant::FullBucketsAtNewTerm,
        Mutant::StaleLeaderGrants,
        Mutant::PromisesUsedAsGrants,
        Mutant::PromisesGrantedTwice,
    ] {
        let detected = failing_seed(Demand::ByUrgency, mutant, URGENCY_SEEDS);
        assert!(detected.is_some(), "{mutant:?} was not detected");
    }
}
