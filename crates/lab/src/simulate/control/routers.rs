//! Routers: their configuration lease, and their arrivals of keys.

use railtack_consensus::ReplicaId;
use railtack_core::{AttemptId, Execution, IdempotencyKey, RouterId, TenantName};
use railtack_http::SendError;
use railtack_router::{
    idempotency::{IdempotentRequest, IdempotentStep},
    lease::Lease,
    proposal::{ProposalAttempts, ProposalOutcome, ReplicaResponse},
    resolved::ResolvedConfiguration,
};
use railtack_rpc::protocol::{Command, PollReply, PollRequest, Proposal, StoredResponse};
use rand::RngExt;

use crate::simulate::{
    Mutant, Promise,
    control::world::{
        Broken, CallPurpose, Clock, Event, PROPOSE_PAUSE, PROPOSE_TIMEOUT, REPLICAS, ROUTERS,
        Reply, Request, Task, TaskOwner, World,
    },
    network::Place,
};

/// Length of the lease, as by default.
const LEASE: u64 = 5_000;
/// Time between polls, as by default.
const POLL_INTERVAL: u64 = 500;
/// Time between polls while a router is behind, as in the daemon.
const CATCH_UP_PAUSE: u64 = 20;
/// Time for one poll, as in the daemon.
const POLL_TIMEOUT: u64 = 400;
/// A change must be in force everywhere this long after its acceptance.
const IN_FORCE_LIMIT: u64 = 7_000;
/// Time that a router waits for the service.
const SERVICE_TIMEOUT: u64 = 2_000;
/// Time for recording a claim, as in the daemon.
const CLAIM_TIMEOUT: u64 = 5_000;
/// Keys that callers use again.
const RECENT_KEYS: usize = 6;
/// Share of sends that the service's machine refuses to connect to.
const CONNECT_FAILURES: f64 = 0.1;
/// Share of requests, and of answers, that are lost on the way.
const SERVICE_LOSS: f64 = 0.08;

/// A router.
pub struct SimRouter {
    /// Counts its processes.
    pub life: u32,
    /// Whether its process runs.
    pub up: bool,
    /// Its clock.
    pub clock: Clock,
    /// Configuration in force.
    pub resolved: ResolvedConfiguration,
    /// Whether it is confirmed.
    pub lease: Lease,
}

/// One arrival of a key at a router.
pub struct Arrival {
    /// The key.
    pub key: u64,
    /// The router.
    pub router: u32,
    /// Where it stands.
    pub run: IdempotentRequest,
    /// Whether an answer of the service is waited for.
    pub waits_for_service: bool,
}

impl World {
    /// Starts the routers.
    pub fn start_routers(&mut self) {
        for number in 1..=ROUTERS {
            let clock = Clock::draw(&mut self.random);
            let router = SimRouter {
                life: 0,
                up: false,
                clock,
                resolved: ResolvedConfiguration::default(),
                lease: new_lease(),
            };
            self.routers.insert(number, router);
            self.start_router(number);
        }
    }

    /// Starts a router, which knows nothing.
    pub fn start_router(&mut self, number: u32) {
        let Some(router) = self.routers.get_mut(&number) else {
            return;
        };
        if router.up {
            return;
        }
        router.life += 1;
        router.up = true;
        router.resolved = ResolvedConfiguration::default();
        router.lease = new_lease();
        let event = Event::Poll {
            router: number,
            life: router.life,
        };
        self.schedule.after(1, event);
    }

    /// Ends a router; its callers see broken connections.
    pub fn kill_router(&mut self, number: u32) {
        let place = Place::Router(number);
        if let Some(router) = self.routers.get_mut(&number) {
            router.up = false;
        }
        self.frozen.remove(&place);
        self.tasks.retain(|_, task| task.place != place);
        // Its connections end with it, and with them the answers that are still on their way.
        self.calls.retain(
            |_, purpose| !matches!(purpose, CallPurpose::Poll { router, .. } if *router == number),
        );
        self.arrivals.retain(|_, arrival| arrival.router != number);
        let now = self.schedule.now();
        self.trace
            .note(now, || format!("router {number} is killed"));
    }

