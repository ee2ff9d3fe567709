//! What all routers together meet at the replicas, as a control replica last told it.
//!
//! It is a second or so old. It replaces what this router could only guess from its own requests:
//! how busy a replica is, and whether it is gone. Without news for a while the router goes by its
//! own requests again.

use std::{collections::HashMap, time::Duration};

use railtack_rpc::serving::{FleetDigest, ReplicaCondition};
use railtack_serving::{ReplicaKey, RequestLimit};
use tokio::time::Instant;

/// Age from which a digest is not gone by: load changes within seconds.
const DIGEST_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Routers from which on a replica's load is taken from what all of them meet. A router that sees a
/// good part of the traffic knows more from its own requests, which are newer: its own view was worth
/// more with 7 or 8 routers, the shared one with 79 and 291 (`docs/EXPERIMENTS.md`,
/// `docs/design/shifted-work.md`); between is not measured.
pub const MIN_ROUTERS_FOR_SHARED_LOAD: u32 = 20;

/// Time for which a limit is gone by that digests do not name any more. A new leader knows of it only once a router
/// asks, or tells what it heard itself, and those that have it from digests alone would send what they have until
/// then; once it is over, their questions are answered so.
const LIMIT_MAX_AGE: Duration = Duration::from_millis(3_000);

/// Time in which the most requests that were open lately count half as much: groups of replicas that are
/// sized by them grow at once and shrink slowly, since each change moves homes.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);

/// The digest received last.
#[derive(Debug, Default)]
pub struct FleetView {
    digest_at: Option<Instant>,
    conditions: HashMap<ReplicaKey, ReplicaCondition>,
    /// Replicas that name a limit, each with the time at which a digest named it last.
    limited: HashMap<ReplicaKey, (DigestLimit, Instant)>,
    unresponsive: usize,
    /// Most requests that were open at all replicas lately, and when that was told.
    peak: Option<(f64, Instant)>,
}

/// A limit that the digest names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestLimit {
    /// The limit.
    pub limit: RequestLimit,
    /// When the replica named it last to any router, as far as the leader heard.
    pub advertised_at: Instant,
}

impl FleetView {
    /// Takes in a digest; tells how many replicas are dark, if that changed.
    pub fn apply(&mut self, digest: FleetDigest, now: Instant) -> Option<usize> {
        let before = self.unresponsive;
        self.digest_at = now.checked_sub(Duration::from_millis(u64::from(digest.age_ms)));
        self.conditions = digest
            .replicas
            .into_iter()
            .map(|condition| (condition.replica, condition))
            .collect();
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

    /// Whether the digest is new enough to go by.
    pub fn is_current(&self, now: Instant) -> bool {
        self.digest_at
            .is_some_and(|digest_at| now.saturating_duration_since(digest_at) < DIGEST_MAX_AGE)
    }

    /// Most requests that were open lately at all replicas of all services.
    pub fn peak_open_requests(&self, now: Instant) -> u64 {
        self.decayed_peak(now).round() as u64
    }

    fn decayed_peak(&self, now: Instant) -> f64 {
        let decayed = self.peak.map(|(open, at)| {
            let age = now.saturating_duration_since(at);
            open * 0.5_f64.powf(age.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64())
        });
        decayed.unwrap_or_default()
    }

    /// What is known of a replica; one that nobody uses has nothing open.
    pub fn condition(&self, replica: ReplicaKey) -> Option<&ReplicaCondition> {
        self.conditions.get(&replica)
    }

    /// The limit of a replica, as far as digests told lately.
    pub fn limit(&self, replica: ReplicaKey, now: Instant) -> Option<DigestLimit> {
        let (entry, received_at) = self.limited.get(&replica).copied()?;
        (now < received_at + LIMIT_MAX_AGE).then_some(entry)
    }

    /// Whether any replica is dark.
    pub fn any_unresponsive(&self) -> bool {
        self.unresponsive > 0
    }

    /// Whether some router heard from a replica after `since`, as far as the digest tells.
    pub fn responded_since(&self, replica: ReplicaKey, since: Instant) -> bool {
        let last_response_at = self.digest_at.and_then(|digest_at| {
            let heard_ms = self.condition(replica)?.silent_ms;
            digest_at.checked_sub(Duration::from_millis(u64::from(heard_ms)))
        });
        last_response_at.is_some_and(|last_response_at| last_response_at > since)
    }
}
