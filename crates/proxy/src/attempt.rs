//! One exchange with one replica, up to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{Response, body::Incoming, http::response};
use railtack_http::{ReceiveError, read_body};
use railtack_serving::{
    BackEndSignals, ContentKey, LimitHeader, ReplicaKey, ReplicaRecord, RequestLimit, SignalChanges,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    backend::{Dispatch, ResponseClass},
    health::ExchangeEnd,
    permits::{self, Permit},
    pool::{ConnectError, Connection},
    prefill_latency::PrefillBacklog,
    replicas::ReplicaHandle,
    retry_decision::ExchangeProof,
    state::{ProxyState, lock},
};

/// Kept connections that may turn out to be closed, before anything was sent, in one exchange.
const MAX_STALE_CONNECTIONS: usize = 3;
/// Largest answer that is read as a whole, bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A replica that was chosen.
#[derive(Clone, Debug)]
pub struct Target {
    /// The replica.
    pub record: Arc<ReplicaRecord>,
    /// This router's use of it.
    pub handle: Arc<ReplicaHandle>,
    /// Connections that this router may open to it.
    pub connection_limit: u32,
    /// Tokens of the prompt that this router had sent there before.
    pub cached_tokens: u64,
    /// What the prompt has to wait for before its first event.
    pub backlog: PrefillBacklog,
    /// Where the beginning of the prompt is likely to be kept, `ip:port`.
    pub fetch_from: Option<String>,
    /// The store that is to keep what is read, `ip:port`.
    pub save_to: Option<String>,
    /// The permit to send it the request, if it has a limit.
    pub permit: Option<Permit>,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct OpenResponse {
    /// Head.
    pub head: response::Parts,
    /// Body, as it comes.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// Whether the connection may be used again after a whole answer.
    pub reusable: bool,
}

/// An exchange that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedExchange {
    /// What it says of the replica; `None` if nothing.
    pub end: Option<ExchangeEnd>,
    /// What it proves of the request.
    pub proof: ExchangeProof,
    /// For logs.
    pub cause: &'static str,
    /// Status of the answer, if one came.
    pub status: Option<u16>,
    /// What the answer says of the replica.
    pub notice: BackEndSignals,
}

impl FailedExchange {
    fn not_run(end: Option<ExchangeEnd>, cause: &'static str) -> Self {
        Self {
            end,
            proof: ExchangeProof::NotRun,
            cause,
            status: None,
            notice: BackEndSignals::default(),
        }
    }

    /// A failure before anything was sent, for a reason that is known since.
    fn withheld(cause: &'static str) -> Self {
        Self {
            proof: ExchangeProof::Withheld,
            ..Self::not_run(None, cause)
        }
    }

    /// The same failure, with the answer that shows it.
    fn answered(self, status: u16, notice: BackEndSignals) -> Self {
        Self {
            status: Some(status),
            notice,
            ..self
        }
    }

    /// The connection broke after the request may have been received.
    pub fn connection_broke(cause: &'static str) -> Self {
        Self {
            end: Some(ExchangeEnd::ConnectionBroke),
            ..Self::may_have_run(cause)
        }
    }

    /// A failure after the request may have been received.
    pub fn may_have_run(cause: &'static str) -> Self {
        Self {
            end: Some(ExchangeEnd::Broken),
            proof: ExchangeProof::MayHaveRun,
            cause,
            status: None,
            notice: BackEndSignals::default(),
        }
    }
}

/// Until when the head of an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct HeadDeadline {
    /// The usual end.
    pub due: Instant,
    /// The end if the replica answers others meanwhile: it is busy, not gone.
    pub if_responding: Instant,
}

/// Sends a request and waits for the head of the answer.
///
/// Dropping the future closes the connection, so that the replica stops.
pub async fn exchange(
    state: &Arc<ProxyState>,
    target: &Target,
    dispatch: &Dispatch<'_>,
    non_retryable: bool,
    head_deadline: HeadDeadline,
    content: ContentKey,
) -> Result<OpenResponse, FailedExchange> {
    for _ in 0..MAX_STALE_CONNECTIONS {
        let mut connection = connect(target, non_retryable).await?;
        // A freeze may fall anywhere before this point; the lease is looked at after it.
        if !state.is_confirmed() {
            return Err(FailedExchange::withheld("lease lost"));
        }
        // Others may have met the end of a replica under it while this copy waited for a place.
        if state.quarantine_retry_after(content).is_some() {
            return Err(FailedExchange::withheld("quarantined"));
        }
        let sent_at = Instant::now();
        // The replica may have asked for rest, or said that it leaves, while this request waited for its connection.
        if !takes_requests(state, target) {
            return Err(FailedExchange::withheld("takes no requests"));
        }
        // A limit may have become known meanwhile, and a permit that waited for long is void.
        if permits::lacks_valid_permit(&**state, &target.record.id, target.permit) {
            return Err(FailedExchange::withheld("no permit"));
        }
        let sent = connection
            .sender
            .try_send_request(state.backend.encode(dispatch));
        tokio::pin!(sent);
        let mut answered = timeout_at(head_deadline.due, &mut sent).await;
        if answered.is_err() && has_responded(state, target, sent_at) {
            answered = timeout_at(head_deadline.if_responding, &mut sent).await;
        }
        match answered {
            Err(_) => return Err(FailedExchange::may_have_run("no head in time")),
            Ok(Ok(response)) => {
                return handle_response(state, target, dispatch, connection, response);
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    return Err(FailedExchange::connection_broke("connection broke"));
                }
            }
        }
    }
    Err(FailedExchange::not_run(
        Some(ExchangeEnd::Unreachable),
        "connections closed",
    ))
}

