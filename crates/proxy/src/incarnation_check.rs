//! Asks a replica over the connection of a request which incarnation it is.
//!
//! A replica may start anew under its name and address, with other software. Routers learn that from its next heartbeat
//! only, and one that stood still later. A connection leads to one process as long as it lasts, so its answer holds for
//! the request that follows on the same connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use railtack_serving::{BackendSignals, LimitHeader};
use tokio::time::timeout;

use crate::{
    attempt::{self, FailedExchange, Target},
    health::ExchangeOutcome,
    pool::Connection,
    state::ProxyState,
};

/// Time in which a replica answers.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of an answer, bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Whether a request may be sent over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The connection leads to the incarnation of the record.
    Given,
    /// The connection had been closed; another one may lead there.
    ConnectionClosed,
}

/// Answer to a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The connection leads to the incarnation of the record.
    Confirmed,
    /// It leads to another one.
    Other,
    /// Nothing that could be read arrived in time.
    Missing,
    /// The connection had been closed.
    Closed,
}

impl Answer {
    fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Other => "other",
            Self::Missing => "missing",
            Self::Closed => "closed",
        }
    }
}

/// Confirms that `connection` leads to the incarnation in the target's record, unless the replica has a new name each time
/// it starts. A confirmed connection stays so.
pub async fn confirm(
    state: &ProxyState,
    target: &Target,
    connection: &mut Connection,
) -> Result<Confirmation, FailedExchange> {
    if connection.is_incarnation_confirmed {
        return Ok(Confirmation::Given);
    }
    let Some(request) = state.backend.incarnation_request(&target.record) else {
        return Ok(Confirmation::Given);
    };
    connection.head_limit.await_head();
    let asked = ask(state, target, connection, request);
    let answer = timeout(CHECK_TIMEOUT, asked)
        .await
        .unwrap_or(Answer::Missing);
    state.metrics.record_incarnation_check(answer.name());
    let failed = match answer {
        Answer::Confirmed => {
            connection.is_incarnation_confirmed = true;
            return Ok(Confirmation::Given);
        }
        Answer::Closed => return Ok(Confirmation::ConnectionClosed),
        Answer::Other => {
            FailedExchange::not_run(Some(ExchangeOutcome::Declined), "other incarnation")
        }
        Answer::Missing => FailedExchange::not_run(None, "incarnation not confirmed"),
    };
    spdlog::info!("incarnation of replica not confirmed", kv: {
        replica = target.record.id.clone(),
        address = target.record.address.clone(),
        answer = answer.name(),
    });
    Err(failed)
}

async fn ask(
    state: &ProxyState,
    target: &Target,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Answer {
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            // The request comes back if it was not written.
            let is_unsent = error.take_message().is_some();
            return if is_unsent {
                Answer::Closed
            } else {
                Answer::Missing
            };
        }
    };
    connection.head_limit.head_received();
    let (head, body) = response.into_parts();
    let signals = BackendSignals {
        // A limit is one of requests, and may be that of another incarnation.
        limit: LimitHeader::Absent,
        ..state.backend.signals(&head)
    };
    attempt::apply_signals(state, target, signals);
    let Ok(content) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return Answer::Missing;
    };
    // The connection takes the next request once it has read the answer.
    if connection.sender.ready().await.is_err() {
        return Answer::Missing;
    }
    let content = content.to_bytes();
    let backend = &state.backend;
    if backend.is_incarnation(&target.record, &head, &content) {
        Answer::Confirmed
    } else {
        Answer::Other
    }
}
