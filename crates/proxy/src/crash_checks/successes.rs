//! Requests that completed, which clears them and their prompt segments of suspicion.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use railtack_rpc::serving::ServingCommand;
use railtack_serving::ContentKey;
use tokio::time::{Instant, sleep};

use super::{CrashCheckHost, CrashSubjects, RequestEvidence, reports::propose_until_recorded};
use crate::{
    ended_requests::{EndedRequest, RequestEnd},
    state::lock,
};

/// Mean interval at which all routers together report that a prompt segment is harmless because others suspect it. Each
/// waits for a random time, and the first reports spare the others theirs: hundreds at once would hold up the group.
const CLEARANCE_INTERVAL: Duration = Duration::from_millis(12);

/// Interval at which ended requests are settled while the control group lists prompt segments. Nothing completes any more
/// with a segment that it quarantined.
const SETTLE_INTERVAL: Duration = Duration::from_millis(400);

/// Records that a request completed and that its replica did not crash, and reports it to the control group if the request
/// is suspected or quarantined: copies that were open when it was quarantined may prove it harmless.
pub fn request_succeeded<H: CrashCheckHost>(host: &Arc<H>, subjects: impl Into<CrashSubjects>) {
    let subjects = subjects.into();
    let now = Instant::now();
    {
        let mut tracker = lock(&host.crash_checks().tracker);
        tracker.record_success(subjects.content, now);
        tracker.segments.record_outlived(&subjects.segments, now);
    }
    clear_content(host, subjects.content);
    clear_segments(host, subjects.segments);
}

/// Records that a request ended at a replica that may have crashed on it. It counts as a success once the replica has been
/// heard from. If its response has an end mark, it counts at once against reports, but it clears no segment yet.
pub fn request_ended<H: CrashCheckHost>(
    host: &Arc<H>,
    replica: &str,
    request: RequestEvidence,
    end: RequestEnd,
) {
    let now = Instant::now();
    if end == RequestEnd::Completed {
        let mut tracker = lock(&host.crash_checks().tracker);
        tracker.record_success(request.subjects.content, now);
        tracker
            .segments
            .record_completed(&request.subjects.segments, now);
        drop(tracker);
        clear_content(host, request.subjects.content);
    }
    let ended = EndedRequest {
        request,
        end,
        ended_at: now,
    };
    lock(&host.crash_checks().tracker)
        .ended
        .record(replica, ended);
    settle_ended(host, replica);
}

/// Counts the requests as successes whose replica was heard from after they ended.
pub(super) fn settle_ended<H: CrashCheckHost>(host: &Arc<H>, replica: &str) {
    let Some(heard_at) = host.last_heard(replica) else {
        return;
    };
    let outlived = lock(&host.crash_checks().tracker)
        .ended
        .take_outlived(replica, heard_at);
    let mut segments = BTreeSet::new();
    for ended in outlived.iter().filter(|ended| ended.is_success()) {
        let subjects = &ended.request.subjects;
        lock(&host.crash_checks().tracker).record_outlived(ended);
        if ended.end == RequestEnd::ClosedByReplica {
            clear_content(host, subjects.content);
        }
        segments.extend(&subjects.segments);
    }
    clear_segments(host, segments.into_iter().collect());
}

/// Does the same for all replicas.
pub(super) fn settle_all_ended<H: CrashCheckHost>(host: &Arc<H>) {
    let replicas = lock(&host.crash_checks().tracker).ended.replicas();
    for replica in replicas {
        settle_ended(host, &replica);
    }
}

/// Reports that a whole request completed, if it is suspected.
fn clear_content<H: CrashCheckHost>(host: &Arc<H>, content: ContentKey) {
    if !lock(&host.crash_checks().quarantine).should_report_success(content) {
        return;
    }
    let contents = vec![content];
    spdlog::info!("suspected request ran well", kv: { content = content.to_string() });
    let host = Arc::clone(host);
    let command = ServingCommand::ClearSuspects { contents };
    tokio::spawn(async move { propose_until_recorded(&*host, command).await });
}

/// Reports the prompt segments that the control group suspects although requests with them completed here recently.
/// Called when its lists change.
pub fn clear_completed_segments<H: CrashCheckHost>(host: &Arc<H>) {
    let checks = host.crash_checks();
    let mut completed = lock(&checks.quarantine).listed_segments();
    if completed.is_empty() {
        return;
    }
    settle_all_ended(host);
    {
        let tracker = lock(&checks.tracker);
        let now = Instant::now();
        completed.retain(|segment| tracker.segments.was_outlived(*segment, now));
    }
    clear_segments(host, completed);
    if !checks.is_settling.swap(true, Ordering::SeqCst) {
        tokio::spawn(settle_while_listed(Arc::clone(host)));
    }
}

async fn settle_while_listed<H: CrashCheckHost>(host: Arc<H>) {
    let checks = host.crash_checks();
    let lists_segments = || !lock(&checks.quarantine).listed_segments().is_empty();
    loop {
        while lists_segments() {
            sleep(SETTLE_INTERVAL).await;
            settle_all_ended(&host);
        }
        checks.is_settling.store(false, Ordering::SeqCst);
        // A segment may have been listed since the last look, when this task still counted as running.
        if !lists_segments() || checks.is_settling.swap(true, Ordering::SeqCst) {
            return;
        }
    }
}

/// Reports prompt segments that completed, unless the control group does not suspect them.
fn clear_segments<H: CrashCheckHost>(host: &Arc<H>, segments: Vec<ContentKey>) {
    let awaited = {
        let mut quarantine = lock(&host.crash_checks().quarantine);
        let mut awaited = segments;
        awaited.retain(|segment| quarantine.should_report_success(*segment));
        awaited
    };
    if awaited.is_empty() || !host.supports_segment_reports() {
        return;
    }
    let host = Arc::clone(host);
    tokio::spawn(async move {
        let spread = CLEARANCE_INTERVAL * host.routers().max(1);
        sleep(spread.mul_f64(rand::random())).await;
        let contents = {
            let quarantine = lock(&host.crash_checks().quarantine);
            let mut still_suspected = awaited;
            still_suspected.retain(|segment| quarantine.is_listed(*segment));
            still_suspected
        };
        if contents.is_empty() {
            return;
        }
        spdlog::info!("suspected prompt segments ran well", kv: {
            segments = contents.iter().map(ToString::to_string).collect::<Vec<_>>().join(","),
        });
        propose_until_recorded(&*host, ServingCommand::ClearSuspects { contents }).await;
    });
}
