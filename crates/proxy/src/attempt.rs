//! One exchange with one replica, up to the head of the response.

use std::{io, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Body as _, Incoming},
    http::response,
};
use railtack_http::InvalidHead;
use railtack_serving::{BackendSignals, LimitHeader, ReplicaKey, ReplicaRecord};
use tokio::time::{Instant, timeout_at};

use crate::{
    backend::{Dispatch, ResponseClass},
    crash_checks::CrashSubjects,
    health::ExchangeOutcome,
    incarnation_check::{self, Confirmation},
    load::estimate::ReplicaLoad,
    permits::{self, Permit},
    pool::{ConnectError, Connection},
    prefill_latency::PrefillBacklog,
    relay::{self, client::Destination},
    replicas::ReplicaHandle,
    response_buffer::{BufferRoom, ResponseBuffer},
    retry_decision::ExchangeProof,
    slots::SlotLease,
    state::{ProxyState, lock},
};

mod signals;

pub use signals::apply_signals;
use signals::record_sensitivity;

/// Maximum number of pooled connections per exchange that may turn out to be closed.
const MAX_STALE_CONNECTIONS: usize = 3;

/// A selected replica and what to send with the request.
#[derive(Clone, Debug)]
pub struct Target {
    /// Record of the replica.
    pub record: Arc<ReplicaRecord>,
    /// Connections and load of this router at the replica.
    pub handle: Arc<ReplicaHandle>,
    /// Maximum number of connections of this router to the replica.
    pub connection_limit: u32,
    /// Prompt tokens that this router sent to the replica before.
    pub cached_tokens: u64,
    /// Prompt tokens to be prefilled before the first event.
    pub backlog: PrefillBacklog,
    /// Load of the replica when it was selected.
    pub load: ReplicaLoad,
    /// Address of a peer or store that probably caches the prefix, `ip:port`.
    pub fetch_from: Option<String>,
    /// Address of the store to which the prompt is saved, `ip:port`.
    pub save_to: Option<String>,
    /// Permit to send the request, if the replica has a rate limit.
    pub permit: Option<Permit>,
    /// Slots for the request, if the replica withstands few rejections.
    pub slots: Option<Arc<SlotLease>>,
}

impl Target {
    /// Records that the replica is done with the request.
    pub fn finish(&self) {
        if let Some(slots) = &self.slots {
            slots.finish();
        }
    }
}

/// A response whose head was received.
#[derive(Debug)]
pub struct OpenResponse {
    /// Head of the response.
    pub head: response::Parts,
    /// Body, not yet received.
    pub body: Incoming,
    /// Connection of the exchange.
    pub connection: Connection,
    /// Whether the connection can be reused after the body was received.
    pub reusable: bool,
}

/// An exchange without a response that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedExchange {
    /// Outcome that counts for the replica's health; `None` if none does.
    pub outcome: Option<ExchangeOutcome>,
    /// Whether the replica may have run the request.
    pub proof: ExchangeProof,
    /// Cause, for logs and metrics.
    pub cause: &'static str,
    /// Status of the response, if one was received.
    pub status: Option<u16>,
    /// Signals of the replica in the response head.
    pub signals: BackendSignals,
}

impl FailedExchange {
    /// The replica does not run the request.
    pub fn not_run(outcome: Option<ExchangeOutcome>, cause: &'static str) -> Self {
        Self {
            outcome,
            proof: ExchangeProof::NotRun,
            cause,
            status: None,
            signals: BackendSignals::default(),
        }
    }

    /// The request was not sent, for a reason that is recorded in the state by now.
    fn not_sent(cause: &'static str) -> Self {
        Self {
            proof: ExchangeProof::Withheld,
            ..Self::not_run(None, cause)
        }
    }

    /// Adds the response that caused the failure.
    fn with_response(self, status: u16, signals: BackendSignals) -> Self {
        Self {
            status: Some(status),
            signals,
            ..self
        }
    }

    /// The connection broke after the request may have been received.
    pub fn broken_connection(cause: &'static str) -> Self {
        Self {
            outcome: Some(ExchangeOutcome::ConnectionBroke),
            ..Self::may_have_run(cause)
        }
    }

    /// No head of a response arrived. A replica that sends something else is alive.
    fn without_head(error: &hyper::Error) -> Self {
        if is_invalid_response(error) {
            Self::may_have_run("no valid head")
        } else {
            Self::broken_connection("connection broke")
        }
    }

    /// Records how the request ended that held slots. Unless the replica is done with it, it may go on there.
    pub fn end_slots(&self, target: &Target) {
        let Some(slots) = &target.slots else {
            return;
        };
        let has_ended = self.proof != ExchangeProof::MayHaveRun
            || self.outcome == Some(ExchangeOutcome::ConnectionBroke);
        if self.status == Some(StatusCode::SERVICE_UNAVAILABLE.as_u16()) {
            slots.reject();
        } else if has_ended {
            slots.finish();
        }
    }

