//! Optional mechanisms of the data plane, each of which can be disabled to measure its effect.

use serde::Deserialize;

/// Enabled mechanisms, from the `[policy]` table of the settings; omitted ones are enabled.
///
/// No guarantee depends on any of them, except that of [`Self::software_versions`]. Unknown keys are rejected, so that a misspelled key does not
/// leave a mechanism enabled by mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Routes prompts with a common prefix to its home replica, on which all routers agree.
    pub homes: bool,
    /// Forms groups of replicas for a common first segment when there are many replicas. The members fetch
    /// the cached segment from each other.
    pub nested_homes: bool,
    /// Tracks which prefixes this router has sent to which replica.
    pub sent_prefixes: bool,
    /// Tells a replica from where to fetch cached blocks that it lacks.
    pub fetch: bool,
    /// Saves prompts to the store.
    pub save: bool,
    /// Limits saves to the capacity of the store.
    pub save_bound: bool,
    /// Includes this router's open requests and pending prompts in the score of a replica.
    pub own_load: bool,
    /// Includes the load from all routers in the score of a replica.
    pub shared_view: bool,
    /// Refuses prompts at once that would miss their deadline while a service is overloaded.
    pub refuse_late: bool,
    /// Prefers replicas in the router's zone.
    pub zone: bool,
    /// Avoids replicas with recent failures.
    pub failure_rate: bool,
    /// Backs off from replicas that refused a request or are unreachable.
    pub pauses: bool,
    /// Retries failed requests at another replica.
    pub retry: bool,
    /// Requests a retry from the leader when the router's local retry budget is exhausted.
    pub lent_retries: bool,
    /// Resumes interrupted streams at another replica.
    pub resume: bool,
    /// Extends the wait for a stream while its replica responds to other requests.
    pub busy_patience: bool,
    /// Holds requests until a newly started router has its first lease.
    pub first_lease_wait: bool,
    /// Relies on the keep-alive time that a replica advertises for every request.
    pub stated_rest: bool,
    /// Grants a tenant's quota by urgency and cost instead of in the order of arrival.
    pub quota_urgency: bool,
    /// Sets capacity aside for a refused request until the time at which it was told to return.
    pub kept_returns: bool,
    /// Places prompts and estimates latencies by the measured speeds of replicas.
    pub replica_speeds: bool,
    /// Selects replicas by expected latency where replicas differ in speed or queue prompts.
    pub expected_time: bool,
    /// Serves requests late, at a lower priority, instead of refusing them.
    pub late_service: bool,
    /// Prefers replicas that hold the newest weights during a rollout.
    pub newest_weights: bool,
    /// Opens connections to replicas through other routers where this one cannot, and for others.
    pub relays: bool,
    /// Continues a stream only at replicas of the software version that began it.
    pub software_versions: bool,
}

impl Policy {
    /// All mechanisms enabled, the default.
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
        quota_urgency: true,
        kept_returns: true,
        replica_speeds: true,
        expected_time: true,
        late_service: true,
        newest_weights: true,
        relays: true,
        software_versions: true,
    };
}

impl Default for Policy {
    fn default() -> Self {
        Self::ALL
    }
}
