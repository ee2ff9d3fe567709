//! Whether a request may be sent although replicas may crash on it.

use std::time::Duration;

use railtack_serving::ContentKey;

use crate::{
    admission::Admitted,
    crash_checks::{SendDecision, SuspectRun},
    crash_detection,
    refusal::{Refusal, RefusalReason},
    request::ProxiedRequest,
    state::ProxyState,
};

/// Retry delay of a request under which a replica crashed, while it is not settled whether it may be sent again.
const UNSETTLED_RETRY: Duration = Duration::from_secs(1);

/// Waits for pending crash checks. Refuses the request if it is quarantined, or a segment of its prompt is at all services
/// of its route, or if a replica crashed under it and that is not settled in time.
pub(super) async fn check_crashes(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
    content: ContentKey,
) -> Result<Option<SuspectRun>, Refusal> {
    let objective = Duration::from_millis(admitted.route.objective_ms);
    let decision = state.crash_checks.wait(content, objective).await;
    let refusal = |reason, retry_after| Refusal {
        reason,
        retry_after: Some(retry_after),
    };
    if let Some(pause) = quarantine_retry_after(state, request, admitted, content) {
        return Err(refusal(RefusalReason::Quarantined, pause));
    }
    match decision {
        SendDecision::Allowed(run) => Ok(run),
        SendDecision::Unsettled => Err(refusal(RefusalReason::CrashUnsettled, UNSETTLED_RETRY)),
    }
}

/// Returns the retry delay of a request that no service of its route may run.
fn quarantine_retry_after(
    state: &ProxyState,
    request: &ProxiedRequest,
    admitted: &Admitted,
    content: ContentKey,
) -> Option<Duration> {
    if !state.crash_checks.has_quarantined() {
        return None;
    }
    let mut longest = None;
    let targets = admitted.route.targets.iter();
    for target in targets.filter(|target| target.weight_milli > 0) {
        let prompt = request.prompt.as_ref();
        let subjects = crash_detection::crash_subjects(content, &target.service, prompt);
        let (subject, retry_after) = state.crash_checks.quarantined_subject(&subjects)?;
        longest = longest.max(Some((retry_after, subject)));
    }
    let (retry_after, subject) = longest?;
    spdlog::info!("request refused as quarantined", kv: {
        request = request.id.clone(),
        subject = subject.to_string(),
    });
    Some(retry_after)
}
