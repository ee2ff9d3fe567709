//! Randomized test of back-end limits over all routers: for any order of messages, changes of
//! leader, delays and changes of limits, no window receives more requests than its limit allows.
//!
//! Runs use virtual time. Each mutant removes one safeguard and must be detected.

use std::{collections::BTreeMap, time::Duration};

use railtack_control::serving::{
    limits::{
        LimitLedger, LimitObservation, MAX_WINDOW_RATIO, PermitDecision, WINDOW,
        WINDOW_SLACK_REQUESTS,
    },
    quota::MAX_LEADERSHIP_CONFIRMATION_AGE,
};
use railtack_rpc::serving::GRANT_TTL;
use railtack_serving::RequestLimit;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const SEEDS: u64 = 2_000;
/// Seeds within which each mutant must be detected.
const MUTANT_SEEDS: u64 = 400;
const RUN_MS: u64 = 40_000;
const ROUTERS: usize = 30;
const INCARNATION_ID: &str = "i-1";
/// Time after which a new limit binds all routers, unless messages are delayed.
const LIMIT_EFFECTIVE_AFTER_MS: u64 = 3_000;

/// A safeguard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    /// No safeguard is removed.
    None,
    /// Routers send all requests without permits.
    NoPermits,
    /// Each router applies the limit by itself.
    NoSharing,
    /// Routers use permits however late the reply arrives.
    LatePermitsAccepted,
    /// A previous leader keeps granting permits until it learns of the new one.
    StaleLeaderGrants,
    /// The last report raises or lifts a limit, whichever permit its request had.
    LastReportWins,
}

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// A control replica that is the leader, or believes that it is.
struct Leader {
    ledger: LimitLedger,
    /// Time of its last confirmation as leader; `None` until it is replaced.
    last_confirmation_ms: Option<u64>,
}

/// When and by which leader a permit was granted.
#[derive(Clone, Copy)]
struct GrantedPermit {
    leader: usize,
    at_ms: u64,
}

/// A limit received by a router.
#[derive(Clone, Copy)]
struct Report {
    limit: Option<RequestLimit>,
    received_ms: u64,
    permit: Option<GrantedPermit>,
}

enum Event {
    /// A permit request, or a report without one, arrives at a leader.
    PermitRequest {
        router: usize,
        requested_ms: u64,
        leader: usize,
        report: Report,
        wants_permit: bool,
    },
    /// The reply arrives at the router.
    PermitReply {
        router: usize,
        requested_ms: u64,
        granted: Option<GrantedPermit>,
    },
    /// The back end's response arrives at the router.
    Response {
        router: usize,
        limit: Option<RequestLimit>,
        permit: Option<GrantedPermit>,
    },
}