    /// The exchange failed after the request may have been received.
    pub fn may_have_run(cause: &'static str) -> Self {
        Self {
            outcome: Some(ExchangeOutcome::Broken),
            proof: ExchangeProof::MayHaveRun,
            cause,
            status: None,
            signals: BackendSignals::default(),
        }
    }

    /// The replica responded, and this router could not receive it.
    fn undelivered(cause: &'static str) -> Self {
        Self {
            outcome: None,
            ..Self::may_have_run(cause)
        }
    }
}

/// Deadlines for the head of a response.
#[derive(Clone, Copy, Debug)]
pub struct HeadDeadline {
    /// Default deadline.
    pub deadline: Instant,
    /// Deadline if the replica is responding to other requests: it is busy rather than gone.
    pub if_responding: Instant,
}

/// Sends a request and waits for the head of the response.
///
/// Dropping the future closes the connection, which makes the replica stop the request.
pub async fn exchange(
    state: &Arc<ProxyState>,
    target: &Target,
    dispatch: &Dispatch<'_>,
    non_retryable: bool,
    head_deadline: HeadDeadline,
    subjects: &CrashSubjects,
) -> Result<OpenResponse, FailedExchange> {
    for _ in 0..MAX_STALE_CONNECTIONS {
        let mut connection = connect(state, target, dispatch, non_retryable).await?;
        // Events of another software version would not fit those that the caller has.
        if dispatch.last_event.is_some() {
            if !accepts_requests(state, target) {
                return Err(FailedExchange::not_sent("takes no requests"));
            }
            let confirmed = incarnation_check::confirm(state, target, &mut connection).await?;
            if confirmed == Confirmation::ConnectionClosed {
                continue;
            }
        }
        // The process may have been suspended since selection, so the lease is checked here.
        if !state.is_confirmed() {
            return Err(FailedExchange::not_sent("lease lost"));
        }
        // Other copies may have crashed replicas while this one waited for a connection.
        if state.crash_checks.quarantined_subject(subjects).is_some() {
            return Err(FailedExchange::not_sent("quarantined"));
        }
        let sent_at = Instant::now();
        // The replica may have requested back-off or announced its shutdown meanwhile.
        if !accepts_requests(state, target) {
            return Err(FailedExchange::not_sent("takes no requests"));
        }
        // A limit may have been advertised meanwhile, and a permit may have expired.
        if permits::lacks_valid_permit(&**state, &target.record.id, target.permit) {
            return Err(FailedExchange::not_sent("no permit"));
        }
        match &target.slots {
            Some(slots) if !slots.is_fresh() => {
                return Err(FailedExchange::not_sent("slot lease expired"));
            }
            Some(slots) => slots.begin(),
            None if state.needs_slots(&target.record.service) => {
                return Err(FailedExchange::not_sent("no slot"));
            }
            None => {}
        }
        connection.head_limit.await_head();
        let sent = connection
            .sender
            .try_send_request(state.backend.encode(dispatch));
        tokio::pin!(sent);
        let mut result = timeout_at(head_deadline.deadline, &mut sent).await;
        if result.is_err() && has_responded(state, target, sent_at) {
            result = timeout_at(head_deadline.if_responding, &mut sent).await;
        }
        match result {
            Err(_) => return Err(FailedExchange::may_have_run("no head in time")),
            Ok(Ok(response)) => {
                connection.head_limit.head_received();
                return handle_response(state, target, dispatch, connection, response);
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    return Err(FailedExchange::without_head(error.error()));
                }
            }
        }
    }
    Err(FailedExchange::not_run(
        Some(ExchangeOutcome::Unreachable),
        "connections closed",
    ))
}

/// Whether any router received anything from the replica after `sent_at`. In a large fleet, one
/// router rarely has a second request there.
fn has_responded(state: &ProxyState, target: &Target, sent_at: Instant) -> bool {
    let replica = ReplicaKey::of(&target.record.id);
    target.handle.responded_since(sent_at)
        || (state.options.policy.shared_view
            && lock(&state.fleet).responded_since(replica, sent_at))
}

fn accepts_requests(state: &ProxyState, target: &Target) -> bool {
    let replicas = lock(&state.replicas);
    replicas
        .availability
        .accepts_requests(&target.record.id, state.uptime())
}

async fn connect(
    state: &ProxyState,
    target: &Target,
    dispatch: &Dispatch<'_>,
    non_retryable: bool,
) -> Result<Connection, FailedExchange> {
    let failed = |cause| FailedExchange::not_run(Some(ExchangeOutcome::Unreachable), cause);
    let address = target.record.address.parse();
    let address = address.map_err(|_| failed("invalid address"))?;
    let destination = Destination {
        replica: &target.record.id,
        service: &target.record.service,
        address,
        request: &dispatch.request.id,
    };
    let opened = relay::client::open(state, &target.handle, destination);
    let pool = &target.handle.pool;
    let acquired = pool
        .acquire_by(opened, target.connection_limit, non_retryable)
        .await;
    acquired.map_err(|failure| match failure {
        ConnectError::Refused => failed("connection refused"),
        ConnectError::Unreachable => failed("unreachable"),
        ConnectError::Limit => {
            FailedExchange::not_run(Some(ExchangeOutcome::Declined), "connection limit")
        }
    })
}

