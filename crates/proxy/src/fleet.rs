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
const DIGEST_KEPT: Duration = Duration::from_millis(3_000);

/// Routers from which on a replica's load is taken from what all of them meet. A router that sees a
/// good part of the traffic knows more from its own requests, which are newer: its own view was worth
/// more with 7 or 8 routers, the shared one with 79 and 291 (`docs/EXPERIMENTS.md`,
/// `docs/design/shifted-work.md`); between is not measured.
pub const FEWEST_ROUTERS_FOR_SHARED_LOAD: u32 = 20;

/// Time for which a limit is gone by that digests do not name any more. A new leader knows of it only once a router
/// asks, or tells what it heard itself, and those that have it from digests alone would send what they have until
/// then; once it is over, their questions are answered so.
const LIMIT_KEPT: Duration = Duration::from_millis(3_000);

/// Time in which the most requests that were open lately count half as much: groups of replicas that are
/// sized by them grow at once and shrink slowly, since each change moves homes.
const BUSIEST_HALF_LIFE: Duration = Duration::from_secs(60);

/// The digest received last.
#[derive(Debug, Default)]
pub struct FleetKnowledge {
    made_at: Option<Instant>,
    conditions: HashMap<ReplicaKey, ReplicaCondition>,
    /// Replicas that name a limit, each with the time at which a digest named it last.
    limited: HashMap<ReplicaKey, (ToldLimit, Instant)>,
    dark: usize,
    /// Most requests that were open at all replicas lately, and when that was told.
    busiest: Option<(f64, Instant)>,
}

/// A limit that the digest names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLimit {
    /// The limit.
    pub limit: RequestLimit,
    /// When the replica named it last to any router, as far as the leader heard.
    pub named_at: Instant,
}

impl FleetKnowledge {
    /// Takes in a digest; tells how many replicas are dark, if that changed.
    pub fn take(&mut self, digest: FleetDigest, now: Instant) -> Option<usize> {
        let dark_before = self.dark;
        self.made_at = now.checked_sub(Duration::from_millis(u64::from(digest.age_ms)));
        self.conditions = digest
            .replicas
            .into_iter()
            .map(|condition| (condition.replica, condition))
            .collect();
        let made_at = self.made_at.unwrap_or(now);
        let limited = digest.limited.into_iter().map(|told| {
            let age = Duration::from_millis(u64::from(told.advertised_age_ms));
            let named_at = made_at.checked_sub(age).unwrap_or(made_at);
            let limit = told.limit;
            (told.replica, (ToldLimit { limit, named_at }, now))
        });
        self.limited
            .retain(|_, (_, told_at)| now < *told_at + LIMIT_KEPT);
        self.limited.extend(limited);
        let open = self
            .conditions
            .values()
            .map(|told| u64::from(told.open_requests));
        let open = open.sum::<u64>() as f64;
        self.busiest = Some((open.max(self.busiest_faded(now)), now));
        let dark = self.conditions.values().filter(|told| told.is_unresponsive);
        self.dark = dark.count();
        (self.dark != dark_before).then_some(self.dark)
    }

    /// Whether the digest is new enough to go by.
    pub fn is_current(&self, now: Instant) -> bool {
        self.made_at
            .is_some_and(|made_at| now.saturating_duration_since(made_at) < DIGEST_KEPT)
    }

    /// Most requests that were open lately at all replicas of all services.
    pub fn busiest_open_requests(&self, now: Instant) -> u64 {
        self.busiest_faded(now).round() as u64
    }

    fn busiest_faded(&self, now: Instant) -> f64 {
        let faded = self.busiest.map(|(open, at)| {
            let age = now.saturating_duration_since(at);
            open * 0.5_f64.powf(age.as_secs_f64() / BUSIEST_HALF_LIFE.as_secs_f64())
        });
        faded.unwrap_or_default()
    }

    /// What is known of a replica; one that nobody uses has nothing open.
    pub fn condition(&self, replica: ReplicaKey) -> Option<&ReplicaCondition> {
        self.conditions.get(&replica)
    }

    /// The limit of a replica, as far as digests told lately.
    pub fn limit(&self, replica: ReplicaKey, now: Instant) -> Option<ToldLimit> {
        let (told, told_at) = self.limited.get(&replica).copied()?;
        (now < told_at + LIMIT_KEPT).then_some(told)
    }

    /// Whether any replica is dark.
    pub fn any_dark(&self) -> bool {
        self.dark > 0
    }

    /// Whether some router heard from a replica after `since`, as far as the digest tells.
    pub fn heard_since(&self, replica: ReplicaKey, since: Instant) -> bool {
        let heard_at = self.made_at.and_then(|made_at| {
            let heard_ms = self.condition(replica)?.silent_ms;
            made_at.checked_sub(Duration::from_millis(u64::from(heard_ms)))
        });
        heard_at.is_some_and(|heard_at| heard_at > since)
    }
}
