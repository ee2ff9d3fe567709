//! Load of all routers at the replicas, from the digest of the control group.
//!
//! The digest is about a second old. It replaces estimates based on this router's own requests: how
//! busy a replica is and whether it responds. Without a recent digest the router uses its own
//! requests again.

use std::{collections::HashMap, time::Duration};

use railtack_rpc::serving::{FleetDigest, ReplicaCondition};
use railtack_serving::{RelativeSpeed, ReplicaKey, RequestLimit};
use tokio::time::Instant;

use crate::{
    decay::remaining_share, load::estimate::ReplicaLoad, replicas::OwnLoad, scoring::SharedLoad,
};

/// Maximum age of a usable digest; load changes within seconds.
const DIGEST_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Number of routers from which the shared load is used. In a smaller fleet each router sees a good
/// part of the traffic, and its own figures are more recent.
pub const MIN_ROUTERS_FOR_SHARED_LOAD: u32 = 20;

/// Time for which a limit or a sensitive service is used after digests no longer contain it. A new leader knows a limit
/// only once a router reports it; until then, routers that know it from digests alone would exceed
/// it. If the limit was removed, the replies to their permit requests say so.
const LIMIT_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Half-life of the peak of open requests. Replica groups sized by the peak grow at once and shrink
/// slowly, since every change moves homes.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);

/// State derived from the received digests.
#[derive(Debug, Default)]
pub struct FleetView {
    digest_at: Option<Instant>,
    conditions: HashMap<ReplicaKey, ReplicaCondition>,
    /// Rate-limited replicas, with the time at which a digest last contained each.
    limited: HashMap<ReplicaKey, (DigestLimit, Instant)>,
    /// Services whose replicas withstand few rejections, with the time at which a digest last contained each.
    sensitive: HashMap<String, Instant>,
    /// Replicas whose speed is not the usual one. Speeds change slowly and are kept without a current digest.
    speeds: HashMap<ReplicaKey, RelativeSpeed>,
    unresponsive: usize,
    /// Peak of open requests at all replicas, and the time at which it was updated.
    peak: Option<(f64, Instant)>,
}

/// A rate limit contained in the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestLimit {
    /// The limit.
    pub limit: RequestLimit,
    /// Time at which the replica last advertised it to any router, as reported to the leader.
    pub advertised_at: Instant,
}

impl FleetView {
    /// Applies a digest; returns the number of unresponsive replicas if it changed.
    pub fn apply(&mut self, digest: FleetDigest, now: Instant) -> Option<usize> {
        let before = self.unresponsive;
        self.digest_at = now.checked_sub(Duration::from_millis(u64::from(digest.age_ms)));
        self.conditions = digest
            .replicas
            .into_iter()
            .map(|condition| (condition.replica, condition))
            .collect();
        let speeds = digest.speeds.iter();
        self.speeds = speeds.map(|entry| (entry.replica, entry.speed)).collect();
        let digest_at = self.digest_at.unwrap_or(now);
        let limited = digest.limited.into_iter().map(|entry| {
            let age = Duration::from_millis(u64::from(entry.advertised_age_ms));
            let advertised_at = digest_at.checked_sub(age).unwrap_or(digest_at);
            let limit = entry.limit;
            (
                entry.replica,
                (
                    DigestLimit {
                        limit,
                        advertised_at,
                    },
                    now,
                ),
            )
        });
        self.limited
            .retain(|_, (_, received_at)| now < *received_at + LIMIT_MAX_AGE);
        self.limited.extend(limited);
        self.sensitive
            .retain(|_, received_at| now < *received_at + LIMIT_MAX_AGE);
        let sensitive = digest.sensitive.into_iter();
        self.sensitive
            .extend(sensitive.map(|entry| (entry.service, now)));
        let open = self
            .conditions
            .values()
            .map(|entry| u64::from(entry.open_requests));
        let open = open.sum::<u64>() as f64;
        self.peak = Some((open.max(self.decayed_peak(now)), now));
        let unresponsive = self
            .conditions
            .values()
            .filter(|entry| entry.is_unresponsive);
        self.unresponsive = unresponsive.count();
        (self.unresponsive != before).then_some(self.unresponsive)
    }

