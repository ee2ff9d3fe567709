//! Metrics of a control replica.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Label of requests for a tenant's quota.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PriorityLabel {
    /// Priority, 0 to 9; 10 if the router states none.
    pub priority: u8,
}

/// Labels of the replicas of one speed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct SpeedLabels {
    /// Steps above the usual speed, -4 to 4.
    pub steps: i64,
}

/// Metrics shared by the replica's thread and its services.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    /// Commands committed and applied.
    pub applied: Counter,
    /// Rounds of the replica's thread.
    pub rounds: Counter,
    /// Polls received from routers.
    pub polls: Counter,
    /// Quota requests received from routers.
    pub quota_requests: Counter,
    /// Quota requests that were rejected.
    pub quota_rejected: Counter,
    /// Requests of tenants that were granted quota, by priority.
    pub quota_granted_by_priority: Family<PriorityLabel, Counter>,
    /// Requests of tenants that were refused quota, by priority.
    pub quota_rejected_by_priority: Family<PriorityLabel, Counter>,
    /// Refused callers for which capacity was set aside.
    pub quota_promises: Counter,
    /// Of these, callers that returned in time and were granted it.
    pub quota_promises_kept: Counter,
    /// Of these, callers that returned in time and were refused.
    pub quota_promises_broken: Counter,
    /// Of these, callers that did not return in time.
    pub quota_promises_lapsed: Counter,
    /// Permit requests for back ends with a limit.
    pub permit_requests: Counter,
    /// Permit requests that were denied.
    pub permits_denied: Counter,
    /// Slots of sensitive replicas that were asked for.
    pub slots_requested: Counter,
    /// Slots of sensitive replicas that were denied.
    pub slots_denied: Counter,
    /// Records of where streams began that routers sent.
    pub streams_recorded: Counter,
    /// Streams of which this replica remembers where they began.
    pub streams_remembered: Gauge,
    /// Questions of routers about a stream that this replica remembered.
    pub streams_found: Counter,
    /// Questions of routers about a stream that this replica did not remember.
    pub streams_not_found: Counter,
    /// Quarantined requests, which are sent to no replica because replicas crashed under them.
    pub quarantined: Gauge,
    /// Suspect requests, under which replicas crashed recently.
    pub suspects: Gauge,
    /// Registrations of back-end replicas that this replica proposed and the group applied.
    pub registrations: Counter,
    /// Heartbeats rejected because too many registrations were pending.
    pub registrations_rejected: Counter,
    /// Heartbeats for a service that the configuration does not name.
    pub registrations_unknown_service: Counter,
    /// Messages to other replicas dropped because the peer was slow, unreachable or unknown.
    pub dropped_messages: Counter,
    /// Messages and join requests rejected because the sender's build does not support the group's feature
    /// level.
    pub rejected_below_level: Counter,
    /// Feature level of the group.
    pub group_level: Gauge,
    /// 1 while this replica is the leader, otherwise 0.
    pub is_leader: Gauge,
    /// Current term.
    pub term: Gauge<u64, AtomicU64>,
    /// Elections that this replica started.
    pub elections: Counter,
    /// Leaderships that this replica lost.
    pub lost_leaderships: Counter,
    /// Proposals whose outcome is unknown because this replica lost its leadership.
    pub abandoned_proposals: Counter,
    /// Commit index.
    pub commit: Gauge<u64, AtomicU64>,
    /// Revision of the configuration.
    pub revision: Gauge<u64, AtomicU64>,
    /// Number of claims.
    pub claims: Gauge<u64, AtomicU64>,
    /// Number of voters in this replica's latest membership.
    pub voters: Gauge<u64, AtomicU64>,
    /// Voters that the group lacks for the failures that it has to tolerate; 0 unless this replica leads.
    pub missing_voters: Gauge<u64, AtomicU64>,
    /// 1 while this replica is a member of a group with a leader, otherwise 0.
    pub in_group: Gauge,
    /// Heartbeats of back-end replicas that arrived while this replica was no member of a group.
    pub heartbeats_outside_group: Counter,
    /// Implausible paces of back-end replicas that were dropped.
    pub dropped_paces: Counter,
    /// On the leader: back-end replicas by speed, in steps of a factor of 1.4 from the usual one; without those of
    /// the usual speed.
    pub replica_speeds: Family<SpeedLabels, Gauge>,
    /// Time for writing and syncing the log, seconds.
    pub sync_seconds: Histogram,
}

impl Default for ControlMetrics {
    fn default() -> Self {
        Self {
            applied: Counter::default(),
            rounds: Counter::default(),
            polls: Counter::default(),
            quota_requests: Counter::default(),
            quota_rejected: Counter::default(),
            quota_granted_by_priority: Family::default(),
            quota_rejected_by_priority: Family::default(),
            quota_promises: Counter::default(),
            quota_promises_kept: Counter::default(),
            quota_promises_broken: Counter::default(),
            quota_promises_lapsed: Counter::default(),
            permit_requests: Counter::default(),
            permits_denied: Counter::default(),
            slots_requested: Counter::default(),
            slots_denied: Counter::default(),
            streams_recorded: Counter::default(),
            streams_remembered: Gauge::default(),
            streams_found: Counter::default(),
            streams_not_found: Counter::default(),
            quarantined: Gauge::default(),
            suspects: Gauge::default(),
            registrations: Counter::default(),
            registrations_rejected: Counter::default(),
            registrations_unknown_service: Counter::default(),
            dropped_messages: Counter::default(),
            rejected_below_level: Counter::default(),
            group_level: Gauge::default(),
            is_leader: Gauge::default(),
            term: Gauge::default(),
            elections: Counter::default(),
            lost_leaderships: Counter::default(),
            abandoned_proposals: Counter::default(),
            commit: Gauge::default(),
            revision: Gauge::default(),
            claims: Gauge::default(),
            voters: Gauge::default(),
            missing_voters: Gauge::default(),
            in_group: Gauge::default(),
            heartbeats_outside_group: Counter::default(),
            dropped_paces: Counter::default(),
            replica_speeds: Family::default(),
            sync_seconds: Histogram::new(exponential_buckets(0.000_5, 2.0, 14)),
        }
    }
}