struct Simulation {
    random: StdRng,
    mutant: Mutant,
    start: Instant,
    now_ms: u64,
    leaders: Vec<Leader>,
    /// The limit that the back end advertises in its next response.
    advertised: Option<RequestLimit>,
    /// Advertised limits, each with the time of the first response that had it.
    advertised_history: Vec<(u64, Option<RequestLimit>)>,
    /// Limit last received by each router; kept until a leader replies that there is none.
    known_limits: Vec<Option<Report>>,
    /// When each router last sent a request, for [`Mutant::NoSharing`].
    sent_ms: Vec<u64>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Until when replies with permits are delayed; they then arrive all at once.
    permits_delayed_until_ms: u64,
    arrivals: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let mut simulation = Self {
            random: StdRng::seed_from_u64(seed),
            mutant,
            start: Instant::now(),
            now_ms: 0,
            leaders: Vec::new(),
            advertised: None,
            advertised_history: Vec::new(),
            known_limits: vec![None; ROUTERS],
            sent_ms: vec![0; ROUTERS],
            events: BTreeMap::new(),
            permits_delayed_until_ms: 0,
            arrivals: Vec::new(),
        };
        simulation.elect();
        simulation.change_limit();
        simulation
    }

    fn elect(&mut self) {
        let confirmation_age = self.random.random_range(0..200);
        let now_ms = self.now_ms;
        if let Some(previous) = self.leaders.last_mut() {
            previous.last_confirmation_ms = Some(now_ms.saturating_sub(confirmation_age));
        }
        self.leaders.push(Leader {
            ledger: LimitLedger::default(),
            last_confirmation_ms: None,
        });
    }

    fn change_limit(&mut self) {
        let choices = [
            None,
            Some(0.0),
            Some(0.3),
            Some(1.0),
            Some(1.2),
            Some(10.0),
            Some(40.0),
        ];
        let choice = choices[self.random.random_range(0..choices.len())];
        self.advertised = choice.map(|per_s| RequestLimit::per_s(per_s).expect("a limit"));
    }

    fn advertise(&mut self) -> Option<RequestLimit> {
        if self.advertised_history.last().map(|(_, limit)| *limit) != Some(self.advertised) {
            self.advertised_history.push((self.now_ms, self.advertised));
        }
        self.advertised
    }

    /// Mostly short; occasionally a message or a process is delayed for seconds.
    fn delay(&mut self) -> u64 {
        if self.random.random_bool(0.02) {
            self.random.random_range(1..3_000)
        } else {
            self.random.random_range(1..15)
        }
    }

    fn schedule(&mut self, event: Event) {
        let mut due = self.now_ms + self.delay();
        if matches!(event, Event::PermitReply { .. }) {
            due = due.max(self.permits_delayed_until_ms);
        }
        self.events.entry(due).or_default().push(event);
    }

    fn leader(&mut self) -> usize {
        let to_previous = self.leaders.len() > 1 && self.random.random_bool(0.3);
        self.leaders.len() - 1 - usize::from(to_previous)
    }

    /// Handles a request that a router has for the back end.
    fn handle_demand(&mut self, router: usize) {
        let Some(report) = self.known_limits[router] else {
            return self.send(router, None);
        };
        match self.mutant {
            Mutant::NoPermits => self.send(router, None),
            Mutant::NoSharing => {
                let per_s = report.limit.map_or(40.0, RequestLimit::requests_per_s);
                let interval_ms = (1e3 / per_s.max(0.25)) as u64;
                if self.now_ms >= self.sent_ms[router] + interval_ms {
                    self.send(router, None);
                }
            }
            _ => self.request_permit(router, report, true),
        }
    }

    fn request_permit(&mut self, router: usize, report: Report, wants_permit: bool) {
        let request = Event::PermitRequest {
            router,
            requested_ms: self.now_ms,
            leader: self.leader(),
            report,
            wants_permit,
        };
        self.schedule(request);
    }

    fn send(&mut self, router: usize, permit: Option<GrantedPermit>) {
        self.arrivals.push(self.now_ms);
        self.sent_ms[router] = self.now_ms;
        let limit = self.advertise();
        self.schedule(Event::Response {
            router,
            limit,
            permit,
        });
    }

    fn handle_response(
        &mut self,
        router: usize,
        limit: Option<RequestLimit>,
        permit: Option<GrantedPermit>,
    ) {
        let report = Report {
            limit,
            received_ms: self.now_ms,
            permit,
        };
        if limit.is_some() {
            // Later reports of this limit must not carry the permit.
            let permit = None;
            self.known_limits[router] = Some(Report { permit, ..report });
        }
        let knows_limit = self.known_limits[router].is_some();
        if knows_limit || permit.is_some() {
            self.request_permit(router, report, false);
        }
    }

    fn handle_permit_request(
        &mut self,
        (router, requested_ms): (usize, u64),
        leader_index: usize,
        report: Report,
        wants_permit: bool,
    ) {
        let now = at(self.start, self.now_ms);
        let leader = &mut self.leaders[leader_index];
        let max_confirmation_age = if self.mutant == Mutant::StaleLeaderGrants {
            Duration::from_secs(8)
        } else {
            MAX_LEADERSHIP_CONFIRMATION_AGE
        };
        let confirmation_age = leader
            .last_confirmation_ms
            .map_or(0, |confirmed_ms| self.now_ms - confirmed_ms);
        if confirmation_age >= milliseconds(max_confirmation_age) {
            return;
        }
        // The delay of the message counts towards the age.
        let age = Duration::from_millis(requested_ms.saturating_sub(report.received_ms));
        let granted = report
            .permit
            .filter(|granted| granted.leader == leader_index);
        let observation = LimitObservation {
            limit: report.limit,
            observed_at: now - age.min(Duration::from_millis(self.now_ms)),
            permitted_at: match self.mutant {
                Mutant::LastReportWins => Some(now),
                _ => granted.map(|granted| at(self.start, granted.at_ms)),
            },
        };
        leader.ledger.record(INCARNATION_ID, observation, now);
        if !wants_permit {
            return;
        }
        let granted = match leader.ledger.acquire(INCARNATION_ID, now) {
            PermitDecision::Granted(_) => Some(GrantedPermit {
                leader: leader_index,
                at_ms: self.now_ms,
            }),
            PermitDecision::Denied { .. } => return,
            PermitDecision::Unlimited => {
                self.known_limits[router] = None;
                None
            }
        };
        self.schedule(Event::PermitReply {
            router,
            requested_ms,
            granted,
        });
    }

    fn handle_permit_reply(
        &mut self,
        router: usize,
        requested_ms: u64,
        granted: Option<GrantedPermit>,
    ) {
        let is_fresh = self.now_ms <= requested_ms + milliseconds(GRANT_TTL);
        if is_fresh || self.mutant == Mutant::LatePermitsAccepted {
            self.send(router, granted);
        }
    }

    fn run(&mut self) {
        let mut pause_limit = 50;
        while self.now_ms < RUN_MS {
            self.now_ms += 1;
            if self.random.random_ratio(1, 3_000) {
                pause_limit = [2, 10, 50, 1_000][self.random.random_range(0..4)];
            }
            if self.random.random_ratio(1, 6_000) {
                self.elect();
            }
            if self.random.random_ratio(1, 9_000) {
                self.change_limit();
            }
            if self.random.random_ratio(1, 9_000) {
                self.permits_delayed_until_ms =
                    self.now_ms + self.random.random_range(1_000..4_000);
            }
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                match event {
                    Event::PermitRequest {
                        router,
                        requested_ms,
                        leader,
                        report,
                        wants_permit,
                    } => self.handle_permit_request(
                        (router, requested_ms),
                        leader,
                        report,
                        wants_permit,
                    ),
                    Event::PermitReply {
                        router,
                        requested_ms,
                        granted,
                    } => self.handle_permit_reply(router, requested_ms, granted),
                    Event::Response {
                        router,
                        limit,
                        permit,
                    } => self.handle_response(router, limit, permit),
                }
            }
            // The digest informs all routers about a limit some time after it was advertised.
            self.broadcast_digest();
            if self.random.random_ratio(1, pause_limit) {
                let router = self.random.random_range(0..ROUTERS);
                self.handle_demand(router);
            }
        }
    }

    /// Twice per second, sends the newest leader's limit to all routers.
    fn broadcast_digest(&mut self) {
        if !self.now_ms.is_multiple_of(500) || self.mutant == Mutant::NoPermits {
            return;
        }
        let leader = &self.leaders[self.leaders.len() - 1];
        let now = at(self.start, self.now_ms);
        let Some((_, limit, age)) = leader.ledger.limited(now).next() else {
            return;
        };
        let digest_limit = Report {
            limit: Some(limit),
            received_ms: self.now_ms.saturating_sub(milliseconds(age)),
            permit: None,
        };
        for known in &mut self.known_limits {
            let is_newer = known.is_none_or(|known| known.received_ms < digest_limit.received_ms);
            if is_newer {
                *known = Some(digest_limit);
            }
        }
    }

    /// The first window with more requests than allowed: its start, the requests and the bound.
    fn violated_window(&self) -> Option<(u64, usize, f64)> {
        let window_ms = milliseconds(WINDOW);
        let mut end = 0;
        for (begin, began_ms) in self.arrivals.iter().enumerate() {
            while end < self.arrivals.len() && self.arrivals[end] < began_ms + window_ms {
                end += 1;
            }
            let Some(allowed) = self.allowed(*began_ms, began_ms + window_ms) else {
                continue;
            };
            if (end - begin) as f64 > allowed {
                return Some((*began_ms, end - begin, allowed));
            }
        }
        None
    }

    /// Requests allowed in a window; `None` if unlimited. A previous limit counts until the next
    /// one takes effect.
    fn allowed(&self, began_ms: u64, ended_ms: u64) -> Option<f64> {
        let mut largest: f64 = 0.0;
        for (position, (from_ms, limit)) in self.advertised_history.iter().enumerate() {
            let until_ms = self
                .advertised_history
                .get(position + 1)
                .map_or(u64::MAX, |next| next.0);
            let counts =
                *from_ms < ended_ms && until_ms.saturating_add(LIMIT_EFFECTIVE_AFTER_MS) > began_ms;
            let is_first = position == 0 && began_ms < from_ms + LIMIT_EFFECTIVE_AFTER_MS;
            if counts || is_first {
                largest = largest.max((*limit)?.requests_per_s());
            }
        }
        let first_ms = self.advertised_history[0].0;
        (began_ms >= first_ms + LIMIT_EFFECTIVE_AFTER_MS)
            .then(|| MAX_WINDOW_RATIO * largest * WINDOW.as_secs_f64() + WINDOW_SLACK_REQUESTS)
    }
}

fn failing_seed(mutant: Mutant, seeds: u64) -> Option<(u64, (u64, usize, f64))> {
    (0..seeds).find_map(|seed| {
        let mut simulation = Simulation::new(seed, mutant);
        simulation.run();
        simulation.violated_window().map(|window| (seed, window))
    })
}

#[test]
fn no_window_exceeds_what_a_limit_allows() {
    assert_eq!(failing_seed(Mutant::None, SEEDS), None);
}

#[test]
fn each_mutant_is_detected() {
    for mutant in [
        Mutant::NoPermits,
        Mutant::NoSharing,
        Mutant::LatePermitsAccepted,
        Mutant::StaleLeaderGrants,
        Mutant::LastReportWins,
    ] {
        let detected = failing_seed(mutant, MUTANT_SEEDS);
        assert!(detected.is_some(), "{mutant:?} was not detected");
    }
}
