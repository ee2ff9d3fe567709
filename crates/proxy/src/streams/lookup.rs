//! Finds where a stream began that its caller takes up.
//!
//! A stream of which that is unknown does not go on: at another version its events would not fit together.

use std::time::Duration;

use railtack_clock::BootInstant;
use railtack_rpc::call_context;
use railtack_serving::{StreamKey, StreamOrigin};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    admission::Admitted,
    refusal::RefusalReason,
    request::ProxiedRequest,
    state::{ProxyState, lock},
};

/// Longest time for which control replicas are asked.
const ASK_TIME: Duration = Duration::from_millis(250);
/// Timeout of one question; the next control replica may know.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(80);
/// Rounds in which all control replicas are asked.
const ROUNDS: u32 = 2;
/// Pause before the second round: the caller may be back before the record has arrived.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait for the view to be confirmed; a control replica confirms it several times a second.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(1_200);
/// Interval at which a confirmation is looked for.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Multiple of the route's timeout in which the stream must have begun.
const WINDOW_TIMEOUTS: u32 = 2;

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
        if let Some(origin) = ask_control(state, key).await {
            return Some((origin, Source::Control));
        }
    }
    // Otherwise another router may have used replicas that this one does not know yet.
    if !is_confirmed_since(state, request.received).await {
        return None;
    }
    only_origin(state, admitted).map(|origin| (origin, Source::OnlyVersion))
}

/// Asks control replicas in turn, the nearest first.
async fn ask_control(state: &ProxyState, key: StreamKey) -> Option<StreamOrigin> {
    let until = Instant::now() + ASK_TIME;
    for round in 0..ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
        }
        for connection in state.control_peers.nearest_first() {
            let question = connection.call(|client| async move {
                client
                    .find_stream(call_context(QUESTION_TIMEOUT), key)
                    .await
            });
            match timeout_at(until, question).await {
                Ok(Ok(Some(origin))) => return Some(origin),
                Ok(Ok(None)) => {}
                Ok(Err(report)) => {
                    spdlog::info!("control replica not asked about a stream", kv: {
                        address = connection.address().to_string(),
                        cause = report.to_string(),
                    });
                }
                Err(_) => return None,
            }
        }
    }
    None
}

/// Waits until the view is known to include everything that was recorded before `since`.
async fn is_confirmed_since(state: &ProxyState, since: Instant) -> bool {
    let until = since + MAX_CONFIRMATION_WAIT;
    loop {
        let age = lock(&state.lease).age(BootInstant::now());
        if age.is_some_and(|age| age <= since.elapsed()) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
}

/// Returns the only place at which the stream can have begun, if there is only one.
fn only_origin(state: &ProxyState, admitted: &Admitted) -> Option<StreamOrigin> {
    let [target] = admitted.route.targets.as_slice() else {
        return None;
    };
    let view = state.view.load();
    if !view.position.is_complete() {
        return None;
    }
    let window = Duration::from_millis(admitted.route.timeout_ms) * WINDOW_TIMEOUTS;
    let registered = view.replicas.values().map(|record| &**record);
    let software = lock(&state.software_history).only_version(
        &target.service,
        registered,
        window,
        state.uptime(),
    )?;
    Some(StreamOrigin {
        service: target.service.clone(),
        software,
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
