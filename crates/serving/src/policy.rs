//! Mechanisms of the data plane, each of which can be switched off to measure what it is worth.

use serde::Deserialize;

/// Which mechanisms are on, as the settings' `[policy]` table says; one that is left out is on.
/// Promises do not depend on any of them. An unknown one is refused, so that no measurement runs
/// with a mechanism on that it was to switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Prompts with the same beginning are sent to the replica that all routers favour for it.
    pub homes: bool,
    /// Where replicas are many, those that take prompts with the same first part are a group, in which its
    /// members fetch that part from each other.
    pub nested_homes: bool,
    /// A router remembers what it sent to which replica.
    pub sent_prefixes: bool,
    /// A replica is told where to fetch what it lacks.
    pub fetch: bool,
    /// Prompts are sent to the store.
    pub save: bool,
    /// Saves are bounded by what the store can keep.
    pub save_bound: bool,
    /// Open requests and unread prompts of this router count in the choice of a replica.
    pub own_load: bool,
    /// What all routers together meet at the replicas counts in the choice of one.
    pub shared_view: bool,
    /// Prompts that cannot be in time are refused at once while a service is overloaded.
    pub refuse_late: bool,
    /// Replicas of the router's zone are favoured.
    pub zone: bool,
    /// Replicas whose recent exchanges failed are avoided.
    pub failure_rate: bool,
    /// A replica that declined or cannot be reached rests for a while.
    pub pauses: bool,
    /// A request that failed is sent to another replica.
    pub retry: bool,
    /// A router without a retry of its own borrows one from the leader.
    pub lent_retries: bool,
    /// A stream that broke is continued at another replica.
    pub resume: bool,
    /// A stream at a replica that answers others is waited for longer.
    pub busy_patience: bool,
    /// Requests wait for the first lease of a router that has just started.
    pub first_lease_wait: bool,
    /// The time that a replica states for resting connections is trusted for every request.
    pub stated_rest: bool,
}

impl Policy {
    /// Everything on, as shipped.
    pub const ALL: Self = Self {
        homes: true,
        nested_homes: true,
        sent_prefixes: true,
        fetch: true,
        save: true,
        save_bound: true,
        own_load: true,
        shared_view: true,
        refuse_late: true,
        zone: true,
        failure_rate: true,
        pauses: true,
        retry: true,
        lent_retries: true,
        resume: true,
        busy_patience: true,
        first_lease_wait: true,
        stated_rest: true,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self::ALL
    }
}