/// Whether anything came from the replica since `sent_at`, to this router or to another one: it is
/// busy, not gone. One of hundreds of routers seldom has a second request there that would tell.
fn has_responded(state: &ProxyState, target: &Target, sent_at: Instant) -> bool {
    let replica = ReplicaKey::of(&target.record.id);
    target.handle.responded_since(sent_at)
        || (state.options.policy.shared_view
            && lock(&state.fleet).responded_since(replica, sent_at))
}

fn takes_requests(state: &ProxyState, target: &Target) -> bool {
    let replicas = lock(&state.replicas);
    replicas
        .availability
        .accepts_requests(&target.record.id, state.uptime())
}

async fn connect(target: &Target, non_retryable: bool) -> Result<Connection, FailedExchange> {
    let unreachable = || FailedExchange::not_run(Some(ExchangeEnd::Unreachable), "unreachable");
    let address = target.record.address.parse().map_err(|_| unreachable())?;
    let pool = &target.handle.pool;
    let taken = pool
        .acquire(address, target.connection_limit, non_retryable)
        .await;
    taken.map_err(|failure| match failure {
        ConnectError::Refused | ConnectError::Unreachable => unreachable(),
        ConnectError::Limit => {
            FailedExchange::not_run(Some(ExchangeEnd::Declined), "connection limit")
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
    let (head, body) = response.into_parts();
    let reusable = connection.update_from_head(&head.headers, state.options.policy.stated_rest);
    let answer = OpenResponse {
        head,
        body,
        connection,
        reusable,
    };
    let classified = state.backend.classify(dispatch.request, &answer.head);
    let mut notice = state.backend.signals(&answer.head);
    let is_from_target = matches!(classified, ResponseClass::Response | ResponseClass::NotRun);
    if !is_from_target {
        // Another life's limit, or one of another moment.
        notice.limit = LimitHeader::Absent;
    }
    let news = apply_notice(state, target, notice);
    if is_from_target {
        let life = &target.record.id;
        permits::handle_response(
            state,
            life,
            target.permit,
            notice.limit,
            news.limit.is_some(),
        );
    }
    // Another life may answer at the address before it is registered there. Taken for a sign of the former
    // one, such an answer would hide that that one has ended, and with it which request ended it.
    if classified != ResponseClass::WrongReplica {
        target.handle.record_response(Instant::now());
    }
    let failed = match classified {
        ResponseClass::Response => return Ok(answer),
        ResponseClass::OtherRequest => FailedExchange::may_have_run("foreign answer"),
        ResponseClass::NotRun => FailedExchange::not_run(Some(ExchangeEnd::Declined), "declined"),
        ResponseClass::WrongReplica => {
            FailedExchange::not_run(Some(ExchangeEnd::Declined), "wrong replica or weights")
        }
    };
    Err(failed.answered(answer.head.status.as_u16(), notice))
}

/// Takes in what a replica says of itself. Most answers say nothing, and leave before the lock on all replicas.
fn apply_notice(state: &ProxyState, target: &Target, notice: BackEndSignals) -> SignalChanges {
    if notice == BackEndSignals::default() {
        return SignalChanges::default();
    }
    let replica = &target.record.id;
    let news = lock(&state.replicas)
        .availability
        .record(replica, notice, state.uptime());
    if let Some(back_off) = notice.back_off {
        state.metrics.back_offs.inc();
        spdlog::info!("replica asked for rest", kv: {
            replica = replica.clone(),
            back_off_ms = back_off.as_millis() as u64,
        });
    }
    if news.is_leaving {
        spdlog::info!("replica says that it leaves", kv: { replica = replica.clone() });
    }
    record_limit(state, replica, notice.limit, news.limit);
    news
}

/// Counts what an answer says of a limit, and logs what is new.
fn record_limit(
    state: &ProxyState,
    replica: &str,
    stated: LimitHeader,
    news: Option<RequestLimit>,
) {
    match stated {
        LimitHeader::Absent => {}
        LimitHeader::Present(_) => {
            state.metrics.limits_named.inc();
        }
        LimitHeader::Invalid(error) => {
            state.metrics.limits_unread.inc();
            spdlog::info!("limit not read", kv: {
                replica = replica.to_owned(),
                cause = error.to_string(),
            });
        }
    }
    if let Some(limit) = news {
        spdlog::info!("replica names a limit", kv: {
            replica = replica.to_owned(),
            per_s = limit.requests_per_s(),
        });
    }
}

impl OpenResponse {
    /// Reads the whole body and gives the connection back.
    pub async fn read_body_whole(
        self,
        handle: &ReplicaHandle,
        due: Instant,
    ) -> Result<(response::Parts, Bytes), FailedExchange> {
        let time = due.saturating_duration_since(Instant::now());
        let read = read_body(self.body, MAX_RESPONSE_BYTES, time).await;
        let content = read.map_err(|error| match error {
            ReceiveError::ConnectionLost => FailedExchange::connection_broke("answer broke off"),
            _ => FailedExchange::may_have_run("answer not read"),
        })?;
        if self.reusable {
            handle.pool.release(self.connection);
        }
        Ok((self.head, content))
    }
}
