//! What a router of opaque requests knows of the limits that replicas name, and how it reaches the leader.

use std::{sync::Arc, time::Duration};

use railtack_rpc::{
    call_context,
    permits::{PermitReply, PermitRequest},
};
use railtack_serving::{AdvertisedLimit, MonotonicTime, ReplicaKey, RequestLimit};
use tokio::time::Instant;

use crate::{
    permits::{self, KnownLimit, LimitedRouter},
    state::{ProxyState, lock},
};

/// Time after a limit was heard in which the digest may not name it yet.
const DIGEST_LAG: Duration = Duration::from_secs(1);

impl LimitedRouter for ProxyState {
    fn uptime(&self) -> MonotonicTime {
        ProxyState::uptime(self)
    }

    fn known_limit(&self, life: &str) -> Option<KnownLimit> {
        let own = lock(&self.replicas).availability.limit(life);
        let own = own.map(|own| KnownLimit {
            limit: own.limit,
            age: self.uptime().saturating_sub(own.advertised_at),
            own: Some(own),
        });
        let now = Instant::now();
        let told = lock(&self.fleet).limit(ReplicaKey::of(life), now);
        let told = told.map(|told| KnownLimit {
            limit: told.limit,
            age: now.saturating_duration_since(told.named_at),
            own: own.and_then(|own| own.own),
        });
        own.into_iter().chain(told).min_by_key(|known| known.age)
    }

    fn unanswered_until(&self) -> MonotonicTime {
        *lock(&self.permits_unanswered_until)
    }

    fn note_unanswered(&self, until: MonotonicTime) {
        *lock(&self.permits_unanswered_until) = until;
    }

    fn note_withheld(&self, life: &str, limit: RequestLimit, room_at: MonotonicTime) {
        self.metrics.permits_withheld.inc();
        let mut replicas = lock(&self.replicas);
        replicas
            .availability
            .set_limited_until(life, limit, room_at);
    }

    fn note_over(&self, life: &str, named_at: MonotonicTime) {
        let mut replicas = lock(&self.replicas);
        replicas.availability.clear_limit(life, named_at);
    }

    async fn ask_leader(&self, question: PermitRequest, limit: Duration) -> Option<PermitReply> {
        let asked = self
            .control_peers
            .ask("permit", |client| async move {
                client.take_permit(call_context(limit), question).await
            })
            .await;
        let (reply, address) = asked?;
        match &reply {
            PermitReply::NotLeader { leader } => self.control_peers.follow(address, leader.clone()),
            _ => self.control_peers.leads(address),
        }
        Some(reply)
    }
}

/// Tells the leader of limits that were named to this router and that the digest does not name: it may not have
/// heard of them, or know that they are over.
pub fn tell_unknown(state: &Arc<ProxyState>) {
    let uptime = state.uptime();
    let now = Instant::now();
    let untold: Vec<(String, AdvertisedLimit)> = {
        let replicas = lock(&state.replicas);
        let fleet = lock(&state.fleet);
        let own = replicas.availability.limits();
        own.filter(|(life, own)| {
            own.advertised_at + DIGEST_LAG < uptime
                && fleet.limit(ReplicaKey::of(life), now).is_none()
        })
        .map(|(life, own)| (life.to_owned(), own))
        .collect()
    };
    for (life, own) in untold {
        permits::tell_again(state, life, own);
    }
}