impl ControlMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("control_applied", "Commands applied", self.applied.clone());
        registry.register("control_rounds", "Rounds of work", self.rounds.clone());
        registry.register("control_polls", "Polls by routers", self.polls.clone());
        registry.register(
            "control_registrations",
            "Records of back-end replicas taken from here",
            self.registrations.clone(),
        );
        registry.register(
            "control_registrations_refused",
            "Heartbeats refused because too many replicas waited to be recorded",
            self.registrations_rejected.clone(),
        );
        registry.register(
            "control_registrations_unnamed",
            "Heartbeats for a service that the configuration does not name",
            self.registrations_unknown_service.clone(),
        );
        registry.register(
            "control_quota_asked",
            "Parts of tenants' quotas asked for",
            self.quota_requests.clone(),
        );
        registry.register(
            "control_quota_refused",
            "Parts of tenants' quotas refused",
            self.quota_rejected.clone(),
        );
        registry.register(
            "control_quota_granted_by_priority",
            "Requests of tenants that were granted quota",
            self.quota_granted_by_priority.clone(),
        );
        registry.register(
            "control_quota_refused_by_priority",
            "Requests of tenants that were refused quota",
            self.quota_rejected_by_priority.clone(),
        );
        registry.register(
            "control_quota_promises",
            "Refused callers for which capacity was set aside",
            self.quota_promises.clone(),
        );
        registry.register(
            "control_quota_promises_kept",
            "Promised callers that returned in time and were granted quota",
            self.quota_promises_kept.clone(),
        );
        registry.register(
            "control_quota_promises_broken",
            "Promised callers that returned in time and were refused",
            self.quota_promises_broken.clone(),
        );
        registry.register(
            "control_quota_promises_lapsed",
            "Promised callers that did not return in time",
            self.quota_promises_lapsed.clone(),
        );
        registry.register(
            "control_permits_asked",
            "Permits for back ends with a limit asked for",
            self.permit_requests.clone(),
        );
        registry.register(
            "control_permits_withheld",
            "Permits for back ends with a limit withheld",
            self.permits_denied.clone(),
        );
        registry.register(
            "control_slots_asked",
            "Slots of replicas that withstand few rejections asked for",
            self.slots_requested.clone(),
        );
        registry.register(
            "control_slots_denied",
            "Slots of replicas that withstand few rejections denied",
            self.slots_denied.clone(),
        );
        registry.register(
            "control_streams_recorded",
            "Records of where streams began",
            self.streams_recorded.clone(),
        );
        registry.register(
            "control_streams_remembered",
            "Streams of which it is remembered where they began",
            self.streams_remembered.clone(),
        );
        registry.register(
            "control_streams_found",
            "Questions about streams that were remembered",
            self.streams_found.clone(),
        );
        registry.register(
            "control_streams_not_found",
            "Questions about streams that were not remembered",
            self.streams_not_found.clone(),
        );
        registry.register(
            "control_quarantined",
            "Requests sent to no replica because replicas ended under them",
            self.quarantined.clone(),
        );
        registry.register(
            "control_quarantine_suspects",
            "Requests under which replicas have ended lately",
            self.suspects.clone(),
        );
        registry.register(
            "control_dropped_messages",
            "Messages to replicas dropped",
            self.dropped_messages.clone(),
        );
        registry.register(
            "control_refused_below_level",
            "Messages of replicas whose build cannot do what the group does",
            self.rejected_below_level.clone(),
        );
        registry.register(
            "control_group_level",
            "What the members of the group do together",
            self.group_level.clone(),
        );
        registry.register(
            "control_is_leader",
            "1 while leading",
            self.is_leader.clone(),
        );
        registry.register("control_term", "Current term", self.term.clone());
        registry.register(
            "control_elections",
            "Elections started",
            self.elections.clone(),
        );
        registry.register(
            "control_lost_leaderships",
            "Leaderships lost",
            self.lost_leaderships.clone(),
        );
        registry.register(
            "control_abandoned_proposals",
            "Proposals of unknown outcome after a lost leadership",
            self.abandoned_proposals.clone(),
        );
        registry.register("control_commit", "Commit position", self.commit.clone());
        registry.register(
            "control_revision",
            "Configuration revision",
            self.revision.clone(),
        );
        registry.register("control_claims", "Claims kept", self.claims.clone());
        registry.register("control_voters", "Voters of the group", self.voters.clone());
        registry.register(
            "control_missing_voters",
            "Voters that the group lacks, as its leader sees it",
            self.missing_voters.clone(),
        );
        registry.register(
            "control_in_group",
            "Whether this control replica is a member of a group with a leader",
            self.in_group.clone(),
        );
        registry.register(
            "control_heartbeats_outside_group",
            "Heartbeats that arrived while this control replica was no member of a group",
            self.heartbeats_outside_group.clone(),
        );
        registry.register(
            "control_dropped_paces",
            "Implausible paces of back-end replicas dropped",
            self.dropped_paces.clone(),
        );
        registry.register(
            "control_replica_speeds",
            "Back-end replicas by steps of speed above the usual one",
            self.replica_speeds.clone(),
        );
        registry.register(
            "control_sync_seconds",
            "Time for writing and syncing the log",
            self.sync_seconds.clone(),
        );
    }
}
