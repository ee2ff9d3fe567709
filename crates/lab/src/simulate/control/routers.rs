//! Simulated routers: configuration leases, and requests with idempotency keys.

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
    Invariant, Mutant,
    control::world::{
        CallPurpose, CheckFailure, Clock, Event, PROPOSE_PAUSE, PROPOSE_TIMEOUT, ProposalTask,
        REPLICAS, ROUTERS, Reply, Request, TaskOwner, World,
    },
    network::Node,
};

/// Configuration lease, milliseconds; the default setting.
const LEASE_DURATION: u64 = 5_000;
/// Time between polls, milliseconds; the default setting.
const POLL_INTERVAL: u64 = 500;
/// The daemon's time between polls without a valid lease, milliseconds.
const CATCH_UP_INTERVAL: u64 = 20;
/// Timeout of one poll, milliseconds; the daemon's value.
const POLL_TIMEOUT: u64 = 400;
/// Time after which an accepted change must be in force on every serving router, milliseconds.
const MAX_STALENESS: u64 = 7_000;
/// Timeout of a service call, milliseconds.
const SERVICE_TIMEOUT: u64 = 2_000;
/// Deadline for recording a claim, milliseconds; the daemon's value.
const CLAIM_TIMEOUT: u64 = 5_000;
/// Number of recent keys that callers reuse.
const MAX_RECENT_KEYS: usize = 6;
/// Probability that connecting to the service fails.
const CONNECT_FAILURE_PROBABILITY: f64 = 0.1;
/// Probability that a request or a response is lost.
const SERVICE_LOSS_PROBABILITY: f64 = 0.08;

pub struct SimRouter {
    /// Number of the current process; rises with every start.
    pub incarnation: u32,
    pub is_running: bool,
    pub clock: Clock,
    /// Configuration last received.
    pub resolved: ResolvedConfiguration,
    /// Lease on the configuration.
    pub lease: Lease,
}

/// One arrival of a request with an idempotency key at a router.
pub struct Arrival {
    pub key: u64,
    pub router: u32,
    /// State of the request.
    pub request: IdempotentRequest,
    /// Whether the service's response is pending.
    pub awaits_response: bool,
}

impl World {
    pub fn start_routers(&mut self) {
        for number in 1..=ROUTERS {
            let clock = Clock::draw(&mut self.random);
            let router = SimRouter {
                incarnation: 0,
                is_running: false,
                clock,
                resolved: ResolvedConfiguration::default(),
                lease: new_lease(),
            };
            self.routers.insert(number, router);
            self.start_router(number);
        }
    }

    /// Starts a router without configuration; does nothing if it already runs.
    pub fn start_router(&mut self, number: u32) {
        let Some(router) = self.routers.get_mut(&number) else {
            return;
        };
        if router.is_running {
            return;
        }
        router.incarnation += 1;
        router.is_running = true;
        router.resolved = ResolvedConfiguration::default();
        router.lease = new_lease();
        let event = Event::Poll {
            router: number,
            incarnation: router.incarnation,
        };
        self.schedule.after(1, event);
    }

    /// Kills a router. Its callers' requests are dropped.
    pub fn kill_router(&mut self, number: u32) {
        let node = Node::Router(number);
        if let Some(router) = self.routers.get_mut(&number) {
            router.is_running = false;
        }
        self.frozen.remove(&node);
        self.tasks.retain(|_, task| task.node != node);
        // Its connections close, so replies in flight are dropped.
        self.calls.retain(
            |_, purpose| !matches!(purpose, CallPurpose::Poll { router, .. } if *router == number),
        );
        self.arrivals.retain(|_, arrival| arrival.router != number);
        let now = self.schedule.now();
        self.trace
            .record(now, || format!("router {number} is killed"));
    }

