//! How the group comes to be and how a replica gets into it.
//!
//! At the first start all replicas are told the same seeds. The one with the lowest address makes
//! the group, alone; every other replica, and every one that later finds itself outside, asks the
//! seeds and the members it knows to be taken in. Two groups cannot come to be, because only one
//! replica ever makes one, and only on an empty folder at the first start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use railtack_consensus::{DiskId, ReplicaId};
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{JoinReply, JoinRequest},
};
use tokio::time::{Instant, sleep};

use crate::serving::leader::LeaderClient;

/// Time between two looks at whether this replica is a member.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a leader after which a member asks to be taken in again: it may have been
/// replaced while it was away.
const MAX_LEADERLESS_TIME: Duration = Duration::from_secs(2);
/// Time for one request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether this replica makes the group: the first start, and the lowest of the seeds.
pub fn should_bootstrap(bootstrap: bool, local: SocketAddr, seeds: &[SocketAddr]) -> bool {
    bootstrap && seeds.iter().min() == Some(&local)
}

/// Asks to be taken in for as long as this replica is outside.
pub async fn run_join_loop(
    link: Arc<LeaderClient>,
    replica: ReplicaId,
    disk: DiskId,
    seeds: Vec<SocketAddr>,
) {
    let mut leader_seen_at = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let view = link.view();
        if view.leader.is_some() {
            leader_seen_at = Instant::now();
        }
        let is_joined = view.is_member && leader_seen_at.elapsed() < MAX_LEADERLESS_TIME;
        if !is_joined {
            let request = JoinRequest {
                replica,
                disk,
                address: link.local_address().to_owned(),
                level: FeatureLevel::SUPPORTED,
            };
            send_join_requests(&link, &request, &view.voters, &seeds).await;
        }
    }
}

async fn send_join_requests(
    link: &LeaderClient,
    request: &JoinRequest,
    voters: &[String],
    seeds: &[SocketAddr],
) {
    let mut targets: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    targets.extend(voters.iter().cloned());
    targets.sort();
    targets.dedup();
    targets.retain(|target| target != link.local_address());
    let mut position = 0;
    // Each target may name the leader, which is then asked too.
    while let Some(target) = targets.get(position).cloned() {
        position += 1;
        match send_join_request(link, request, &target).await {
            Some(JoinReply::Accepted) => return,
            Some(JoinReply::NotLeader {
                leader: Some(leader),
            }) if !targets.contains(&leader) => targets.push(leader),
            _ => {}
        }
    }
}

async fn send_join_request(
    link: &LeaderClient,
    request: &JoinRequest,
    target: &str,
) -> Option<JoinReply> {
    let connection = link.connection(target)?;
    let request = request.clone();
    connection
        .call(|client| async move { client.join(call_context(JOIN_TIMEOUT), request).await })
        .await
        .ok()
}
