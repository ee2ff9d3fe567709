//! The world: who is in it, what can happen, and the loop that lets it happen.

use std::collections::BTreeMap;

use railtack_backend_api::OrderRequest;
use railtack_consensus::Message;
use railtack_router::proposal::ProposalAttempts;
use railtack_rpc::protocol::{Command, PollReply, PollRequest, Proposal, ProposeReply};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::simulate::{
    Activity, Mutant, Promise, Scenario, SeedOutcome, Violation,
    control::{
        administration::Administration,
        checks::Checks,
        engines::SimEngine,
        operators::SimOperator,
        replicas::SimReplica,
        routers::{Arrival, SimRouter},
    },
    network::{Network, NetworkOptions, Place},
    schedule::Schedule,
    trace::Trace,
};

/// Control replicas at the start.
pub const REPLICAS: u32 = 3;
/// Routers.
pub const ROUTERS: u32 = 3;
/// Operators that race each other.
pub const OPERATORS: u32 = 3;
/// Engines of the rollout scenario.
pub const ENGINES: u32 = 5;
/// End of the faults, milliseconds.
const FAULTS_END: u64 = 30_000;
/// End of the run; the time after the faults is for recovery.
const RUN_END: u64 = 45_000;
/// Time between two looks at the invariants.
const WATCH_INTERVAL: u64 = 50;
/// Time for one send of a proposal, as in the router.
pub const PROPOSE_TIMEOUT: u64 = 1_500;
/// Pause before the next send, as in the router.
pub const PROPOSE_PAUSE: u64 = 30;

/// What a replica is asked.
#[derive(Clone, Debug)]
pub enum Request {
    /// Commit a command.
    Propose(Proposal),
    /// Vouch for the configuration.
    Poll(PollRequest),
}

/// What a replica answers.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To a proposal.
    Proposed(ProposeReply),
    /// To a poll.
    Polled(Box<PollReply>),
    /// No process listens there.
    Refused,
}

/// What can happen.
#[derive(Debug)]
pub enum Event {
    /// A replica's timer.
    Tick { replica: u32, life: u32 },
    /// A message between replicas arrives.
    Raft(Box<Message>),
    /// A call arrives at a replica.
    Call {
        replica: u32,
        from: Place,
        call: u64,
        request: Request,
    },
    /// An answer arrives.
    Reply {
        place: Place,
        call: u64,
        reply: Reply,
    },
    /// No answer came in time.
    CallTimeout { place: Place, call: u64 },
    /// A task sends its proposal again.
    Resend { place: Place, task: u64 },
    /// A router polls the replicas.
    Poll { router: u32, life: u32 },
    /// An operator acts.
    OperatorTurn { operator: u32 },
    /// A caller sends a request that may not be repeated.
    CallerTurn,
    /// The service answers an arrival.
    ServiceAnswer { place: Place, arrival: u64 },
    /// The service's answer did not come.
    ServiceTimeout { place: Place, arrival: u64 },
    /// A replica looks at the engines.
    Rollout { replica: u32, life: u32 },
    /// An order arrives.
    Order { engine: u32, order: OrderRequest },
    /// An engine has loaded weights.
    Loaded {
        engine: u32,
        life: u32,
        order: OrderRequest,
    },
    /// A process starts again.
    Restart(Place),
    /// A cut ends.
    Mend(Place, Place),
    /// The administrator looks after lost replicas.
    Administer,
    /// Something breaks.
    Fault,
    /// Nothing breaks any more.
    Heal,
    /// The invariants are looked at.
    Watch,
}

impl Event {
    /// The process that handles the event; a frozen one handles it when it thaws.
    fn place(&self) -> Option<Place> {
        match self {
            Self::Tick { replica, .. }
            | Self::Rollout { replica, .. }
            | Self::Call { replica, .. } => Some(Place::Replica(*replica)),
            Self::Raft(message) => Some(Place::Replica(message.to.0)),
            Self::Poll { router, .. } => Some(Place::Router(*router)),
            Self::Reply { place, .. }
            | Self::CallTimeout { place, .. }
            | Self::Resend { place, .. }
            | Self::ServiceAnswer { place, .. }
            | Self::ServiceTimeout { place, .. } => Some(*place),
            Self::Order { engine, .. } | Self::Loaded { engine, .. } => {
                Some(Place::Engine(*engine))
            }
            _ => None,
        }
    }
}