    /// Polls every replica.
    pub fn poll(&mut self, number: u32, life: u32) {
        let now = self.schedule.now();
        let Some(router) = self.routers.get(&number) else {
            return;
        };
        if router.life != life || !router.up {
            return;
        }
        let local = router.clock.read(now);
        let applied = router.resolved.applied;
        let is_confirmed = router.lease.is_valid(applied, local);
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let wanted = self.random.random_range(0..replicas.len());
        for (position, replica) in replicas.into_iter().enumerate() {
            let request = Request::Poll(PollRequest {
                router: RouterId(number),
                applied,
                want_update: position == wanted,
                quarantine_known: 0,
            });
            let purpose = CallPurpose::Poll {
                router: number,
                asked_at: local,
            };
            self.call(
                Place::Router(number),
                replica,
                request,
                purpose,
                POLL_TIMEOUT,
            );
        }
        let pause = if is_confirmed {
            POLL_INTERVAL
        } else {
            // The daemon asks again at once while it is unconfirmed; a little slower here.
            CATCH_UP_PAUSE * 5
        };
        let event = Event::Poll {
            router: number,
            life,
        };
        self.schedule.after(pause, event);
    }

    /// Calls a replica.
    pub fn call(
        &mut self,
        from: Place,
        replica: u32,
        request: Request,
        purpose: CallPurpose,
        limit: u64,
    ) {
        let call = self.number();
        self.calls.insert(call, purpose);
        if let Some(delay) = self.network.once(from, Place::Replica(replica)) {
            let event = Event::Call {
                replica,
                from,
                call,
                request,
            };
            self.schedule.after(delay, event);
        }
        let event = Event::CallTimeout { place: from, call };
        self.schedule.after(limit, event);
    }

    /// Takes an answer; one that comes after its timeout is dropped.
    pub fn take_reply(&mut self, call: u64, reply: Reply) -> Result<(), Broken> {
        match (self.calls.remove(&call), reply) {
            (Some(CallPurpose::Poll { router, asked_at }), Reply::Polled(reply)) => {
                self.take_poll(router, asked_at, &reply);
                Ok(())
            }
            (Some(CallPurpose::Task(task)), Reply::Proposed(reply)) => {
                self.task_answered(task, ReplicaResponse::Reply(reply))
            }
            (Some(CallPurpose::Task(task)), Reply::Refused) => {
                self.task_answered(task, ReplicaResponse::Unreachable)
            }
            _ => Ok(()),
        }
    }

    /// No answer came in time.
    pub fn time_out(&mut self, call: u64) -> Result<(), Broken> {
        match self.calls.remove(&call) {
            Some(CallPurpose::Task(task)) => self.task_answered(task, ReplicaResponse::NoReply),
            _ => Ok(()),
        }
    }

    fn take_poll(&mut self, number: u32, asked_at: u64, reply: &PollReply) {
        let Some(router) = self.routers.get_mut(&number).filter(|router| router.up) else {
            return;
        };
        if let Some(update) = &reply.update
            && let Some(newer) = router.resolved.with_update(update.clone())
        {
            router.resolved = newer;
        }
        router.lease.record_poll_reply(reply, asked_at);
    }

    /// Whether a router would serve now.
    fn serves(&self, router: &SimRouter) -> bool {
        let local = router.clock.read(self.schedule.now());
        let applied = router.resolved.applied;
        if self.is_mutant(Mutant::NoLease) {
            return applied > 0;
        }
        router.lease.is_valid(applied, local)
    }

