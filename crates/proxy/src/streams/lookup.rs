//! Finds where a stream began that its caller takes up.
//!
//! A stream of which that is unknown does not go on: at another version its events would not fit together.

use std::time::Duration;

use error_stack::Report;
use railtack_rpc::{
    ConnectionError, ControlClient, ControlConnection, RpcError, call_context,
    streams::{MAX_KEEP_MS, OnlyVersionRequest},
};
use railtack_serving::{StreamKey, StreamOrigin};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    admission::Admitted,
    refusal::RefusalReason,
    request::ProxiedRequest,
    state::{ProxyState, lock},
};

/// Timeout of a question for the record of a stream.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(80);
/// Timeout of a question for the only version of a service, which the control replica has to confirm with the leader.
const ONLY_VERSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeouts after which no further control replica is asked.
const MAX_UNANSWERED: u32 = 2;
/// Rounds in which control replicas are asked.
const ROUNDS: u32 = 2;
/// Pause before the second round: the caller may be back before the record has arrived.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This router began the stream.
    Own,
    /// A control replica remembered it.
    Control,
    /// There was only one version.
    OnlyVersion,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Control => "control",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// Returns where the stream began, if the request takes one up.
pub async fn find_origin(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
) -> Result<Option<StreamOrigin>, RefusalReason> {
    let names_stream = request.last_event.is_some() || request.first_attempt.is_some();
    let is_stream = admitted.route.kind.is_stream();
    if !names_stream || !is_stream || !is_enabled(state) {
        return Ok(None);
    }
    let Some((origin, source)) = search(state, request, admitted).await else {
        return unknown_origin(state, request);
    };
    log_outcome(state, request, source.name(), Some(&origin));
    let targets = &admitted.route.targets;
    if !targets
        .iter()
        .any(|target| target.service == origin.service)
    {
        return Err(RefusalReason::OriginGone);
    }
    Ok(Some(origin))
}

/// Whether versions are known. Below the feature level all replicas count as of one version.
fn is_enabled(state: &ProxyState) -> bool {
    state.options.policy.software_versions && state.control_peers.remembers_streams()
}

async fn search(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
) -> Option<(StreamOrigin, Source)> {
    if let Some(first) = &request.first_attempt {
        let key = StreamKey::of(admitted.tenant.as_deref(), first);
        let own = lock(&state.stream_origins)
            .get(key, state.uptime())
            .cloned();
        if let Some(origin) = own {
            return Some((origin, Source::Own));
        }
        if let Some(origin) = ask_for_record(state, key).await {
            return Some((origin, Source::Control));
        }
    }
    let origin = only_origin(state, admitted).await?;
    Some((origin, Source::OnlyVersion))
}

/// Asks control replicas for the record of a stream.
async fn ask_for_record(state: &ProxyState, key: StreamKey) -> Option<StreamOrigin> {
    for round in 0..ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
        }
        let found = ask(state, QUESTION_TIMEOUT, |client| async move {
            client
                .find_stream(call_context(QUESTION_TIMEOUT), key)
                .await
        });
        if let Some(origin) = found.await {
            return Some(origin);
        }
    }
    None
}

/// Asks control replicas in turn, the nearest first, until one knows the answer. Those that did not reply are asked
/// again: connections that were reset while they were idle fail at their next use only.
async fn ask<T, F>(
    state: &ProxyState,
    timeout: Duration,
    question: impl Fn(ControlClient) -> F,
) -> Option<T>
where
    F: Future<Output = Result<Option<T>, RpcError>>,
{
    let until = Instant::now() + timeout * MAX_UNANSWERED;
    let mut unasked = state.control_peers.nearest_first();
    for _ in 0..ROUNDS {
        let mut failed = Vec::new();
        for connection in unasked {
            let asked = timeout_at(until, connection.call(&question));
            match asked.await {
                Ok(Ok(Some(answer))) => return Some(answer),
                Ok(Ok(None)) => {}
                Ok(Err(report)) => {
                    log_failure(&connection, &report);
                    failed.push(connection);
                }
                Err(_) => return None,
            }
        }
        unasked = failed;
    }
    None
}

fn log_failure(connection: &ControlConnection, report: &Report<ConnectionError>) {
    spdlog::info!("control replica did not answer about a stream", kv: {
        address = connection.address().to_string(),
        cause = report.to_string(),
    });
}

/// Returns the only place at which the stream can have begun, if there is only one: the route leads to one service,
/// and that had one version for as long as the stream can be old.
async fn only_origin(state: &ProxyState, admitted: &Admitted) -> Option<StreamOrigin> {
    let [target] = admitted.route.targets.as_slice() else {
        return None;
    };
    // A router may have used a replica for as long as its lease lasted after that had left. The route's timeout may have
    // been another one when the stream began.
    let window_ms = state
        .options
        .bounds
        .revoke_ms
        .saturating_add(u64::from(MAX_KEEP_MS));
    let question = OnlyVersionRequest {
        service: target.service.clone(),
        window_ms: u32::try_from(window_ms).unwrap_or(u32::MAX),
    };
    let software = ask(state, ONLY_VERSION_TIMEOUT, |client| {
        let question = question.clone();
        async move {
            let context = call_context(ONLY_VERSION_TIMEOUT);
            client.only_version(context, question).await
        }
    });
    Some(StreamOrigin {
        service: target.service.clone(),
        software: software.await?,
    })
}

fn unknown_origin(
    state: &ProxyState,
    request: &ProxiedRequest,
) -> Result<Option<StreamOrigin>, RefusalReason> {
    log_outcome(state, request, "unknown", None);
    if request.last_event.is_some() {
        return Err(RefusalReason::OriginUnknown);
    }
    // The caller has no event, so its stream begins with this request.
    Ok(None)
}

fn log_outcome(
    state: &ProxyState,
    request: &ProxiedRequest,
    outcome: &'static str,
    origin: Option<&StreamOrigin>,
) {
    state.metrics.record_stream_lookup(outcome);
    spdlog::info!("stream taken up", kv: {
        request = request.id.clone(),
        resumes = request.first_attempt.clone().unwrap_or_default(),
        last_event = request.last_event.unwrap_or_default(),
        found = outcome,
        service = origin.map(|origin| origin.service.clone()).unwrap_or_default(),
        software = origin.map(|origin| origin.software.to_string()).unwrap_or_default(),
        waited_ms = request.received.elapsed().as_millis() as u64,
        known = state.view.load().position.state,
    });
}
