//! Limits of back ends over all routers: no order of messages, leaders, lost time and changed limits lets more
//! arrive in a window than a limit allows.
//!
//! The runs are in virtual time. Each mutant takes one safeguard away and must be noticed.

use std::{collections::BTreeMap, time::Duration};

use railtack_control::serving::{
    limits::{ALLOWED_REQUESTS, ALLOWED_SHARE, HeardLimit, LimitLedger, PermitDecision, WINDOW},
    quota::LEADERSHIP_PROVED_WITHIN,
};
use railtack_rpc::serving::GRANT_TTL;
use railtack_serving::RequestLimit;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::Instant;

const SEEDS: u64 = 2_000;
/// Seeds within which each mutant must be noticed.
const MUTANT_SEEDS: u64 = 400;
const RUN_MS: u64 = 40_000;
const ROUTERS: usize = 30;
const LIFE: &str = "i-1";
/// Time in which an answer takes effect at the leader unless messages rest, and a new limit binds all routers.
const BINDS_AFTER_MS: u64 = 3_000;

/// A safeguard that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    /// None: the code as it is.
    None,
    /// Routers send what they have.
    NoPermits,
    /// Each router keeps to the limit by itself.
    NoSharing,
    /// Routers use permits however late the answer is.
    LatePermitsUsed,
    /// A former leader goes on giving permits until it hears of the new one.
    FormerLeaderGoesOn,
    /// Whatever a leader is told last raises or lifts a limit.
    LastWordWins,
}

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// A control replica that leads, or believes that it does.
struct Leader {
    ledger: LimitLedger,
    /// When it last had proof; `None` while nobody has replaced it.
    last_proof_ms: Option<u64>,
}

/// When a permit was given, and by whom.
#[derive(Clone, Copy)]
struct Given {
    leader: usize,
    at_ms: u64,
}

/// What a router heard.
#[derive(Clone, Copy)]
struct Statement {
    limit: Option<RequestLimit>,
    heard_ms: u64,
    permit: Option<Given>,
}

enum Event {
    /// A question, or what a router tells, arrives at a leader.
    Question {
        router: usize,
        asked_ms: u64,
        leader: usize,
        statement: Statement,
        wants_permit: bool,
    },
    /// The answer arrives at the router.
    Permit {
        router: usize,
        asked_ms: u64,
        given: Option<Given>,
    },
    /// The back end's answer arrives at the router.
    Answer {
        router: usize,
        limit: Option<RequestLimit>,
        permit: Option<Given>,
    },
}

