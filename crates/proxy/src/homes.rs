//! Placement of prompts on replicas in large fleets. Pure.
//!
//! Prompts nest: thousands of requests share a long first segment, some of them share a second one,
//! and the rest is unique. If homes were chosen by the longest shared prefix among all replicas,
//! each home would have to prefill the first segment. In a fleet that is much larger than its load
//! needs, the first segment therefore selects a group of replicas, and the longest prefix selects a
//! home within the group. A home fetches the first segment from a group member that is in use. All
//! routers compute the same group without coordination, and a replica that joins or leaves only
//! moves the homes placed on it.
//!
//! Small fleets, up to [`MIN_GROUP_SIZE`], place prompts by the longest prefix alone because they
//! need the cache of every replica. Isolated tenants also use all replicas: tenants differ in size,
//! and the prefixes of a large one would not fit a small group.

use std::{cmp::Reverse, sync::Arc};

use railtack_serving::{RelativeSpeed, ReplicaRecord};

use crate::affinity::{rendezvous, weighted_cost};

/// Fleet size above which a service is divided into groups, and the smallest size of a group.
pub const MIN_GROUP_SIZE: usize = 256;
/// Members of a group per replica kept busy. The headroom absorbs bursts until the group grows, and
/// separates unique segments from shared ones.
const GROUP_HEADROOM_FACTOR: usize = 4;
/// Factor between two group sizes. A large factor makes routers with slightly different load
/// figures agree on the size; homes move whenever it changes. With sizes a factor of two apart, routers disagreed,
/// and second segments had two homes each.
const GROUP_GROWTH_FACTOR: usize = 4;
/// Members that are searched for one that caches the first segment.
const MAX_HOLDERS: usize = 16;
/// Hash seed of positions on the ring; arbitrary, but the same in every router.
const RING_SEED: u64 = 0;

/// Returns the number of replicas that the open requests of a service keep busy.
pub fn busy_replicas(open_requests: u64, slots: u32) -> usize {
    let busy = open_requests.div_ceil(u64::from(slots.max(1)));
    usize::try_from(busy).unwrap_or(usize::MAX)
}

/// Returns the size of the group for a first segment. It is sized for the load of the entire
/// service, since one router does not know how much of that begins with a given segment.
pub fn group_size(busy_replicas: usize) -> usize {
    let needed = busy_replicas.saturating_mul(GROUP_HEADROOM_FACTOR);
    let mut size = MIN_GROUP_SIZE;
    while size < needed {
        size = size.saturating_mul(GROUP_GROWTH_FACTOR);
    }
    size
}

/// Returns the weight of a replica of the given speed among the homes.
///
/// A slow replica is home to as many prompts as it can read in its time. A fast one has no more KV cache than the
/// others: it gets the root of its ratio, so that even the fastest is home to no more than twice the usual
/// number. Prompts that need no cache can use the rest of its speed.
pub fn home_weight(speed: RelativeSpeed) -> f64 {
    let ratio = speed.ratio();
    ratio.min(ratio.sqrt())
}

/// Replicas for prompts that share a first segment.
#[derive(Clone, Debug, Default)]
pub struct Homes<'a> {
    /// Replicas in order of preference: the home of the longest shared prefix, then its
    /// substitutes.
    pub ranked: Vec<&'a Arc<ReplicaRecord>>,
    /// Group members that may cache the first segment; empty if `ranked` covers the whole service.
    pub prefix_holders: Vec<&'a Arc<ReplicaRecord>>,
}

impl<'a> Homes<'a> {
    /// Ranks all candidates by rendezvous hashing on `home`; keeps their order without a key.
    pub fn of_all(home: Option<u64>, mut all: Vec<&'a Arc<ReplicaRecord>>) -> Self {
        if let Some(home) = home {
            all.sort_by_cached_key(|record| Reverse(rendezvous(home, &record.id)));
        }
        Self {
            ranked: all,
            prefix_holders: Vec::new(),
        }
    }

    /// Ranks the replicas again, so that the share of keys for which a replica is the home is proportional to its
    /// weight. With equal weights the ranking by rendezvous hashing stays as it is.
    #[must_use]
    pub fn weighted(mut self, home: u64, weight: impl Fn(&ReplicaRecord) -> f64) -> Self {
        let costs = self.ranked.iter().copied().map(|record| {
            let cost = weighted_cost(home, &record.id, weight(record));
            (cost, record)
        });
        let mut costs: Vec<_> = costs.collect();
        // The sort is stable: equal costs keep their order.
        costs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        self.ranked = costs.into_iter().map(|(_, record)| record).collect();
        self
    }

    /// Returns a group member in use from which `home` can fetch the first segment. A home that is
    /// in use itself already caches the segment.
    pub fn prefix_source(
        &self,
        home: &ReplicaRecord,
        is_in_use: impl Fn(&ReplicaRecord) -> bool,
        mut is_source: impl FnMut(&ReplicaRecord) -> bool,
    ) -> Option<&'a Arc<ReplicaRecord>> {
        if is_in_use(home) {
            return None;
        }
        let mut holders = self.prefix_holders.iter().copied();
        holders.find(|record| is_in_use(record) && is_source(record))
    }
}

/// Ready replicas of a service, ordered by the hash of their ids. Built once per view, so that the
/// cost of finding a group depends on the size of the group and not of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    position: u64,
    record: Arc<ReplicaRecord>,
}

impl Ring {
    /// Builds a ring of the given replicas.
    pub fn new(records: impl IntoIterator<Item = Arc<ReplicaRecord>>) -> Self {
        let members = records.into_iter().map(|record| Member {
            position: rendezvous(RING_SEED, &record.id),
            record,
        });
        let mut members: Vec<Member> = members.collect();
        members.sort_by(|one, other| {
            let position = one.position.cmp(&other.position);
            position.then_with(|| one.record.id.cmp(&other.record.id))
        });
        Self { members }
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the ring has no replicas.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Iterates over all replicas once, starting at the position of `key`.
    pub fn iter_from(&self, key: u64) -> impl Iterator<Item = &Arc<ReplicaRecord>> + Clone {
        let start = self.members.partition_point(|member| member.position < key);
        let (before, after) = self.members.split_at(start);
        after.iter().chain(before).map(|member| &member.record)
    }
}

/// Returns the homes for a prompt in a group of `size` replicas that starts at the first candidate.
/// `is_usable` excludes replicas by criteria that all routers share; if it excludes all, it is
/// ignored.
pub fn group_homes<'a>(
    home: u64,
    candidates: impl Iterator<Item = &'a Arc<ReplicaRecord>> + Clone,
    size: usize,
    is_usable: impl Fn(&ReplicaRecord) -> bool,
) -> Homes<'a> {
    let mut group = take_usable(candidates, size, is_usable);
    let prefix_holders = group.iter().copied().take(MAX_HOLDERS).collect();
    group.sort_by_cached_key(|record| Reverse(rendezvous(home, &record.id)));
    Homes {
        ranked: group,
        prefix_holders,
    }
}

/// Returns the first usable candidates, at most `limit`. Ignores `is_usable` if it excludes all.
pub fn take_usable<'a>(
    candidates: impl Iterator<Item = &'a Arc<ReplicaRecord>> + Clone,
    limit: usize,
    is_usable: impl Fn(&ReplicaRecord) -> bool,
) -> Vec<&'a Arc<ReplicaRecord>> {
    let usable = candidates.clone().filter(|record| is_usable(record));
    let found: Vec<_> = usable.take(limit).collect();
    if found.is_empty() {
        return candidates.take(limit).collect();
    }
    found
}
