//! Quarantine of requests that crash engines or back ends: refuses requests that the control group
//! has quarantined, and checks and reports crashes under this router's requests.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use railtack_core::{EngineId, EngineIncarnation, RefusalCode};
use railtack_proxy::{
    crash_checks::{
        CLOSE_TIMEOUT, CrashCheckHost, CrashChecks, PROPOSE_TIMEOUT, SUCCESSOR_TIMEOUT,
        SendDecision, SuspectRun,
    },
    pool::ProbeConnection,
};
use railtack_routing::EngineSlot;
use railtack_rpc::{
    protocol::{Command, Outcome, ProposeReply},
    serving::{QuarantineUpdate, ServingCommand},
};
use railtack_serving::ContentKey;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    proposal::ReplicaResponse,
    refusal::Refusal,
    state::{RouterState, lock},
};

/// Retry delay of a request under which a back end crashed, while it is not settled whether it may be sent again,
/// milliseconds.
const UNSETTLED_RETRY_MS: u64 = 1_000;
/// Interval at which the engine's view is checked for a new incarnation.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One incarnation of an engine or back end.
#[derive(Clone, Debug)]
pub struct BackendIncarnation {
    /// Unique id of the incarnation.
    pub id: String,
    /// Listen address.
    pub address: SocketAddr,
    /// The engine; `None` for a back end of an HTTP service, which reports no incarnation.
    pub engine: Option<(EngineSlot, EngineIncarnation)>,
}

/// Returns the unique id of an engine's incarnation.
pub fn engine_incarnation_id(engine: EngineId, incarnation: EngineIncarnation) -> String {
    format!("{engine}@{}", incarnation.0)
}

/// Returns the refusal for a quarantined request; `None` if it is not quarantined.
pub fn refusal(state: &RouterState, content: ContentKey) -> Option<Refusal> {
    let delay = state.crash_checks.quarantine_retry_after(content)?;
    let detail = "back ends ended under this request, one after the other";
    let refusal = Refusal::not_run(RefusalCode::Quarantined, detail);
    Some(refusal.retry_after_ms(delay.as_millis() as u64))
}

/// Waits for the crash checks that concern a request, for a part of `time`, in which it should be answered.
/// Refuses it if it is quarantined, or if a back end crashed under it and that is not settled in time. A suspected
/// request must hold the returned run while it is sent to a back end.
pub async fn check_crashes(
    state: &RouterState,
    content: ContentKey,
    time: Duration,
) -> Result<Option<SuspectRun>, Refusal> {
    let decision = state.crash_checks.wait(content, time).await;
    if let Some(refusal) = refusal(state, content) {
        return Err(refusal);
    }
    match decision {
        SendDecision::Allowed(run) => Ok(run),
        SendDecision::Unsettled => {
            let detail = "a back end ended under this request, and it is not settled whether it may be sent again";
            let refusal = Refusal::not_run(RefusalCode::ControlUnavailable, detail);
            Err(refusal.retry_after_ms(UNSETTLED_RETRY_MS))
        }
    }
}

impl CrashCheckHost for RouterState {
    type Replica = BackendIncarnation;

    // An engine keeps a stream whose connection broke, and the stream is resumed. A request whose connection is
    // lost for good has probably met a crash.
    const BLOCKING_CLOSE_TIMEOUT: Duration = CLOSE_TIMEOUT;

    fn crash_checks(&self) -> &Arc<CrashChecks> {
        &self.crash_checks
    }

    fn id(incarnation: &BackendIncarnation) -> &str {
        &incarnation.id
    }

    fn address(incarnation: &BackendIncarnation) -> Option<SocketAddr> {
        Some(incarnation.address)
    }

    async fn wait_for_successor(
        &self,
        incarnation: &BackendIncarnation,
        broken_at: Instant,
    ) -> bool {
        let Some((engine, former)) = incarnation.engine else {
            sleep_until(broken_at + CLOSE_TIMEOUT).await;
            return false;
        };
        let broken_at_us = self.now_us();
        let until = broken_at + SUCCESSOR_TIMEOUT;
        while Instant::now() < until {
            let (current, last_seen_at) = {
                let scheduler = lock(&self.scheduler);
                let view = scheduler.engines.view(engine);
                (view.incarnation, view.last_seen_at)
            };
            if current != former {
                return true;
            }
            if last_seen_at > broken_at_us {
                return false;
            }
            sleep(SUCCESSOR_POLL_INTERVAL).await;
        }
        false
    }

    fn adopt_connection(&self, _: &BackendIncarnation, connection: ProbeConnection) {
        // The HTTP client opens its own connections.
        drop(connection);
    }

    fn mark_crashed(&self, incarnation: &BackendIncarnation) {
        self.metrics.backend_crashes.inc();
        let Some((engine, crashed)) = incarnation.engine else {
            lock(&self.backend_incarnations).record_crash(incarnation.address);
            return;
        };
        let mut scheduler = lock(&self.scheduler);
        let view = scheduler.engines.view_mut(engine);
        if view.incarnation == crashed {
            view.available = false;
        }
    }

    fn reporter(&self, _: &BackendIncarnation) -> Option<String> {
        // The platform lists engines and back ends.
        None
    }

    fn supports_reports(&self) -> bool {
        self.control.supports_shared_grants()
    }

    async fn propose(&self, command: ServingCommand, attempt: usize) -> Option<Outcome> {
        let command = Command::Serving(command);
        let response = self
            .control
            .propose_once(&command, attempt, PROPOSE_TIMEOUT)
            .await;
        match response {
            Some(ReplicaResponse::Reply(ProposeReply::Done(outcome))) => Some(outcome),
            _ => None,
        }
    }

    fn apply_quarantine(&self, update: &QuarantineUpdate) {
        let mut quarantine = lock(&self.crash_checks.quarantine);
        for change in quarantine.apply(update, Instant::now()) {
            spdlog::info!("quarantine changed", kv: {
                change = format!("{change:?}"),
                changed_at = update.changed_at,
            });
        }
        self.metrics
            .quarantined
            .set(quarantine.quarantined() as i64);
    }
}