struct World {
    random: StdRng,
    mutant: Mutant,
    start: Instant,
    now_ms: u64,
    leaders: Vec<Leader>,
    /// What the back end names in its next answer.
    names: Option<RequestLimit>,
    /// What it named, each with the moment of the first answer that did.
    named: Vec<(u64, Option<RequestLimit>)>,
    /// What each router heard last; kept until a leader says that there is no limit.
    heard: Vec<Option<Statement>>,
    /// When each router sent something last, for a mutant.
    sent_ms: Vec<u64>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Until when permits that are given rest on their way, and come all at once.
    permits_rest_until_ms: u64,
    arrivals: Vec<u64>,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            mutant,
            start: Instant::now(),
            now_ms: 0,
            leaders: Vec::new(),
            names: None,
            named: Vec::new(),
            heard: vec![None; ROUTERS],
            sent_ms: vec![0; ROUTERS],
            events: BTreeMap::new(),
            permits_rest_until_ms: 0,
            arrivals: Vec::new(),
        };
        world.elect();
        world.change_limit();
        world
    }

    fn elect(&mut self) {
        let proof_age = self.random.random_range(0..200);
        let now_ms = self.now_ms;
        if let Some(former) = self.leaders.last_mut() {
            former.last_proof_ms = Some(now_ms.saturating_sub(proof_age));
        }
        self.leaders.push(Leader {
            ledger: LimitLedger::default(),
            last_proof_ms: None,
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
        self.names = choice.map(|per_s| RequestLimit::per_s(per_s).expect("a limit"));
    }

    fn says(&mut self) -> Option<RequestLimit> {
        if self.named.last().map(|(_, limit)| *limit) != Some(self.names) {
            self.named.push((self.now_ms, self.names));
        }
        self.names
    }

    /// Mostly short; now and then a message or a process rests for seconds.
    fn delay(&mut self) -> u64 {
        if self.random.random_bool(0.02) {
            self.random.random_range(1..3_000)
        } else {
            self.random.random_range(1..15)
        }
    }

    fn later(&mut self, event: Event) {
        let mut due = self.now_ms + self.delay();
        if matches!(event, Event::Permit { .. }) {
            due = due.max(self.permits_rest_until_ms);
        }
        self.events.entry(due).or_default().push(event);
    }

    fn leader(&mut self) -> usize {
        let to_former = self.leaders.len() > 1 && self.random.random_bool(0.3);
        self.leaders.len() - 1 - usize::from(to_former)
    }

    /// A router has a request for the back end.
    fn request(&mut self, router: usize) {
        let Some(statement) = self.heard[router] else {
            return self.send(router, None);
        };
        match self.mutant {
            Mutant::NoPermits => self.send(router, None),
            Mutant::NoSharing => {
                let per_s = statement.limit.map_or(40.0, RequestLimit::requests_per_s);
                let apart_ms = (1e3 / per_s.max(0.25)) as u64;
                if self.now_ms >= self.sent_ms[router] + apart_ms {
                    self.send(router, None);
                }
            }
            _ => self.ask(router, statement, true),
        }
    }

    fn ask(&mut self, router: usize, statement: Statement, wants_permit: bool) {
        let question = Event::Question {
            router,
            asked_ms: self.now_ms,
            leader: self.leader(),
            statement,
            wants_permit,
        };
        self.later(question);
    }

    fn send(&mut self, router: usize, permit: Option<Given>) {
        self.arrivals.push(self.now_ms);
        self.sent_ms[router] = self.now_ms;
        let limit = self.says();
        self.later(Event::Answer {
            router,
            limit,
            permit,
        });
    }

    fn answer(&mut self, router: usize, limit: Option<RequestLimit>, permit: Option<Given>) {
        let statement = Statement {
            limit,
            heard_ms: self.now_ms,
            permit,
        };
        if limit.is_some() {
            // Without the permit it came by, as it is told again later.
            let permit = None;
            self.heard[router] = Some(Statement {
                permit,
                ..statement
            });
        }
        let knows = self.heard[router].is_some();
        if knows || permit.is_some() {
            self.ask(router, statement, false);
        }
    }

    fn question(
        &mut self,
        (router, asked_ms): (usize, u64),
        position: usize,
        statement: Statement,
        wants_permit: bool,
    ) {
        let now = at(self.start, self.now_ms);
        let leader = &mut self.leaders[position];
        let proved_within = if self.mutant == Mutant::FormerLeaderGoesOn {
            Duration::from_secs(8)
        } else {
            LEADERSHIP_PROVED_WITHIN
        };
        let proof_age = leader.last_proof_ms.map_or(0, |proof| self.now_ms - proof);
        if proof_age >= milliseconds(proved_within) {
            return;
        }
        // The message's own time counts as the router's.
        let age = Duration::from_millis(asked_ms.saturating_sub(statement.heard_ms));
        let given = statement.permit.filter(|given| given.leader == position);
        let heard = HeardLimit {
            limit: statement.limit,
            heard_at: now - age.min(Duration::from_millis(self.now_ms)),
            permitted_at: match self.mutant {
                Mutant::LastWordWins => Some(now),
                _ => given.map(|given| at(self.start, given.at_ms)),
            },
        };
        leader.ledger.note(LIFE, heard, now);
        if !wants_permit {
            return;
        }
        let given = match leader.ledger.take(LIFE, now) {
            PermitDecision::Given(_) => Some(Given {
                leader: position,
                at_ms: self.now_ms,
            }),
            PermitDecision::Withheld { .. } => return,
            PermitDecision::Unlimited => {
                self.heard[router] = None;
                None
            }
        };
        self.later(Event::Permit {
            router,
            asked_ms,
            given,
        });
    }

    fn permit(&mut self, router: usize, asked_ms: u64, given: Option<Given>) {
        let is_fresh = self.now_ms <= asked_ms + milliseconds(GRANT_TTL);
        if is_fresh || self.mutant == Mutant::LatePermitsUsed {
            self.send(router, given);
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
                self.permits_rest_until_ms = self.now_ms + self.random.random_range(1_000..4_000);
            }
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                match event {
                    Event::Question {
                        router,
                        asked_ms,
                        leader,
                        statement,
                        wants_permit,
                    } => self.question((router, asked_ms), leader, statement, wants_permit),
                    Event::Permit {
                        router,
                        asked_ms,
                        given,
                    } => self.permit(router, asked_ms, given),
                    Event::Answer {
                        router,
                        limit,
                        permit,
                    } => self.answer(router, limit, permit),
                }
            }
            // All routers are told of a limit by the digest, a while after it was named.
            self.tell_all();
            if self.random.random_ratio(1, pause_limit) {
                let router = self.random.random_range(0..ROUTERS);
                self.request(router);
            }
        }
    }

    /// Twice a second the digest tells all routers what the newest leader heard last.
    fn tell_all(&mut self) {
        if !self.now_ms.is_multiple_of(500) || self.mutant == Mutant::NoPermits {
            return;
        }
        let leader = &self.leaders[self.leaders.len() - 1];
        let now = at(self.start, self.now_ms);
        let Some((_, limit, age)) = leader.ledger.limited(now).next() else {
            return;
        };
        let told = Statement {
            limit: Some(limit),
            heard_ms: self.now_ms.saturating_sub(milliseconds(age)),
            permit: None,
        };
        for heard in &mut self.heard {
            let is_newer = heard.is_none_or(|heard| heard.heard_ms < told.heard_ms);
            if is_newer {
                *heard = Some(told);
            }
        }
    }

    /// The first window in which more arrived than is allowed, with both figures.
    fn broken_window(&self) -> Option<(u64, usize, f64)> {
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

    /// What a window allows; `None` for any number. What was named before counts until the next binds.
    fn allowed(&self, began_ms: u64, ended_ms: u64) -> Option<f64> {
        let mut largest: f64 = 0.0;
        for (position, (from_ms, limit)) in self.named.iter().enumerate() {
            let until_ms = self.named.get(position + 1).map_or(u64::MAX, |next| next.0);
            let counts = *from_ms < ended_ms && until_ms.saturating_add(BINDS_AFTER_MS) > began_ms;
            let is_first = position == 0 && began_ms < from_ms + BINDS_AFTER_MS;
            if counts || is_first {
                largest = largest.max((*limit)?.requests_per_s());
            }
        }
        let first_ms = self.named[0].0;
        (began_ms >= first_ms + BINDS_AFTER_MS)
            .then(|| ALLOWED_SHARE * largest * WINDOW.as_secs_f64() + ALLOWED_REQUESTS)
    }
}

fn broken_seed(mutant: Mutant, seeds: u64) -> Option<(u64, (u64, usize, f64))> {
    (0..seeds).find_map(|seed| {
        let mut world = World::new(seed, mutant);
        world.run();
        world.broken_window().map(|window| (seed, window))
    })
}

#[test]
fn no_window_exceeds_what_a_limit_allows() {
    assert_eq!(broken_seed(Mutant::None, SEEDS), None);
}

#[test]
fn each_safeguard_is_needed() {
    for mutant in [
        Mutant::NoPermits,
        Mutant::NoSharing,
        Mutant::LatePermitsUsed,
        Mutant::FormerLeaderGoesOn,
        Mutant::LastWordWins,
    ] {
        let noticed = broken_seed(mutant, MUTANT_SEEDS);
        assert!(noticed.is_some(), "{mutant:?} was not noticed");
    }
}
