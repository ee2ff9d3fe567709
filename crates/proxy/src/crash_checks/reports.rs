//! Reports of crashes to the control group.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use railtack_rpc::{
    protocol::Outcome,
    serving::{ServingCommand, ServingOutcome},
};
use railtack_serving::{ContentKey, ReplicaKey};
use tokio::time::{Instant, sleep, timeout_at};

use super::{CrashCheckHost, CrashProof, MAX_CONCURRENT_REPORTS, successes::settle_all_ended};
use crate::state::lock;

/// Time after which an unrecorded report is dropped.
const REPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before the next proposal while a leader is being elected.
const PROPOSE_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time after a crash in which other requests with the same prompt segments may complete or get further, before the
/// segments are reported. When many replicas crash at once for another reason, nearly all segments do.
const SEGMENT_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Reports a crashed replica to the control group, with all requests it may have crashed on. Returns the segments of
/// their prompts.
pub(super) async fn report_crash<H: CrashCheckHost>(
    host: &H,
    replica: &H::Replica,
    proof: CrashProof,
) -> BTreeMap<ContentKey, Duration> {
    let checks = host.crash_checks();
    let id = H::id(replica);
    let reporter = host.reporter(replica);
    let mut requests = 0;
    let mut segments = BTreeMap::new();
    let mut is_recorded = true;
    loop {
        let contents = lock(&checks.tracker).take_unreported(id);
        requests += contents.len();
        segments.extend(lock(&checks.tracker).take_unreported_segments(id));
        let command = ServingCommand::RecordCrash {
            replica: ReplicaKey::of(id),
            contents,
            reporter: reporter.clone(),
        };
        is_recorded &= propose_until_recorded(host, command).await;
        // Connections that broke meanwhile are reported next.
        if lock(&checks.tracker).remove(id) {
            break;
        }
    }
    checks.progress.notify_waiters();
    spdlog::info!("replica crash reported", kv: {
        replica = id.to_owned(),
        proof = format!("{proof:?}"),
        requests,
        hears_others = reporter.is_some(),
        recorded = is_recorded,
    });
    segments
}

/// Reports the prompt segments that a replica may have crashed on, unless requests with them prove harmless meanwhile.
pub(super) async fn report_segments<H: CrashCheckHost>(
    host: &Arc<H>,
    replica: ReplicaKey,
    segments: BTreeMap<ContentKey, Duration>,
) {
    if segments.is_empty() || !host.supports_segment_reports() {
        return;
    }
    sleep(SEGMENT_REPORT_DELAY).await;
    settle_all_ended(host);
    let running = segments.len();
    let mut suspects = segments;
    {
        let tracker = lock(&host.crash_checks().tracker);
        let now = Instant::now();
        suspects.retain(|segment, _| !tracker.is_segment_harmless(*segment, now));
    }
    let Some(progress) = suspects.values().min().copied() else {
        return;
    };
    let prompt_segments = suspects.len();
    let routers = host.routers();
    let may_report = lock(&host.crash_checks().tracker).report_budget.try_report(
        progress,
        routers,
        Instant::now(),
    );
    if !may_report {
        spdlog::info!("prompt segments left out", kv: {
            replica = replica.0,
            running,
            prompt_segments,
            progress_ms = progress.as_millis() as u64,
            routers,
        });
        return;
    }
    let contents: Vec<ContentKey> = suspects.into_keys().collect();
    let command = ServingCommand::RecordCrash {
        replica,
        contents,
        reporter: None,
    };
    let recorded = propose_until_recorded(&**host, command).await;
    spdlog::info!("prompt segments reported", kv: {
        replica = replica.0,
        running,
        prompt_segments,
        recorded,
    });
}

/// Proposes a command until it is recorded, following changes of leader. Recording is idempotent. Returns false
/// if it is not recorded.
pub(super) async fn propose_until_recorded<H: CrashCheckHost>(
    host: &H,
    command: ServingCommand,
) -> bool {
    if !host.supports_reports() {
        spdlog::info!("report skipped: not supported at the group's feature level");
        return false;
    }
    let until = Instant::now() + REPORT_TIMEOUT;
    let slots = &host.crash_checks().report_slots;
    let Ok(Ok(_slot)) = timeout_at(until, slots.acquire()).await else {
        spdlog::warn!("report dropped: too many pending reports", kv: { waiting = MAX_CONCURRENT_REPORTS });
        return false;
    };
    for attempt in 0.. {
        if Instant::now() >= until {
            break;
        }
        if let Some(outcome) = host.propose(command.clone(), attempt).await {
            if let Outcome::Serving(ServingOutcome::CrashRecorded(update)) = outcome {
                host.apply_quarantine(&update);
            }
            return true;
        }
        sleep(PROPOSE_RETRY_INTERVAL).await;
    }
    spdlog::warn!("report timed out", kv: { after_s = REPORT_TIMEOUT.as_secs() });
    false
}
