//! Quarantine of requests that crash engines or back ends: refuses requests that the control group
//! has quarantined, and reports crashes under this router's requests to the control group.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use railtack_core::{EngineId, EngineIncarnation, RefusalCode};
use railtack_http::client::port_closes_within;
use railtack_proxy::quarantine::{REPORT_BATCH_DELAY, REPORT_TIMEOUT};
use railtack_rpc::{
    protocol::{Command, Outcome},
    serving::{QuarantineUpdate, ServingCommand, ServingOutcome},
};
use railtack_serving::{ContentKey, ReplicaKey};
use tokio::time::{Instant, sleep};

use crate::{
    proposal::ProposalOutcome,
    refusal::Refusal,
    state::{RouterState, lock},
};

/// Time in which the port of a back end that exits closes after its connections.
const PORT_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// One incarnation of an engine or back end.
#[derive(Clone, Debug)]
pub struct BackendIncarnation {
    /// Unique id of the incarnation.
    pub id: String,
    /// Listen address.
    pub address: SocketAddr,
}

/// Returns the unique id of an engine's incarnation.
pub fn engine_incarnation_id(engine: EngineId, incarnation: EngineIncarnation) -> String {
    format!("{engine}@{}", incarnation.0)
}

/// Returns the refusal for a quarantined request; `None` if it is not quarantined.
pub fn refusal(state: &RouterState, content: ContentKey) -> Option<Refusal> {
    let delay = lock(&state.quarantine).retry_after(content, Instant::now())?;
    let detail = "back ends ended under this request, one after the other";
    let refusal = Refusal::not_run(RefusalCode::Quarantined, detail);
    Some(refusal.retry_after_ms(delay.as_millis() as u64))
}

/// Applies an update of the control group's quarantine list.
pub fn apply_update(state: &RouterState, update: &QuarantineUpdate) {
    let mut quarantine = lock(&state.quarantine);
    for change in quarantine.apply(update, Instant::now()) {
        spdlog::info!("quarantine changed", kv: {
            change = format!("{change:?}"),
            changed_at = update.changed_at,
        });
    }
    state
        .metrics
        .quarantined
        .set(quarantine.quarantined() as i64);
}

/// Records that a back end completed a request, and reports this to the control group if the request
/// is suspected.
pub fn record_success(state: &Arc<RouterState>, content: ContentKey) {
    lock(&state.crash_tracker).record_success(content, Instant::now());
    if lock(&state.quarantine).should_report_success(content) {
        let state = Arc::clone(state);
        let contents = vec![content];
        tokio::spawn(
            async move { propose(&state, ServingCommand::ClearSuspects { contents }).await },
        );
    }
}

/// Records a broken connection to a back end that was running a request. Checks in the background
/// whether the back end has exited, i.e. whether its port refuses connections.
pub fn record_broken_connection(
    state: &Arc<RouterState>,
    incarnation: BackendIncarnation,
    content: ContentKey,
) {
    if lock(&state.crash_tracker).record_broken_connection(&incarnation.id, content, Instant::now())
    {
        let state = Arc::clone(state);
        tokio::spawn(async move { check_crashed(&state, &incarnation).await });
    }
}

async fn check_crashed(state: &RouterState, incarnation: &BackendIncarnation) {
    let has_ended = port_closes_within(incarnation.address, PORT_CHECK_TIMEOUT).await;
    spdlog::info!("replica looked at after a connection broke", kv: {
        replica = incarnation.id.clone(),
        address = incarnation.address.to_string(),
        has_ended,
    });
    if has_ended {
        state.metrics.backend_crashes.inc();
        sleep(REPORT_BATCH_DELAY).await;
        report_crash(state, incarnation).await;
    }
    lock(&state.crash_tracker).remove(&incarnation.id);
}

async fn report_crash(state: &RouterState, incarnation: &BackendIncarnation) {
    loop {
        let contents = lock(&state.crash_tracker).take_unreported(&incarnation.id);
        if contents.is_empty() {
            return;
        }
        let replica = ReplicaKey::of(&incarnation.id);
        let command = ServingCommand::RecordCrash {
            replica,
            contents,
            // No reporter is needed: the platform lists engines and back ends.
            reporter: None,
        };
        propose(state, command).await;
    }
}

async fn propose(state: &RouterState, command: ServingCommand) {
    if !state.control.supports_shared_grants() {
        spdlog::info!("report skipped: not supported at the group's feature level");
        return;
    }
    let outcome = state
        .control
        .propose(Command::Serving(command), REPORT_TIMEOUT)
        .await;
    match outcome {
        ProposalOutcome::Done(Outcome::Serving(ServingOutcome::CrashRecorded(update))) => {
            apply_update(state, &update)
        }
        ProposalOutcome::Done(_) => {}
        other => spdlog::warn!("report failed", kv: { outcome = format!("{other:?}") }),
    }
}