    /// Polls every replica and schedules the next poll.
    pub fn poll(&mut self, number: u32, incarnation: u32) {
        let now = self.schedule.now();
        let Some(router) = self.routers.get(&number) else {
            return;
        };
        if router.incarnation != incarnation || !router.is_running {
            return;
        }
        let local = router.clock.read(now);
        let applied = router.resolved.applied;
        let is_confirmed = router.lease.is_valid(applied, local);
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let update_replica = self.random.random_range(0..replicas.len());
        for (position, replica) in replicas.into_iter().enumerate() {
            let request = Request::Poll(PollRequest {
                router: RouterId(number),
                applied,
                want_update: position == update_replica,
                quarantine_known: 0,
            });
            let purpose = CallPurpose::Poll {
                router: number,
                sent_at: local,
            };
            self.call(
                Node::Router(number),
                replica,
                request,
                purpose,
                POLL_TIMEOUT,
            );
        }
        let pause = if is_confirmed {
            POLL_INTERVAL
        } else {
            // Slower than the daemon without a valid lease, to limit the number of events.
            CATCH_UP_INTERVAL * 5
        };
        let event = Event::Poll {
            router: number,
            incarnation,
        };
        self.schedule.after(pause, event);
    }

    /// Sends a call to a replica, with a timeout in milliseconds.
    pub fn call(
        &mut self,
        from: Node,
        replica: u32,
        request: Request,
        purpose: CallPurpose,
        timeout: u64,
    ) {
        let call = self.next_id();
        self.calls.insert(call, purpose);
        if let Some(delay) = self.network.connection_delay(from, Node::Replica(replica)) {
            let event = Event::Call {
                replica,
                from,
                call,
                request,
            };
            self.schedule.after(delay, event);
        }
        let event = Event::CallTimeout { node: from, call };
        self.schedule.after(timeout, event);
    }

    /// Handles a reply; one that arrives after its timeout is dropped.
    pub fn handle_reply(&mut self, call: u64, reply: Reply) -> Result<(), CheckFailure> {
        match (self.calls.remove(&call), reply) {
            (Some(CallPurpose::Poll { router, sent_at }), Reply::Polled(reply)) => {
                self.apply_poll_reply(router, sent_at, &reply);
                Ok(())
            }
            (Some(CallPurpose::Proposal(task)), Reply::Proposed(reply)) => {
                self.handle_proposal_response(task, ReplicaResponse::Reply(reply))
            }
            (Some(CallPurpose::Proposal(task)), Reply::Refused) => {
                self.handle_proposal_response(task, ReplicaResponse::Unreachable)
            }
            _ => Ok(()),
        }
    }

    /// Handles the timeout of a call.
    pub fn handle_call_timeout(&mut self, call: u64) -> Result<(), CheckFailure> {
        match self.calls.remove(&call) {
            Some(CallPurpose::Proposal(task)) => {
                self.handle_proposal_response(task, ReplicaResponse::NoReply)
            }
            _ => Ok(()),
        }
    }

    fn apply_poll_reply(&mut self, number: u32, sent_at: u64, reply: &PollReply) {
        let Some(router) = self
            .routers
            .get_mut(&number)
            .filter(|router| router.is_running)
        else {
            return;
        };
        if let Some(update) = &reply.update
            && let Some(newer) = router.resolved.with_update(update.clone())
        {
            router.resolved = newer;
        }
        router.lease.record_poll_reply(reply, sent_at);
    }

    /// Whether a router serves requests now.
    fn is_serving(&self, router: &SimRouter) -> bool {
        let local = router.clock.read(self.schedule.now());
        let applied = router.resolved.applied;
        if self.is_mutant(Mutant::NoLease) {
            return applied > 0;
        }
        router.lease.is_valid(applied, local)
    }

