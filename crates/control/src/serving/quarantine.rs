//! Timers of the quarantine. The leader measures the time since the last crash under each request
//! and proposes its release. A new leader starts the timers again, so a change of leader may
//! prolong a quarantine but never shorten it.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use railtack_consensus::LogIndex;
use railtack_rpc::serving::{QUARANTINE_DURATION, ServingCommand};
use railtack_serving::ContentKey;
use tokio::time::{Instant, sleep};

use crate::{
    metrics::ControlMetrics, serving::leader::LeaderClient, serving_state::quarantine::Quarantine,
};

/// Interval of the check; a release may be late by this.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one release; it is retried at the next check.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// When this replica first saw the current state of each suspect. Pure: times are passed in.
#[derive(Debug, Default)]
pub struct ReleaseTimers {
    first_seen: HashMap<ContentKey, (LogIndex, Instant)>,
}

impl ReleaseTimers {
    /// Suspects whose quarantine time has passed since their last change, with the position of that
    /// change.
    pub fn due(&mut self, quarantine: &Quarantine, now: Instant) -> Vec<(ContentKey, LogIndex)> {
        let suspects = quarantine.suspects();
        self.first_seen
            .retain(|content, _| suspects.contains_key(content));
        let mut due = Vec::new();
        for (content, suspect) in suspects {
            let entry = self
                .first_seen
                .entry(*content)
                .or_insert((suspect.changed_at(), now));
            if entry.0 != suspect.changed_at() {
                *entry = (suspect.changed_at(), now);
            }
            if now.saturating_duration_since(entry.1) >= QUARANTINE_DURATION {
                due.push((*content, entry.0));
            }
        }
        due
    }
}

/// Runs the timers, and updates the metrics and the log of the quarantine.
pub async fn run_release_timers(leader_client: Arc<LeaderClient>, metrics: ControlMetrics) {
    let mut timers = ReleaseTimers::default();
    let mut quarantined = BTreeSet::new();
    loop {
        sleep(SCAN_INTERVAL).await;
        let view = leader_client.view();
        let quarantine = view.serving.quarantine();
        log_changes(quarantine, &mut quarantined);
        metrics.quarantined.set(quarantined.len() as i64);
        metrics.suspects.set(quarantine.suspects().len() as i64);
        if !view.is_leader {
            timers = ReleaseTimers::default();
            continue;
        }
        let due = timers.due(quarantine, Instant::now());
        join_all(
            due.into_iter()
                .map(|(content, changed_at)| release(&leader_client, content, changed_at)),
        )
        .await;
    }
}

async fn release(leader_client: &LeaderClient, content: ContentKey, changed_at: LogIndex) {
    let command = ServingCommand::ReleaseContent {
        content,
        changed_at,
    };
    let outcome = leader_client.propose(command, RELEASE_TIMEOUT).await;
    spdlog::info!("quarantine expired", kv: {
        content = content.to_string(),
        changed_at,
        outcome = format!("{outcome:?}"),
    });
}

fn log_changes(quarantine: &Quarantine, previous: &mut BTreeSet<ContentKey>) {
    let current: BTreeSet<ContentKey> = quarantine.update().quarantined.iter().copied().collect();
    for content in current.difference(previous) {
        let suspect = quarantine.suspects().get(content);
        spdlog::warn!("request quarantined", kv: {
            content = content.to_string(),
            ends = suspect.map_or(0, |suspect| suspect.crashes()),
            changed_at = suspect.map_or(0, |suspect| suspect.changed_at()),
            suspects = quarantine.suspects().len(),
        });
    }
    for content in previous.difference(&current) {
        spdlog::info!("request released", kv: { content = content.to_string() });
    }
    *previous = current;
}