    /// No router may serve configuration that was superseded long ago.
    pub fn check_routers(&self) -> Result<(), Broken> {
        let now = self.schedule.now();
        let required = self
            .checks
            .accepted_before(now.saturating_sub(IN_FORCE_LIMIT));
        for (number, router) in &self.routers {
            let is_running = router.up && !self.is_frozen(Place::Router(*number));
            let revision = router.resolved.configuration.revision.0;
            if is_running && self.serves(router) && revision < required {
                let detail = format!(
                    "router {number} serves revision {revision}; {required} was accepted 7 s ago"
                );
                return Err((Promise::InForce, detail));
            }
        }
        Ok(())
    }

    /// Every router serves the newest configuration again.
    pub fn check_routers_recovered(&self) -> Result<(), Broken> {
        let newest = self
            .checks
            .accepted_before(self.schedule.now() - IN_FORCE_LIMIT);
        for (number, router) in &self.routers {
            let revision = router.resolved.configuration.revision.0;
            if !router.up || !self.serves(router) || revision < newest {
                let detail = format!("router {number} does not serve revision {newest}");
                return Err((Promise::Recovery, detail));
            }
        }
        Ok(())
    }

    /// A caller sends a key, new or used, to some router.
    pub fn caller_turn(&mut self) -> Result<(), Broken> {
        let pause = self.random.random_range(5..120);
        if !self.healed {
            self.schedule.after(pause, Event::CallerTurn);
        }
        let key = self.draw_key();
        let number = self.random.random_range(1..=ROUTERS);
        let router = &self.routers[&number];
        if !router.up || self.is_frozen(Place::Router(number)) {
            return Ok(());
        }
        if !self.serves(router) {
            // Nothing is known of the key's other arrivals, so the refusal says "unknown".
            self.activity.refused += 1;
            return Ok(());
        }
        let attempt = AttemptId(u128::from(self.number()));
        let (run, step) = IdempotentRequest::begin(
            TenantName::from("tenant"),
            IdempotencyKey(key.to_string()),
            u128::from(key),
            attempt,
        );
        let arrival = self.number();
        let state = Arrival {
            key,
            router: number,
            run,
            waits_for_service: false,
        };
        self.arrivals.insert(arrival, state);
        self.carry_out(arrival, step)
    }

    fn draw_key(&mut self) -> u64 {
        if !self.recent_keys.is_empty() && self.random.random_bool(0.6) {
            let position = self.random.random_range(0..self.recent_keys.len());
            return self.recent_keys[position];
        }
        let key = self.number();
        self.recent_keys.push(key);
        if self.recent_keys.len() > RECENT_KEYS {
            self.recent_keys.remove(0);
        }
        key
    }

    fn carry_out(&mut self, arrival: u64, step: IdempotentStep) -> Result<(), Broken> {
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        let place = Place::Router(state.router);
        match step {
            IdempotentStep::Propose(command) => {
                let owner = TaskOwner::Arrival(arrival);
                self.start_task(place, command, CLAIM_TIMEOUT, owner)
            }
            IdempotentStep::Send => self.send_to_service(arrival),
            IdempotentStep::Respond {
                response,
                settlement,
            } => {
                let key = state.key;
                self.arrivals.remove(&arrival);
                if let Some(command) = settlement {
                    self.start_task(place, command, 60_000, TaskOwner::Background)?;
                }
                let execution = match &response {
                    Ok(_) => Execution::Completed,
                    Err(refusal) => refusal.execution,
                };
                match execution {
                    Execution::Completed => self.activity.completed += 1,
                    _ => self.activity.refused += 1,
                }
                self.checks.told(key, execution)
            }
        }
    }

    fn send_to_service(&mut self, arrival: u64) -> Result<(), Broken> {
        if self.random.random_bool(CONNECT_FAILURES) {
            return self.service_result(arrival, Err(SendError::NotSent));
        }
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        state.waits_for_service = true;
        let place = Place::Router(state.router);
        let key = state.key;
        let event = Event::ServiceTimeout { place, arrival };
        self.schedule.after(SERVICE_TIMEOUT, event);
        if self.random.random_bool(SERVICE_LOSS) {
            return Ok(());
        }
        // The service runs it when it arrives; a router that dies meanwhile does not matter.
        self.checks.executed(key)?;
        if !self.random.random_bool(SERVICE_LOSS) {
            let delay = self.random.random_range(2..200);
            let event = Event::ServiceAnswer { place, arrival };
            self.schedule.after(delay, event);
        }
        Ok(())
    }