    /// Checks that no router serves configuration superseded more than `MAX_STALENESS` ago.
    pub fn check_routers(&self) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        let required = self
            .checks
            .newest_revision_accepted_by(now.saturating_sub(MAX_STALENESS));
        for (number, router) in &self.routers {
            let is_running = router.is_running && !self.is_frozen(Node::Router(*number));
            let revision = router.resolved.configuration.revision.0;
            if is_running && self.is_serving(router) && revision < required {
                let detail = format!(
                    "router {number} serves revision {revision}; {required} was accepted 7 s ago"
                );
                return Err((Invariant::BoundedStaleness, detail));
            }
        }
        Ok(())
    }

    /// Checks that every router serves the newest configuration.
    pub fn check_routers_recovered(&self) -> Result<(), CheckFailure> {
        let newest = self
            .checks
            .newest_revision_accepted_by(self.schedule.now() - MAX_STALENESS);
        for (number, router) in &self.routers {
            let revision = router.resolved.configuration.revision.0;
            if !router.is_running || !self.is_serving(router) || revision < newest {
                let detail = format!("router {number} does not serve revision {newest}");
                return Err((Invariant::Recovery, detail));
            }
        }
        Ok(())
    }

    /// Sends a request with a new or recent key to a random router.
    pub fn send_keyed_request(&mut self) -> Result<(), CheckFailure> {
        let pause = self.random.random_range(5..120);
        if !self.healed {
            self.schedule.after(pause, Event::CallerRequest);
        }
        let key = self.draw_key();
        let number = self.random.random_range(1..=ROUTERS);
        let router = &self.routers[&number];
        if !router.is_running || self.is_frozen(Node::Router(number)) {
            return Ok(());
        }
        if !self.is_serving(router) {
            // Other arrivals of the key may have run, so this refusal reports "unknown".
            self.activity.refused += 1;
            return Ok(());
        }
        let attempt = AttemptId(u128::from(self.next_id()));
        let (request, step) = IdempotentRequest::begin(
            TenantName::from("tenant"),
            IdempotencyKey(key.to_string()),
            u128::from(key),
            attempt,
        );
        let arrival = self.next_id();
        let state = Arrival {
            key,
            router: number,
            request,
            awaits_response: false,
        };
        self.arrivals.insert(arrival, state);
        self.execute_step(arrival, step)
    }

    fn draw_key(&mut self) -> u64 {
        if !self.recent_keys.is_empty() && self.random.random_bool(0.6) {
            let position = self.random.random_range(0..self.recent_keys.len());
            return self.recent_keys[position];
        }
        let key = self.next_id();
        self.recent_keys.push(key);
        if self.recent_keys.len() > MAX_RECENT_KEYS {
            self.recent_keys.remove(0);
        }
        key
    }

    fn execute_step(&mut self, arrival: u64, step: IdempotentStep) -> Result<(), CheckFailure> {
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        let node = Node::Router(state.router);
        match step {
            IdempotentStep::Propose(command) => {
                let owner = TaskOwner::Arrival(arrival);
                self.start_task(node, command, CLAIM_TIMEOUT, owner)
            }
            IdempotentStep::Send => self.send_to_service(arrival),
            IdempotentStep::Respond {
                response,
                settlement,
            } => {
                let key = state.key;
                self.arrivals.remove(&arrival);
                if let Some(command) = settlement {
                    self.start_task(node, command, 60_000, TaskOwner::Background)?;
                }
                let execution = match &response {
                    Ok(_) => Execution::Completed,
                    Err(refusal) => refusal.execution,
                };
                match execution {
                    Execution::Completed => self.activity.completed += 1,
                    _ => self.activity.refused += 1,
                }
                self.checks.record_reported_execution(key, execution)
            }
        }
    }

    fn send_to_service(&mut self, arrival: u64) -> Result<(), CheckFailure> {
        if self.random.random_bool(CONNECT_FAILURE_PROBABILITY) {
            return self.finish_service_call(arrival, Err(SendError::NotSent));
        }
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        state.awaits_response = true;
        let node = Node::Router(state.router);
        let key = state.key;
        let event = Event::ServiceTimeout { node, arrival };
        self.schedule.after(SERVICE_TIMEOUT, event);
        if self.random.random_bool(SERVICE_LOSS_PROBABILITY) {
            return Ok(());
        }
        // The service executes the request on arrival, even if the router crashes later.
        self.checks.record_execution(key)?;
        if !self.random.random_bool(SERVICE_LOSS_PROBABILITY) {
            let delay = self.random.random_range(2..200);
            let event = Event::ServiceResponse { node, arrival };
            self.schedule.after(delay, event);
        }
        Ok(())
    }

    /// Handles the service's response.
    pub fn handle_service_response(&mut self, arrival: u64) -> Result<(), CheckFailure> {
        let response = StoredResponse {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some(Vec::new()),
        };
        self.finish_service_call_if_pending(arrival, Ok(response))
    }

    /// Handles the timeout of a service call.
    pub fn handle_service_timeout(&mut self, arrival: u64) -> Result<(), CheckFailure> {
        self.finish_service_call_if_pending(arrival, Err(SendError::MaybeSent))
    }

    fn finish_service_call_if_pending(
        &mut self,
        arrival: u64,
        result: Result<StoredResponse, SendError>,
    ) -> Result<(), CheckFailure> {
        let waiting = self
            .arrivals
            .get_mut(&arrival)
            .is_some_and(|state| std::mem::take(&mut state.awaits_response));
        if waiting {
            return self.finish_service_call(arrival, result);
        }
        Ok(())
    }

    fn finish_service_call(
        &mut self,
        arrival: u64,
        result: Result<StoredResponse, SendError>,
    ) -> Result<(), CheckFailure> {
        let Some(state) = self.arrivals.get_mut(&arrival) else {
            return Ok(());
        };
        let step = state.request.on_response(result);
        self.execute_step(arrival, step)
    }

    /// Starts a proposal with a timeout in milliseconds.
    pub fn start_task(
        &mut self,
        node: Node,
        command: Command,
        timeout: u64,
        owner: TaskOwner,
    ) -> Result<(), CheckFailure> {
        let task = self.next_id();
        let state = ProposalTask {
            node,
            command,
            attempts: ProposalAttempts::default(),
            deadline: self.schedule.now() + timeout,
            owner,
        };
        self.tasks.insert(task, state);
        self.send_task(task)
    }

    /// Sends a task's proposal, usually to the leader, otherwise to a random replica.
    pub fn send_task(&mut self, task: u64) -> Result<(), CheckFailure> {
        let Some(state) = self.tasks.get(&task) else {
            return Ok(());
        };
        if self.schedule.now() >= state.deadline {
            let outcome = state.attempts.outcome_at_deadline();
            return self.finish_task(task, outcome);
        }
        let node = state.node;
        let proposal = Proposal {
            at: 0,
            command: state.command.clone(),
        };
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let random_replica = replicas[self.random.random_range(0..replicas.len())];
        let leader = self.leaders().first().copied();
        let prefers_leader = self.random.random_bool(0.8);
        let target = leader.filter(|_| prefers_leader).unwrap_or(random_replica);
        let purpose = CallPurpose::Proposal(task);
        let request = Request::Propose(proposal);
        self.call(node, target, request, purpose, PROPOSE_TIMEOUT);
        Ok(())
    }

    fn handle_proposal_response(
        &mut self,
        task: u64,
        response: ReplicaResponse,
    ) -> Result<(), CheckFailure> {
        let Some(state) = self.tasks.get_mut(&task) else {
            return Ok(());
        };
        if let Some(outcome) = state.attempts.record(response) {
            return self.finish_task(task, outcome);
        }
        let node = state.node;
        self.schedule
            .after(PROPOSE_PAUSE, Event::Resend { node, task });
        Ok(())
    }

    fn finish_task(&mut self, task: u64, outcome: ProposalOutcome) -> Result<(), CheckFailure> {
        let Some(state) = self.tasks.remove(&task) else {
            return Ok(());
        };
        match state.owner {
            TaskOwner::Arrival(arrival) => {
                let Some(state) = self.arrivals.get_mut(&arrival) else {
                    return Ok(());
                };
                let step = state.request.on_proposal(outcome);
                self.execute_step(arrival, step)
            }
            TaskOwner::Operator(operator) => self.handle_operation_outcome(operator, outcome),
            TaskOwner::Background => Ok(()),
        }
    }
}

fn new_lease() -> Lease {
    Lease::new(LEASE_DURATION, (1..=REPLICAS).map(ReplicaId))
}