    /// Whether the digest is recent enough to be used.
    pub fn is_current(&self, now: Instant) -> bool {
        self.digest_at
            .is_some_and(|digest_at| now.saturating_duration_since(digest_at) < DIGEST_MAX_AGE)
    }

    /// Returns the decayed peak of open requests at the replicas of all services.
    pub fn peak_open_requests(&self, now: Instant) -> u64 {
        self.decayed_peak(now).round() as u64
    }

    fn decayed_peak(&self, now: Instant) -> f64 {
        let decayed = self.peak.map(|(open, at)| {
            let age = now.saturating_duration_since(at);
            open * remaining_share(age, PEAK_HALF_LIFE)
        });
        decayed.unwrap_or_default()
    }

    /// Returns the state of a replica; `None` if it is not in use.
    pub fn condition(&self, replica: ReplicaKey) -> Option<&ReplicaCondition> {
        self.conditions.get(&replica)
    }

    /// Returns the load of all routers at a replica; a replica missing from the digest is idle.
    pub fn shared_load(&self, replica: ReplicaKey) -> SharedLoad {
        let condition = self.condition(replica);
        condition.map_or_else(SharedLoad::default, |condition| SharedLoad {
            open_requests: u32::from(condition.open_requests),
            pending_prefill_tokens: u64::from(condition.pending_prefill_tokens),
        })
    }

    /// Returns the load of a replica, without the tokens that it holds. This router's own requests are the
    /// newer part of it, and all of it if the digest is outdated or `now` is `None`.
    pub fn load(&self, replica: ReplicaKey, own: OwnLoad, now: Option<Instant>) -> ReplicaLoad {
        let is_current = now.is_some_and(|now| self.is_current(now));
        let shared = Some(self.shared_load(replica)).filter(|_| is_current);
        let shared = shared.unwrap_or_default();
        ReplicaLoad {
            queued_tokens: shared
                .pending_prefill_tokens
                .max(own.pending_prefill_tokens),
            open_requests: shared.open_requests.max(own.open_requests),
            held_tokens: 0,
            speed: self.speed(replica),
        }
    }

    /// Returns the speed of a replica according to the last digest.
    pub fn speed(&self, replica: ReplicaKey) -> RelativeSpeed {
        self.speeds.get(&replica).copied().unwrap_or_default()
    }

    /// Whether any replica has another speed than the usual one.
    pub fn any_unusual_speed(&self) -> bool {
        !self.speeds.is_empty()
    }

    /// Returns the limit of a replica, if a recent digest contained one.
    pub fn limit(&self, replica: ReplicaKey, now: Instant) -> Option<DigestLimit> {
        let (entry, received_at) = self.limited.get(&replica).copied()?;
        (now < received_at + LIMIT_MAX_AGE).then_some(entry)
    }

    /// Whether a recent digest named a service as sensitive to rejections.
    pub fn is_sensitive(&self, service: &str, now: Instant) -> bool {
        let received_at = self.sensitive.get(service);
        received_at.is_some_and(|received_at| now < *received_at + LIMIT_MAX_AGE)
    }

    /// Whether a recent digest named any service as sensitive to rejections.
    pub fn any_sensitive(&self, now: Instant) -> bool {
        let mut received = self.sensitive.values();
        received.any(|received_at| now < *received_at + LIMIT_MAX_AGE)
    }

    /// Whether any replica is unresponsive.
    pub fn any_unresponsive(&self) -> bool {
        self.unresponsive > 0
    }

    /// Whether any router received data from the replica after `since`, according to the digest.
    pub fn responded_since(&self, replica: ReplicaKey, since: Instant) -> bool {
        let last_response_at = self.last_response_at(replica);
        last_response_at.is_some_and(|last_response_at| last_response_at > since)
    }

    /// Returns when any router last received data from the replica, according to the digest.
    pub fn last_response_at(&self, replica: ReplicaKey) -> Option<Instant> {
        let silent_ms = self.condition(replica)?.silent_ms;
        self.digest_at?
            .checked_sub(Duration::from_millis(u64::from(silent_ms)))
    }
}
