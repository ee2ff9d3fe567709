//! State, events and event loop of the simulation.

use std::collections::BTreeMap;

use railtack_backend_api::OrderRequest;
use railtack_consensus::Message;
use railtack_router::proposal::ProposalAttempts;
use railtack_rpc::protocol::{Command, PollReply, PollRequest, Proposal, ProposeReply};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::simulate::{
    Activity, Invariant, Mutant, Scenario, SeedOutcome, Violation,
    control::{
        administrator::Administrator,
        checks::HistoryChecker,
        engines::SimEngine,
        operators::SimOperator,
        replicas::SimReplica,
        routers::{Arrival, SimRouter},
    },
    network::{Network, NetworkOptions, Node},
    schedule::Schedule,
    trace::Trace,
};

/// Initial control replicas.
pub const REPLICAS: u32 = 3;
pub const ROUTERS: u32 = 3;
/// Concurrent operators.
pub const OPERATORS: u32 = 3;
/// Engines in the rollout scenario.
pub const ENGINES: u32 = 5;
/// End of fault injection, milliseconds.
const FAULTS_END: u64 = 30_000;
/// End of the run, milliseconds; the time after the last fault is for recovery.
const RUN_END: u64 = 45_000;
/// Time between two checks of the invariants, milliseconds.
const CHECK_INTERVAL: u64 = 50;
/// Timeout of one attempt at a proposal, milliseconds; the router's value.
pub const PROPOSE_TIMEOUT: u64 = 1_500;
/// Pause before the next attempt, milliseconds; the router's value.
pub const PROPOSE_PAUSE: u64 = 30;

/// A call to a replica.
#[derive(Clone, Debug)]
pub enum Request {
    /// Proposes a command.
    Propose(Proposal),
    /// Polls for configuration and lease confirmation.
    Poll(PollRequest),
}

/// A replica's reply.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Reply to a proposal.
    Proposed(ProposeReply),
    /// Reply to a poll.
    Polled(Box<PollReply>),
    /// Connection refused: the process is down.
    Refused,
}

/// A simulated event.
#[derive(Debug)]
pub enum Event {
    /// Timer tick of a replica.
    Tick { replica: u32, incarnation: u32 },
    /// A Raft message arrives.
    Raft(Box<Message>),
    /// A call arrives at a replica.
    Call {
        replica: u32,
        from: Node,
        call: u64,
        request: Request,
    },
    /// A reply arrives.
    Reply { node: Node, call: u64, reply: Reply },
    /// The timeout of a call expires.
    CallTimeout { node: Node, call: u64 },
    /// A task resends its proposal.
    Resend { node: Node, task: u64 },
    /// A router polls the replicas.
    Poll { router: u32, incarnation: u32 },
    /// An operator starts or resends a change.
    OperatorAction { operator: u32 },
    /// A caller sends a request with an idempotency key.
    CallerRequest,
    /// The service's response arrives.
    ServiceResponse { node: Node, arrival: u64 },
    /// The timeout of a service call expires.
    ServiceTimeout { node: Node, arrival: u64 },
    /// A replica runs a rollout step.
    RolloutCheck { replica: u32, incarnation: u32 },
    /// An order arrives at an engine.
    Order { engine: u32, order: OrderRequest },
    /// An engine finishes loading weights.
    WeightsLoaded {
        engine: u32,
        incarnation: u32,
        order: OrderRequest,
    },
    /// A process restarts.
    Restart(Node),
    /// A partition between two nodes ends.
    Reconnect(Node, Node),
    /// The administrator runs a replacement step.
    AdministratorCheck,
    /// A fault is injected.
    InjectFault,
    /// All faults end.
    Heal,
    /// The invariants are checked.
    CheckInvariants,
}

impl Event {
    /// Node that handles the event; a frozen one handles it after it thaws.
    fn node(&self) -> Option<Node> {
        match self {
            Self::Tick { replica, .. }
            | Self::RolloutCheck { replica, .. }
            | Self::Call { replica, .. } => Some(Node::Replica(*replica)),
            Self::Raft(message) => Some(Node::Replica(message.to.0)),
            Self::Poll { router, .. } => Some(Node::Router(*router)),
            Self::Reply { node, .. }
            | Self::CallTimeout { node, .. }
            | Self::Resend { node, .. }
            | Self::ServiceResponse { node, .. }
            | Self::ServiceTimeout { node, .. } => Some(*node),
            Self::Order { engine, .. } | Self::WeightsLoaded { engine, .. } => {
                Some(Node::Engine(*engine))
            }
            _ => None,
        }
    }
}

/// Receiver of a proposal's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskOwner {
    /// An arrival of a keyed request.
    Arrival(u64),
    /// An operator's pending change.
    Operator(u32),
    /// None: a claim settlement, recorded in the background.
    Background,
}

/// A proposal that is retried at different replicas until it has an outcome.
#[derive(Debug)]
pub struct ProposalTask {
    /// The sender.
    pub node: Node,
    /// The proposed command.
    pub command: Command,
    /// Results of the attempts so far.
    pub attempts: ProposalAttempts,
    /// Time at which the task gives up.
    pub deadline: u64,
    /// Receiver of the outcome.
    pub owner: TaskOwner,
}

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// An attempt of a proposal task.
    Proposal(u64),
    /// A router's poll; `sent_at` is in the router's clock.
    Poll { router: u32, sent_at: u64 },
}

/// A machine's clock, with an offset and a rate error.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Reading at the start, milliseconds.
    pub offset: u64,
    /// Deviation of its rate, parts per million.
    pub rate_ppm: u64,
}

