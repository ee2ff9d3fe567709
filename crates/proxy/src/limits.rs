//! Access to advertised rate limits and to the leader, for [`permits`].

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

/// Time after which the digest should contain an advertised limit.
const DIGEST_LAG: Duration = Duration::from_secs(1);

impl PermitClient for ProxyState {
    fn uptime(&self) -> MonotonicTime {
        ProxyState::uptime(self)
    }

    fn known_limit(&self, incarnation_id: &str) -> Option<KnownLimit> {
        let local = lock(&self.replicas).availability.limit(incarnation_id);
        let local = local.map(|advertised| KnownLimit {
            limit: advertised.limit,
            age: self.uptime().saturating_sub(advertised.advertised_at),
            advertised_here: Some(advertised),
        });
        let now = Instant::now();
        let digest = lock(&self.fleet).limit(ReplicaKey::of(incarnation_id), now);
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

    fn record_denied(
        &self,
        incarnation_id: &str,
        limit: RequestLimit,
        available_at: MonotonicTime,
    ) {
        self.metrics.permits_withheld.inc();
        let mut replicas = lock(&self.replicas);
        replicas
            .availability
            .set_limited_until(incarnation_id, limit, available_at);
    }

    fn clear_limit(&self, incarnation_id: &str, advertised_at: MonotonicTime) {
        let mut replicas = lock(&self.replicas);
        replicas
            .availability
            .clear_limit(incarnation_id, advertised_at);
    }

    async fn call_leader(&self, request: PermitRequest, timeout: Duration) -> Option<PermitReply> {
        let response = self
            .control_peers
            .call("permit", |client| async move {
                client.take_permit(call_context(timeout), request).await
            })
            .await;
        let (reply, address) = response?;
        match &reply {
            PermitReply::NotLeader { leader } => {
                self.control_peers.follow_redirect(address, leader.clone())
            }
            _ => self.control_peers.set_leader(address),
        }
        Some(reply)
    }
}

/// Reports limits that the digest lacks to the leader again. The leader may not know them, or may
/// reply that they no longer exist.
pub fn resend_unknown_limits(state: &Arc<ProxyState>) {
    let uptime = state.uptime();
    let now = Instant::now();
    let unreported: Vec<(String, AdvertisedLimit)> = {
        let replicas = lock(&state.replicas);
        let fleet = lock(&state.fleet);
        let advertised = replicas.availability.limits();
        advertised
            .filter(|(incarnation_id, limit)| {
                limit.advertised_at + DIGEST_LAG < uptime
                    && fleet.limit(ReplicaKey::of(incarnation_id), now).is_none()
            })
            .map(|(incarnation_id, limit)| (incarnation_id.to_owned(), limit))
            .collect()
    };
    for (incarnation_id, limit) in unreported {
        permits::resend_limit(state, incarnation_id, limit);
    }
}