    /// The service's answer arrives.
    pub fn service_answered(&mut self, arrival: u64) -> Result<(), Broken> {
        let answer = StoredResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(Vec::new()),
        };
        self.service_result_if_waiting(arrival, Ok(answer))
    }

    /// The service's answer does not arrive.
    pub fn service_timed_out(&mut self, arrival: u64) -> Result<(), Broken> {
        self.service_result_if_waiting(arrival, Err(SendError::MaybeSent))
    }

    fn service_result_if_waiting(
        &mut self,
        arrival: u64,
        result: Result<StoredResponse, SendError>,
    ) -> Result<(), Broken> {
        let waiting = self
            .arrivals
            .get_mut(&arrival)
            .is_some_and(|state| std::mem::take(&mut state.waits_for_service));
        if waiting {
            return self.service_result(arrival, result);
        }
        Ok(())
    }

    fn service_result(
        &mut self,
        arrival: u64,
        result: Result<StoredResponse, SendError>,
    ) -> Result<(), Broken> {
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        let step = state.run.on_response(result);
        self.carry_out(arrival, step)
    }

    /// Begins a proposal.
    pub fn start_task(
        &mut self,
        place: Place,
        command: Command,
        limit: u64,
        owner: TaskOwner,
    ) -> Result<(), Broken> {
        let task = self.number();
        let state = Task {
            place,
            command,
            run: ProposalAttempts::default(),
            deadline: self.schedule.now() + limit,
            owner,
        };
        self.tasks.insert(task, state);
        self.send_task(task)
    }

    /// Sends a task's proposal to the leader if there is one, otherwise to anyone.
    pub fn send_task(&mut self, task: u64) -> Result<(), Broken> {
        let Some(state) = self.tasks.get(&task) else {
            return Ok(());
        };
        if self.schedule.now() >= state.deadline {
            let proposed = state.run.outcome_at_deadline();
            return self.task_ended(task, proposed);
        }
        let place = state.place;
        let proposal = Proposal {
            at: 0,
            command: state.command.clone(),
        };
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let anyone = replicas[self.random.random_range(0..replicas.len())];
        let leader = self.leaders().first().copied();
        let knows_leader = self.random.random_bool(0.8);
        let target = leader.filter(|_| knows_leader).unwrap_or(anyone);
        let purpose = CallPurpose::Task(task);
        let request = Request::Propose(proposal);
        self.call(place, target, request, purpose, PROPOSE_TIMEOUT);
        Ok(())
    }

    fn task_answered(&mut self, task: u64, answer: ReplicaResponse) -> Result<(), Broken> {
        let Some(state) = self.tasks.get_mut(&task) else {
            return Ok(());
        };
        if let Some(proposed) = state.run.record(answer) {
            return self.task_ended(task, proposed);
        }
        let place = state.place;
        self.schedule
            .after(PROPOSE_PAUSE, Event::Resend { place, task });
        Ok(())
    }

    fn task_ended(&mut self, task: u64, proposed: ProposalOutcome) -> Result<(), Broken> {
        let Some(state) = self.tasks.remove(&task) else {
            return Ok(());
        };
        match state.owner {
            TaskOwner::Arrival(arrival) => {
                let Some(state) = self.arrivals.get_mut(&arrival) else {
                    return Ok(());
                };
                let step = state.run.on_proposal(proposed);
                self.carry_out(arrival, step)
            }
            TaskOwner::Operator(operator) => self.operator_told(operator, proposed),
            TaskOwner::Background => Ok(()),
        }
    }
}

fn new_lease() -> Lease {
    Lease::new(LEASE, (1..=REPLICAS).map(ReplicaId))
}