impl Clock {
    /// Draws an offset, and a rate error of at most 0.05%.
    pub fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            offset: random.random_range(0..300_000),
            rate_ppm: random.random_range(0..500),
        }
    }

    /// Returns the clock's reading at virtual time `now`.
    pub fn read(self, now: u64) -> u64 {
        self.offset + now + now * self.rate_ppm / 1_000_000
    }
}

/// Events after which a run is considered stuck.
const MAX_EVENTS: u64 = 2_000_000;

/// A violated invariant, with details.
pub type CheckFailure = (Invariant, String);

/// State of a simulation run.
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
    pub tasks: BTreeMap<u64, ProposalTask>,
    pub calls: BTreeMap<u64, CallPurpose>,
    pub frozen: BTreeMap<Node, u64>,
    pub administrator: Administrator,
    pub checks: HistoryChecker,
    pub activity: Activity,
    pub healed: bool,
    pub trace: Trace,
    next_id: u64,
}

/// Runs one seed of a scenario.
pub fn run(scenario: Scenario, mutant: Option<Mutant>, seed: u64, keep_trace: bool) -> SeedOutcome {
    let mut world = World::new(scenario, mutant, seed, keep_trace);
    let result = world.start().and_then(|()| world.run_to_end());
    let violation = result.err().map(|(invariant, detail)| Violation {
        at_ms: world.schedule.now(),
        invariant,
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
            max_delay: random.random_range(2..20),
            late_probability: random.random_range(0.0..0.02),
            max_late_delay: random.random_range(500..4_000),
            loss_probability: random.random_range(0.0..0.05),
            duplicate_probability: random.random_range(0.0..0.05),
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
            administrator: Administrator::default(),
            checks: HistoryChecker::default(),
            activity: Activity::default(),
            healed: false,
            trace: Trace::new(keep_trace),
            next_id: 0,
        }
    }

    fn start(&mut self) -> Result<(), CheckFailure> {
        self.start_replicas();
        self.start_routers();
        self.start_operators();
        if self.scenario == Scenario::Rollout {
            self.start_engines();
        }
        if self.scenario == Scenario::Claims {
            self.schedule.after(2_000, Event::CallerRequest);
        }
        self.schedule.after(2_000, Event::InjectFault);
        self.schedule.after(200, Event::AdministratorCheck);
        self.schedule.after(CHECK_INTERVAL, Event::CheckInvariants);
        self.schedule.at(FAULTS_END, Event::Heal);
        Ok(())
    }

    fn run_to_end(&mut self) -> Result<(), CheckFailure> {
        let mut events: u64 = 0;
        while let Some(event) = self.schedule.next(RUN_END) {
            events += 1;
            if events > MAX_EVENTS {
                let detail = format!("more than {MAX_EVENTS} events");
                return Err((Invariant::Recovery, detail));
            }
            if let Some(until) = event.node().and_then(|node| self.frozen_until(node)) {
                self.schedule.at(until, event);
                continue;
            }
            self.handle(event)?;
        }
        self.check_recovery()?;
        self.checks.check_history()
    }

    fn handle(&mut self, event: Event) -> Result<(), CheckFailure> {
        match event {
            Event::Tick {
                replica,
                incarnation,
            } => self.tick(replica, incarnation),
            Event::Raft(message) => self.deliver(*message),
            Event::Call {
                replica,
                from,
                call,
                request,
            } => self.handle_call(replica, from, call, request),
            Event::Reply { call, reply, .. } => self.handle_reply(call, reply),
            Event::CallTimeout { call, .. } => self.handle_call_timeout(call),
            Event::Resend { task, .. } => self.send_task(task),
            Event::Poll {
                router,
                incarnation,
            } => {
                self.poll(router, incarnation);
                Ok(())
            }
            Event::OperatorAction { operator } => {
                self.run_operator(operator);
                Ok(())
            }
            Event::CallerRequest => self.send_keyed_request(),
            Event::ServiceResponse { arrival, .. } => self.handle_service_response(arrival),
            Event::ServiceTimeout { arrival, .. } => self.handle_service_timeout(arrival),
            Event::RolloutCheck {
                replica,
                incarnation,
            } => self.run_rollout_step(replica, incarnation),
            Event::Order { engine, order } => self.handle_order(engine, order),
            Event::WeightsLoaded {
                engine,
                incarnation,
                order,
            } => {
                self.finish_loading(engine, incarnation, order);
                Ok(())
            }
            Event::Restart(node) => self.restart(node),
            Event::Reconnect(one, other) => {
                self.network.reconnect(one, other);
                Ok(())
            }
            Event::AdministratorCheck => self.advance_replacement(),
            Event::InjectFault => self.inject_fault(),
            Event::Heal => self.heal(),
            Event::CheckInvariants => self.check_invariants(),
        }
    }

    fn frozen_until(&self, node: Node) -> Option<u64> {
        let until = self.frozen.get(&node).copied()?;
        (until > self.schedule.now()).then_some(until)
    }

    pub fn is_frozen(&self, node: Node) -> bool {
        self.frozen_until(node).is_some()
    }

    /// Returns an identifier that is unique within the run.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether this run uses the given mutant.
    pub fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn check_invariants(&mut self) -> Result<(), CheckFailure> {
        self.schedule.after(CHECK_INTERVAL, Event::CheckInvariants);
        self.check_routers()?;
        self.check_engines()
    }

    /// Checks that the system recovered after the last fault.
    fn check_recovery(&mut self) -> Result<(), CheckFailure> {
        let leaders = self.leaders();
        if leaders.len() != 1 {
            self.trace_replicas();
            let detail = format!("{} leaders 15 s after the last fault", leaders.len());
            return Err((Invariant::Recovery, detail));
        }
        self.check_routers_recovered()?;
        self.check_replicas_agree()
    }
}