fn handle_response(
    state: &Arc<ProxyState>,
    target: &Target,
    dispatch: &Dispatch<'_>,
    mut connection: Connection,
    response: Response<Incoming>,
) -> Result<OpenResponse, FailedExchange> {
    if !connection.is_relayed() {
        lock(&state.direct_reach).record_reached(&target.record.service);
    }
    let (head, body) = response.into_parts();
    let reusable = connection.update_from_head(&head.headers, state.options.policy.stated_rest);
    let open_response = OpenResponse {
        head,
        body,
        connection,
        reusable,
    };
    let classified = state
        .backend
        .classify(dispatch.request, &open_response.head);
    let mut signals = state.backend.signals(&open_response.head);
    let is_from_target = matches!(classified, ResponseClass::Response | ResponseClass::NotRun);
    if !is_from_target {
        // The limit of another incarnation, or an outdated one.
        signals.limit = LimitHeader::Absent;
    }
    let changes = apply_signals(state, target, signals);
    if is_from_target {
        record_sensitivity(state, target, signals.withstood_rejections);
        let incarnation_id = &target.record.id;
        permits::handle_response(
            state,
            incarnation_id,
            target.permit,
            signals.limit,
            changes.limit.is_some(),
        );
    }
    // A new incarnation may respond at the address before it is registered. Counting that as a
    // response of the old one would hide its crash.
    if classified != ResponseClass::WrongReplica {
        target.handle.record_response(Instant::now());
    }
    let failed = match classified {
        ResponseClass::Response => return Ok(open_response),
        ResponseClass::OtherRequest => FailedExchange::may_have_run("foreign answer"),
        ResponseClass::Invalid(reason) => {
            record_invalid_head(state, target, dispatch, &open_response.head, reason);
            FailedExchange::may_have_run("invalid head")
        }
        ResponseClass::NotRun => {
            FailedExchange::not_run(Some(ExchangeOutcome::Declined), "declined")
        }
        ResponseClass::WrongReplica => {
            FailedExchange::not_run(Some(ExchangeOutcome::Declined), "wrong replica or weights")
        }
    };
    Err(failed.with_response(open_response.head.status.as_u16(), signals))
}

fn record_invalid_head(
    state: &ProxyState,
    target: &Target,
    dispatch: &Dispatch<'_>,
    head: &response::Parts,
    reason: InvalidHead,
) {
    state.metrics.record_invalid_head(reason.name());
    spdlog::info!("response with an invalid head", kv: {
        request = dispatch.request.id.clone(),
        replica = target.record.id.clone(),
        reason = reason.name(),
        status = head.status.as_u16(),
    });
}

/// Whether bytes arrived that are no head of a response, or too many.
fn is_invalid_response(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<io::Error>());
    let is_limit = io_error.is_some_and(|error| error.kind() == io::ErrorKind::InvalidData);
    error.is_parse() || is_limit
}

/// Receives the rest of a body.
async fn receive(mut body: Incoming, buffer: &mut ResponseBuffer) -> Result<(), FailedExchange> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| FailedExchange::broken_connection("answer broke off"))?;
        if let Ok(data) = frame.into_data() {
            buffer
                .push(&data)
                .map_err(|_| FailedExchange::may_have_run("answer too large"))?;
        }
    }
    Ok(())
}

impl OpenResponse {
    /// Reads the complete body and returns the connection to the pool. The response is abandoned at `abandon_at`, but if
    /// it waits for room, it does so until `deadline`, as it is ready.
    pub async fn read_complete(
        self,
        handle: &ReplicaHandle,
        room: Arc<BufferRoom>,
        abandon_at: Instant,
        deadline: Instant,
    ) -> Result<(response::Parts, Bytes), FailedExchange> {
        let mut buffer = ResponseBuffer::new(room);
        let has_waited = reserve(&self.body, &mut buffer, deadline).await?;
        let read_until = if has_waited { deadline } else { abandon_at };
        timeout_at(read_until, receive(self.body, &mut buffer))
            .await
            .unwrap_or_else(|_| Err(FailedExchange::may_have_run("answer not read")))?;
        if self.reusable {
            handle.pool.release(self.connection);
        }
        Ok((self.head, buffer.finish()))
    }
}

/// Reserves room for a body that states its length. Returns whether it had to wait. The replica is not to blame if
/// there is no room in time.
async fn reserve(
    body: &Incoming,
    buffer: &mut ResponseBuffer,
    deadline: Instant,
) -> Result<bool, FailedExchange> {
    let Some(length) = body.size_hint().exact() else {
        return Ok(false);
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    match timeout_at(deadline, buffer.reserve(length)).await {
        Ok(Ok(has_waited)) => Ok(has_waited),
        Ok(Err(_)) => Err(FailedExchange::may_have_run("answer too large")),
        Err(_) => Err(FailedExchange::undelivered("no room for the answer")),
    }
}
