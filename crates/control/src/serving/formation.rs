//! Bootstraps the group and joins this replica to it.
//!
//! All replicas start with the same seeds. At the first start the seed with the lowest address
//! bootstraps the group as its only member. Every other replica, and any replica that later finds
//! itself outside the group, sends join requests to the seeds of that time, the members it knows, and
//! the members that take it for one of theirs. A second group cannot form, because only one replica
//! ever bootstraps, and only at the first start on an empty data folder.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use railtack_consensus::{DiskId, Member, ReplicaId};
use railtack_rpc::{
    FeatureLevel, call_context,
    serving::{JoinReply, JoinRequest},
};
use tokio::time::{Instant, sleep};

use crate::{
    serving::{daemon::SeedReader, leader::LeaderClient},
    view::NodeView,
};

/// Interval of the membership check.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a leader after which a member sends join requests again, since it may have been
/// replaced while it was away.
const MAX_LEADERLESS_TIME: Duration = Duration::from_secs(2);
/// Interval of log lines while there is no leader.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether this replica bootstraps the group: at the first start, and if it has the lowest address
/// of the seeds.
pub fn should_bootstrap(bootstrap: bool, local: SocketAddr, seeds: &[SocketAddr]) -> bool {
    bootstrap && seeds.iter().min() == Some(&local)
}

/// Whether a group with these members is that of the local replica's deployment: it counts the local address and
/// another seed among its members. An address may have belonged to another deployment before.
pub fn is_own_group(local: &str, seeds: &[SocketAddr], members: &[Member]) -> bool {
    let has_address = |address: &str| members.iter().any(|member| member.address == address);
    let mut other_seeds = seeds
        .iter()
        .map(SocketAddr::to_string)
        .filter(|seed| seed != local);
    has_address(local) && other_seeds.any(|seed| has_address(&seed))
}

fn log_missing_leader(view: &NodeView, missing_for: Duration) {
    spdlog::warn!("no leader", kv: {
        missing_for_ms = missing_for.as_millis() as u64,
        is_member = view.is_member,
        term = view.term,
        voters = view.voters.join(","),
        contacts = view.contacts.join(","),
    });
}

/// Sends join requests while the local replica is not a member of a group.
pub struct Joiner {
    /// The local replica, and connections to others.
    pub leader_client: Arc<LeaderClient>,
    /// Id of the local replica.
    pub replica: ReplicaId,
    /// Data folder of the local replica.
    pub disk: DiskId,
    /// Returns the seeds at this time.
    pub read_seeds: SeedReader,
    /// Whether the deployment starts for the first time; whoever knows the local address then is of another deployment.
    pub is_first_start: bool,
}

impl Joiner {
    /// Runs until the process exits.
    pub async fn run(self) {
        let mut leader_seen_at = Instant::now();
        let mut logged_at = leader_seen_at;
        loop {
            sleep(CHECK_INTERVAL).await;
            let view = self.leader_client.view();
            if view.leader.is_some() {
                leader_seen_at = Instant::now();
            } else if logged_at.elapsed() >= LOG_INTERVAL {
                logged_at = Instant::now();
                log_missing_leader(&view, leader_seen_at.elapsed());
            }
            let is_joined = view.is_member && leader_seen_at.elapsed() < MAX_LEADERLESS_TIME;
            if !is_joined {
                self.send_join_requests(&view).await;
            }
        }
    }

    async fn send_join_requests(&self, view: &NodeView) {
        let seeds = (self.read_seeds)();
        let mut targets: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        targets.extend(view.voters.iter().cloned());
        targets.extend(self.contacts_in_own_group(&view.contacts, &seeds).await);
        targets.sort();
        targets.dedup();
        targets.retain(|target| target != self.leader_client.local_address());
        let mut position = 0;
        // A reply may name the leader, which then gets a request too.
        while let Some(target) = targets.get(position).cloned() {
            position += 1;
            match self.send_join_request(&target).await {
                Some(JoinReply::Accepted) => return,
                Some(JoinReply::NotLeader {
                    leader: Some(leader),
                }) if !targets.contains(&leader) => targets.push(leader),
                _ => {}
            }
        }
    }

    async fn send_join_request(&self, target: &str) -> Option<JoinReply> {
        let connection = self.leader_client.connection(target)?;
        let request = JoinRequest {
            replica: self.replica,
            disk: self.disk,
            address: self.leader_client.local_address().to_owned(),
            level: FeatureLevel::SUPPORTED,
        };
        connection
            .call(|client| async move { client.join(call_context(JOIN_TIMEOUT), request).await })
            .await
            .ok()
    }

    /// Returns those of the contacts that are members of a group of this deployment.
    async fn contacts_in_own_group(
        &self,
        contacts: &[String],
        seeds: &[SocketAddr],
    ) -> Vec<String> {
        let mut trusted = Vec::new();
        if self.is_first_start || contacts.is_empty() {
            return trusted;
        }
        for contact in contacts {
            let Some(members) = self.members_known_to(contact).await else {
                continue;
            };
            if is_own_group(self.leader_client.local_address(), seeds, &members) {
                trusted.push(contact.clone());
            }
        }
        spdlog::info!("contacts asked for their group", kv: {
            contacts = contacts.join(","),
            trusted = trusted.join(","),
        });
        trusted
    }

    async fn members_known_to(&self, address: &str) -> Option<Vec<Member>> {
        let connection = self.leader_client.connection(address)?;
        let status = connection
            .call(|client| async move { client.status(call_context(JOIN_TIMEOUT)).await })
            .await
            .ok()?;
        Some(status.members)
    }
}
