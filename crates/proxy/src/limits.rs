//! What a router of opaque requests knows of the limits that replicas name, and how it reaches the leader.

use std::{sync::Arc, time::Duration};

use railtack_rpc::{
    call_context,
    permits::{PermitReply, PermitRequest},
};
use railtack_serving::{AdvertisedLimit, MonotonicTime, ReplicaKey, RequestLimit};
use tokio::time::Instant;

use crate::{
    permits::{self, KnownLimit, PermitClient},
    state::{ProxyState, lock},
};

/// Time after a limit was heard in which the digest may not name it yet.
const DIGEST_LAG: Duration = Duration::from_secs(1);

impl PermitClient for ProxyState {
    fn uptime(&self) -> MonotonicTime {
        ProxyState::uptime(self)
    }

    fn known_limit(&self, life: &str) -> Option<KnownLimit> {
        let local = lock(&self.replicas).availability.limit(life);
        let local = local.map(|named| KnownLimit {
            limit: named.limit,
            age: self.uptime().saturating_sub(named.advertised_at),
            advertised_here: Some(named),
        });
        let now = Instant::now();
        let digest = lock(&self.fleet).limit(ReplicaKey::of(life), now);
        let digest = digest.map(|digest| KnownLimit {
            limit: digest.limit,
            age: now.saturating_duration_since(digest.advertised_at),
            advertised_here: local.and_then(|local| local.advertised_here),
        });
        local
            .into_iter()
            .chain(digest)
            .min_by_key(|known| known.age)
    }

    fn permit_requests_suspended_until(&self) -> MonotonicTime {
        *lock(&self.permit_requests_suspended_until)
    }

    fn suspend_permit_requests(&self, until: MonotonicTime) {
        *lock(&self.permit_requests_suspended_until) = until;
    }

    fn record_denied(&self, life: &str, limit: RequestLimit, room_at: MonotonicTime) {
        self.metrics.permits_withheld.inc();
        let mut replicas = lock(&self.replicas);
        replicas
            .availability
            .set_limited_until(life, limit, room_at);
    }

    fn clear_limit(&self, life: &str, named_at: MonotonicTime) {
        let mut replicas = lock(&self.replicas);
        replicas.availability.clear_limit(life, named_at);
    }

    async fn ask_leader(&self, question: PermitRequest, limit: Duration) -> Option<PermitReply> {
        let asked = self
            .control_peers
            .call("permit", |client| async move {
                client.take_permit(call_context(limit), question).await
            })
            .await;
        let (reply, address) = asked?;
        match &reply {
            PermitReply::NotLeader { leader } => {
                self.control_peers.follow_redirect(address, leader.clone())
            }
            _ => self.control_peers.set_leader(address),
        }
        Some(reply)
    }
}

/// Tells the leader of limits that were named to this router and that the digest does not name: it may not have
/// heard of them, or know that they are over.
pub fn resend_unknown_limits(state: &Arc<ProxyState>) {
    let uptime = state.uptime();
    let now = Instant::now();
    let unreported: Vec<(String, AdvertisedLimit)> = {
        let replicas = lock(&state.replicas);
        let fleet = lock(&state.fleet);
        let named = replicas.availability.limits();
        named
            .filter(|(life, limit)| {
                limit.advertised_at + DIGEST_LAG < uptime
                    && fleet.limit(ReplicaKey::of(life), now).is_none()
            })
            .map(|(life, limit)| (life.to_owned(), limit))
            .collect()
    };
    for (life, limit) in unreported {
        permits::resend_limit(state, life, limit);
    }
}