/// Who waits for a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOwner {
    /// An arrival of a key.
    Arrival(u64),
    /// An operator's change.
    Operator(u32),
    /// Nobody: a claim's end that is recorded in the background.
    Background,
}

/// A proposal that is sent to one replica after another.
#[derive(Debug)]
pub struct Task {
    /// Who sends it.
    pub place: Place,
    /// What to commit.
    pub command: Command,
    /// What is known of it.
    pub run: ProposalAttempts,
    /// When to give up.
    pub deadline: u64,
    /// Who waits for it.
    pub owner: TaskOwner,
}

/// Why a call was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// For a task.
    Task(u64),
    /// A router's poll, with the router's time when it was sent.
    Poll { router: u32, asked_at: u64 },
}

/// A machine's clock: its own offset and rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Reading at the start, milliseconds.
    pub offset: u64,
    /// Deviation of its rate, parts per million.
    pub rate_ppm: u64,
}

impl Clock {
    /// A clock with a drawn offset, and a rate at most 0.05% fast.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            offset: random.random_range(0..300_000),
            rate_ppm: random.random_range(0..500),
        }
    }

    /// The clock's reading.
    pub fn read(self, now: u64) -> u64 {
        self.offset + now + now * self.rate_ppm / 1_000_000
    }
}

/// Events after which a run counts as stuck.
const EVENT_LIMIT: u64 = 2_000_000;

/// A broken promise and what was seen.
pub type Broken = (Promise, String);

/// Everything.
pub struct World {
    pub scenario: Scenario,
    pub mutant: Option<Mutant>,
    pub schedule: Schedule<Event>,
    pub network: Network,
    pub random: ChaCha8Rng,
    pub replicas: BTreeMap<u32, SimReplica>,
    pub routers: BTreeMap<u32, SimRouter>,
    pub operators: Vec<SimOperator>,
    pub engines: BTreeMap<u32, SimEngine>,
    pub arrivals: BTreeMap<u64, Arrival>,
    pub recent_keys: Vec<u64>,
    pub tasks: BTreeMap<u64, Task>,
    pub calls: BTreeMap<u64, CallPurpose>,
    pub frozen: BTreeMap<Place, u64>,
    pub administration: Administration,
    pub checks: Checks,
    pub activity: Activity,
    pub healed: bool,
    pub trace: Trace,
    next_number: u64,
}

/// Runs one seed.
pub fn run(scenario: Scenario, mutant: Option<Mutant>, seed: u64, keep_trace: bool) -> SeedOutcome {
    let mut world = World::new(scenario, mutant, seed, keep_trace);
    let broken = world.start().and_then(|()| world.run_to_end());
    let violation = broken.err().map(|(promise, detail)| Violation {
        at_ms: world.schedule.now(),
        promise,
        detail,
    });
    SeedOutcome {
        violation,
        activity: world.activity,
        trace: world.trace.into_steps(),
    }
}

impl World {
    fn new(scenario: Scenario, mutant: Option<Mutant>, seed: u64, keep_trace: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let options = NetworkOptions {
            delay: random.random_range(2..20),
            late: random.random_range(0.0..0.02),
            late_delay: random.random_range(500..4_000),
            loss: random.random_range(0.0..0.05),
            repeat: random.random_range(0.0..0.05),
        };
        let network = Network::new(options, ChaCha8Rng::seed_from_u64(random.random()));
        Self {
            scenario,
            mutant,
            schedule: Schedule::default(),
            network,
            random,
            replicas: BTreeMap::new(),
            routers: BTreeMap::new(),
            operators: Vec::new(),
            engines: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            recent_keys: Vec::new(),
            tasks: BTreeMap::new(),
            calls: BTreeMap::new(),
            frozen: BTreeMap::new(),
            administration: Administration::default(),
            checks: Checks::default(),
            activity: Activity::default(),
            healed: false,
            trace: Trace::new(keep_trace),
            next_number: 0,
        }
    }

