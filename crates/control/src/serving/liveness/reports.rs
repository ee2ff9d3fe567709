//! Reports of heartbeats and observations to the leader, and the leader's periodic work on them.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{LivenessReply, LivenessReport, ReplicaHeartbeat, ServingCommand},
};
use railtack_serving::ReplicaKey;
use tokio::time::{Instant, sleep};

use super::{Liveness, REMOVAL_TIMEOUT};
use crate::serving::{leader::LeaderClient, permits::PermitServer, slots::server::SlotServer};

/// Interval of the reports to the leader and of the leader's digests. It adds to the age of the
/// observations that routers act on.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum age of heartbeats and requests in the first report to a leader.
const MAX_FIRST_REPORT_AGE: Duration = Duration::from_secs(2);
/// Interval of the scan for silent replicas, whose cost grows with their number.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive missed heartbeats after which a replica is removed.
const MISSED_HEARTBEATS_TO_EXPIRE: u32 = 12;

impl Liveness {
    /// Merges the report of another control replica; returns the leader's reply to it.
    pub fn merge_report(&self, report: LivenessReport) -> LivenessReply {
        let now = Instant::now();
        let heartbeats = report.heartbeats();
        let sender = report.sender;
        self.speeds()
            .record_control_report(&sender, report.paces, now);
        let fleet = {
            let mut fleet = self.fleet();
            fleet.record_control_report(sender.clone(), report.observations, now);
            fleet.digest(now)
        };
        let relays = {
            let mut offers = self.relay_offers();
            offers.record_report(&sender, report.relays, now);
            offers.for_control(&sender, now)
        };
        let mut state = self.lock();
        for heartbeat in heartbeats {
            let age = Duration::from_millis(u64::from(heartbeat.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let known = state.last_seen.entry(heartbeat.replica).or_insert(at);
            *known = at.max(*known);
        }
        for router in report.routers {
            state.remote_routers.insert(router, now);
        }
        LivenessReply {
            routers: state.live_router_count(),
            fleet,
            relays,
        }
    }

    /// Builds the report to the leader; returns it with the time up to which it covers heartbeats.
    /// Heartbeats that the leader has received are not reported again, which keeps the report small
    /// with thousands of replicas. A leader of a build that supports only the first level reads
    /// `identities`.
    fn build_report(
        &self,
        sender: &str,
        leader: &str,
        group_level: FeatureLevel,
    ) -> (LivenessReport, Instant) {
        let now = Instant::now();
        let observations = self.fleet().local_observations(now);
        let paces = self.speeds().due_report(group_level, now);
        let mut state = self.lock();
        state.leading.mark_following();
        let last_report = state
            .last_report
            .as_ref()
            .filter(|(address, _)| address == leader);
        let reported_through = last_report.map(|(_, through)| *through);
        let is_unreported = |at: Instant| match reported_through {
            Some(through) => at > through,
            None => now.saturating_duration_since(at) < MAX_FIRST_REPORT_AGE,
        };
        let heartbeats = state
            .heartbeats
            .iter()
            .filter(|(_, heartbeat)| is_unreported(heartbeat.received_at));
        let ids = heartbeats.clone().map(|(replica, _)| replica.clone());
        let identities = if group_level < FeatureLevel::SHARED_GRANTS {
            ids.collect()
        } else {
            Vec::new()
        };
        let replicas = heartbeats.map(|(id, heartbeat)| {
            let age = now.saturating_duration_since(heartbeat.received_at);
            ReplicaHeartbeat {
                replica: ReplicaKey::of(id),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            }
        });
        let routers = state.local_routers.iter();
        let recent = routers.filter(|(_, at)| at.elapsed() < MAX_FIRST_REPORT_AGE);
        let report = LivenessReport {
            identities,
            replicas: replicas.collect(),
            routers: recent.map(|(router, _)| router.clone()).collect(),
            sender: sender.to_owned(),
            observations,
            paces,
            relays: self.relay_offers().local(now),
        };
        (report, now)
    }

    /// Records that the leader has received all heartbeats up to `through`, and applies its reply.
    fn apply_reply(&self, leader: String, through: Instant, reply: LivenessReply) {
        let mut state = self.lock();
        state.last_report = Some((leader, through));
        state.leader_router_count = reply.routers;
        drop(state);
        self.relay_offers().set_received(reply.relays);
        if let Some(fleet) = &reply.fleet {
            self.speeds().adopt(&fleet.speeds);
        }
        self.fleet().set_digest(reply.fleet, Instant::now());
    }
}

/// Removes a silent replica.
async fn expire(leader_client: &LeaderClient, replica: String) {
    spdlog::info!("replica silent", kv: { replica = replica.clone() });
    let command = ServingCommand::Expire { replica };
    // A failed removal is retried at the next scan.
    let _ = leader_client.propose(command, REMOVAL_TIMEOUT).await;
}

/// Sends reports to the leader or, on the leader, builds digests and removes silent replicas.
pub async fn run_reports(
    leader_client: Arc<LeaderClient>,
    liveness: Arc<Liveness>,
    permits: Arc<PermitServer>,
    slots: Arc<SlotServer>,
) {
    let mut scanned_at = Instant::now();
    loop {
        sleep(REPORT_INTERVAL).await;
        let view = leader_client.view();
        let scan_due = scanned_at.elapsed() >= SCAN_INTERVAL;
        if scan_due {
            scanned_at = Instant::now();
            liveness.remove_expired(|replica| view.serving.replicas().contains_key(replica));
        }
        if view.is_leader {
            liveness.mark_leading(view.term);
            let sensitive = slots.update(&view, liveness.router_count());
            liveness.build_digest(&view, permits.limited(), sensitive);
            if scan_due {
                let known = view.serving.replicas().keys();
                let silent = liveness.silent_replicas(
                    known,
                    liveness.heartbeat_interval * MISSED_HEARTBEATS_TO_EXPIRE,
                );
                // Concurrent proposals share a commit; often many replicas fall silent at once.
                join_all(
                    silent
                        .into_iter()
                        .map(|replica| expire(&leader_client, replica)),
                )
                .await;
            }
        } else if let Some(leader) = view.leader {
            send_report(&leader_client, &liveness, leader, view.serving.level()).await;
        }
    }
}

async fn send_report(
    leader_client: &LeaderClient,
    liveness: &Liveness,
    leader: String,
    group_level: FeatureLevel,
) {
    let Some(connection) = leader_client.connection(&leader) else {
        return;
    };
    let (report, through) =
        liveness.build_report(leader_client.local_address(), &leader, group_level);
    let reply = connection
        .call(|client| async move { client.alive(call_context(REPORT_TIMEOUT), report).await })
        .await;
    // Without a reply, the next report covers the same heartbeats again.
    if let Ok(reply) = reply {
        liveness.apply_reply(leader, through, reply);
    }
}
