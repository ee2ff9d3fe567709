//! Which of very many replicas take the prompts that share a first part. Pure.
//!
//! Prompts nest: a long first part that thousands share, then one that some of them share, then the
//! request's own. Homes drawn for the deepest shared part from all of ten thousand replicas would have the
//! first part read at each home. So where a service has far more replicas than its work needs, the first
//! part draws a group of them, and the deepest part its home within the group: what a home lacks of the
//! first part is fetched from a member of the group that is in use. All routers find the same group
//! without asking, and a replica that comes or goes moves only the homes at it.
//!
//! *Weighed:* one working set for all prompts (first parts are then read by all of its members);
//! homes for the deepest part alone, as below [`SMALLEST_GROUP`], where replicas are few and the memory of
//! each of them is needed.

use std::sync::Arc;

use railtack_serving::ReplicaRecord;

use crate::affinity::{PrefixPath, favoured, rendezvous};

/// Replicas from which on a service is divided into groups, and the size of a group of all tenants while
/// little is asked for. Up to here each beginning may need the memory of any replica.
pub const SMALLEST_GROUP: usize = 256;
/// Replicas in a group for each one that is kept busy: its members stand idle for most of the time, so that
/// ten times the work in a few seconds finds free places before the group has grown, and unshared parts
/// stay out of the way of shared ones.
const REPLICAS_FOR_ONE_BUSY: usize = 8;
/// Smallest group of a tenant that shares nothing: a home, and one that stands in for it.
const SMALLEST_TENANT_GROUP: usize = 2;
/// Members that are looked at for one that keeps the first part.
const HOLDERS: usize = 16;

/// How many tenants share what a request may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// Tenants whose requests share parts with this one's.
    pub sharers: usize,
    /// All tenants.
    pub tenants: usize,
}

/// Replicas that are kept busy by all work of a service, rounded up to a power of two: routers whose
/// figures differ a little agree on it.
pub fn busy_replicas(open_requests: u64, slots: u32) -> usize {
    let busy = open_requests.div_ceil(u64::from(slots.max(1))).max(1);
    let rounded = busy.checked_next_power_of_two().unwrap_or(u64::MAX);
    usize::try_from(rounded).unwrap_or(usize::MAX)
}

/// Replicas in the group of a first part. It is sized as if all requests of those who share it began with
/// it, since how many do is not known to a router that sees one request in a second.
pub fn group_size(busy_replicas: usize, sharing: Sharing) -> usize {
    let needed = busy_replicas.saturating_mul(REPLICAS_FOR_ONE_BUSY);
    let of_all = needed.max(SMALLEST_GROUP);
    let tenants = sharing.tenants.max(1);
    let part = of_all
        .saturating_mul(sharing.sharers.min(tenants))
        .div_ceil(tenants);
    part.max(SMALLEST_TENANT_GROUP)
}

/// The replicas that take prompts with one first part.
#[derive(Clone, Debug, Default)]
pub struct Homes<'a> {
    /// The home of the deepest shared part first, then those that stand in for it, in that order.
    pub ranked: Vec<&'a Arc<ReplicaRecord>>,
    /// Where the first part is likely to be kept; none if all replicas of the service are in `ranked`.
    pub holders: Vec<&'a Arc<ReplicaRecord>>,
}

impl<'a> Homes<'a> {
    /// Where the home finds the first part if it lacks it: at a member that some router has just met, or
    /// else at the one that all routers ask first.
    pub fn first_part_source(
        &self,
        is_in_use: impl Fn(&ReplicaRecord) -> bool,
        mut is_source: impl FnMut(&ReplicaRecord) -> bool,
    ) -> Option<&'a Arc<ReplicaRecord>> {
        let holders = self.holders.iter().copied();
        let in_use = holders.clone().filter(|record| is_in_use(record));
        in_use.chain(holders).find(|record| is_source(record))
    }
}

/// The homes for a prompt among `ready`, in a group of `size`. `is_usable` leaves out replicas on which all
/// routers agree; if it leaves none, it is not gone by.
pub fn nested<'a>(
    path: &PrefixPath,
    ready: &[&'a Arc<ReplicaRecord>],
    size: usize,
    is_usable: impl Fn(&ReplicaRecord) -> bool,
) -> Option<Homes<'a>> {
    let first = path.first_key()?;
    let home = path.key()?;
    // A few more, for those that are left out.
    let mut group = favoured(first, ready.to_vec(), size.saturating_mul(2));
    leave_out(&mut group, is_usable);
    group.truncate(size);
    let holders = group.iter().copied().take(HOLDERS).collect();
    group.sort_by_cached_key(|record| std::cmp::Reverse(rendezvous(home, &record.id)));
    Some(Homes {
        ranked: group,
        holders,
    })
}

/// Leaves out replicas that are not usable, unless there are no others.
pub fn leave_out(
    ranked: &mut Vec<&Arc<ReplicaRecord>>,
    is_usable: impl Fn(&ReplicaRecord) -> bool,
) {
    if ranked.iter().any(|record| is_usable(record)) {
        ranked.retain(|record| is_usable(record));
    }
}