    fn start(&mut self) -> Result<(), Broken> {
        self.start_replicas();
        self.start_routers();
        self.start_operators();
        if self.scenario == Scenario::Rollout {
            self.start_engines();
        }
        if self.scenario == Scenario::Claims {
            self.schedule.after(2_000, Event::CallerTurn);
        }
        self.schedule.after(2_000, Event::Fault);
        self.schedule.after(200, Event::Administer);
        self.schedule.after(WATCH_INTERVAL, Event::Watch);
        self.schedule.at(FAULTS_END, Event::Heal);
        Ok(())
    }

    fn run_to_end(&mut self) -> Result<(), Broken> {
        let mut events: u64 = 0;
        while let Some(event) = self.schedule.next(RUN_END) {
            events += 1;
            if events > EVENT_LIMIT {
                let detail = format!("more than {EVENT_LIMIT} events");
                return Err((Promise::Recovery, detail));
            }
            if let Some(until) = event.place().and_then(|place| self.frozen_until(place)) {
                self.schedule.at(until, event);
                continue;
            }
            self.handle(event)?;
        }
        self.check_recovery()?;
        self.checks.check_history()
    }

    fn handle(&mut self, event: Event) -> Result<(), Broken> {
        match event {
            Event::Tick { replica, life } => self.tick(replica, life),
            Event::Raft(message) => self.deliver(*message),
            Event::Call {
                replica,
                from,
                call,
                request,
            } => self.take_call(replica, from, call, request),
            Event::Reply { call, reply, .. } => self.take_reply(call, reply),
            Event::CallTimeout { call, .. } => self.time_out(call),
            Event::Resend { task, .. } => self.send_task(task),
            Event::Poll { router, life } => {
                self.poll(router, life);
                Ok(())
            }
            Event::OperatorTurn { operator } => {
                self.operator_turn(operator);
                Ok(())
            }
            Event::CallerTurn => self.caller_turn(),
            Event::ServiceAnswer { arrival, .. } => self.service_answered(arrival),
            Event::ServiceTimeout { arrival, .. } => self.service_timed_out(arrival),
            Event::Rollout { replica, life } => self.roll_out(replica, life),
            Event::Order { engine, order } => self.take_order(engine, order),
            Event::Loaded {
                engine,
                life,
                order,
            } => {
                self.loaded(engine, life, order);
                Ok(())
            }
            Event::Restart(place) => self.restart(place),
            Event::Mend(one, other) => {
                self.network.mend(one, other);
                Ok(())
            }
            Event::Administer => self.administer(),
            Event::Fault => self.inject_fault(),
            Event::Heal => self.heal(),
            Event::Watch => self.watch(),
        }
    }

    fn frozen_until(&self, place: Place) -> Option<u64> {
        let until = self.frozen.get(&place).copied()?;
        (until > self.schedule.now()).then_some(until)
    }

    /// Whether a process is frozen now.
    pub fn is_frozen(&self, place: Place) -> bool {
        self.frozen_until(place).is_some()
    }

    /// A number never used before in this run.
    pub fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Whether a part of the system is left out on purpose.
    pub fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn watch(&mut self) -> Result<(), Broken> {
        self.schedule.after(WATCH_INTERVAL, Event::Watch);
        self.check_routers()?;
        self.check_engines()
    }

    /// After the faults the system must have come back by itself.
    fn check_recovery(&mut self) -> Result<(), Broken> {
        let leaders = self.leaders();
        if leaders.len() != 1 {
            self.trace_replicas();
            let detail = format!("{} leaders 15 s after the last fault", leaders.len());
            return Err((Promise::Recovery, detail));
        }
        self.check_routers_recovered()?;
        self.check_replicas_agree()
    }
}
