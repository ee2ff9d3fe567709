//! Bootstraps the group and joins this replica to it.
//!
//! All replicas start with the same seeds. At the first start the seed with the lowest address
//! bootstraps the group as its only member. Every other replica, and any replica that later finds
//! itself outside the group, sends join requests to the seeds of that time and the members it knows. A second
//! group cannot form, because only one replica ever bootstraps, and only at the first start on an
//! empty data folder.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use railtack_consensus::{DiskId, ReplicaId};
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{JoinReply, JoinRequest},
};
use tokio::time::{Instant, sleep};

use crate::serving::{daemon::SeedReader, leader::LeaderClient};

/// Interval of the membership check.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a leader after which a member sends join requests again, since it may have been
/// replaced while it was away.
const MAX_LEADERLESS_TIME: Duration = Duration::from_secs(2);
/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether this replica bootstraps the group: at the first start, and if it has the lowest address
/// of the seeds.
pub fn should_bootstrap(bootstrap: bool, local: SocketAddr, seeds: &[SocketAddr]) -> bool {
    bootstrap && seeds.iter().min() == Some(&local)
}

/// Sends join requests while this replica is not a member.
pub async fn run_join_loop(
    leader_client: Arc<LeaderClient>,
    replica: ReplicaId,
    disk: DiskId,
    read_seeds: SeedReader,
) {
    let mut leader_seen_at = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let view = leader_client.view();
        if view.leader.is_some() {
            leader_seen_at = Instant::now();
        }
        let is_joined = view.is_member && leader_seen_at.elapsed() < MAX_LEADERLESS_TIME;
        if !is_joined {
            let request = JoinRequest {
                replica,
                disk,
                address: leader_client.local_address().to_owned(),
                level: FeatureLevel::SUPPORTED,
            };
            send_join_requests(&leader_client, &request, &view.voters, &read_seeds()).await;
        }
    }
}

async fn send_join_requests(
    leader_client: &LeaderClient,
    request: &JoinRequest,
    voters: &[String],
    seeds: &[SocketAddr],
) {
    let mut targets: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    targets.extend(voters.iter().cloned());
    targets.sort();
    targets.dedup();
    targets.retain(|target| target != leader_client.local_address());
    let mut position = 0;
    // A reply may name the leader, which then gets a request too.
    while let Some(target) = targets.get(position).cloned() {
        position += 1;
        match send_join_request(leader_client, request, &target).await {
            Some(JoinReply::Accepted) => return,
            Some(JoinReply::NotLeader {
                leader: Some(leader),
            }) if !targets.contains(&leader) => targets.push(leader),
            _ => {}
        }
    }
}

async fn send_join_request(
    leader_client: &LeaderClient,
    request: &JoinRequest,
    target: &str,
) -> Option<JoinReply> {
    let connection = leader_client.connection(target)?;
    let request = request.clone();
    connection
        .call(|client| async move { client.join(call_context(JOIN_TIMEOUT), request).await })
        .await
        .ok()
}
