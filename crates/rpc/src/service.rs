//! RPC service of the control replicas.

use railtack_consensus::{Message, ReplicaId};
use railtack_serving::{SoftwareVersion, StreamKey, StreamOrigin};
use speedy::{Readable, Writable};

use crate::level::PeerInfo;
use crate::permits::{PermitReply, PermitRequest};
use crate::protocol::{
    Configuration, MembershipChange, MembershipReply, PollReply, PollRequest, Proposal,
    ProposeReply, ReplicaIdentity, StatusReply,
};
use crate::serving::{
    JoinReply, JoinRequest, LivenessReply, LivenessReport, QuotaReply, QuotaRequest,
    ReadIndexReply, SuspectStatus, WatchReply, WatchRequest,
};
use crate::slots::{SlotReply, SlotRequest};
use crate::streams::{OnlyVersionRequest, StreamRecord};

/// Calls between routers, operators and control replicas.
#[tarpc::service(derive = [Clone, Readable, Writable])]
pub trait Control {
    /// Delivers a message of the replicated log. A replica that is not a member yet sends its replies to
    /// the address in `sender`.
    async fn deliver(message: Message, sender: PeerInfo);
    /// Returns the configuration changes that a router lacks and the data to confirm that it is current.
    async fn poll(request: PollRequest) -> PollReply;
    /// Commits a command.
    async fn propose(proposal: Proposal) -> ProposeReply;
    /// Returns the configuration that this replica has applied.
    async fn configuration() -> Configuration;
    /// Returns the identity of this replica.
    async fn identify() -> ReplicaIdentity;
    /// Returns the state of this replica.
    async fn status() -> StatusReply;
    /// Changes the set of control replicas.
    async fn change_membership(change: MembershipChange) -> MembershipReply;
    /// Sends changes to a router. The reply is delayed until there is a change or the wait time has passed.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// Adds the sender to the group.
    async fn join(request: JoinRequest) -> JoinReply;
    /// Returns the log position that a reader must have applied to include all committed entries.
    async fn read_index() -> ReadIndexReply;
    /// Reports heartbeats and observations of back-end replicas to the leader.
    async fn alive(notice: LivenessReport) -> LivenessReply;
    /// Writes a snapshot and returns the log position that it covers.
    async fn snapshot() -> u64;
    /// Informs the leader that a member is shutting down.
    async fn leave(replica: ReplicaId) -> JoinReply;
    /// Returns the requests under which back ends crashed recently, as applied by this replica.
    async fn suspects() -> Vec<SuspectStatus>;
    /// Requests a grant from a quota for one request.
    async fn take_quota(request: QuotaRequest) -> QuotaReply;
    /// Removes a back-end replica that has been silent for long enough, so that another replica can be
    /// registered at its address. Returns whether it was removed.
    async fn remove_if_silent(replica: String) -> bool;
    /// Reports the limit of a back end to the leader and requests a permit for one request.
    async fn take_permit(request: PermitRequest) -> PermitReply;
    /// Remembers where streams began. Only sent from [`FeatureLevel::SOFTWARE_VERSIONS`] on.
    ///
    /// [`FeatureLevel::SOFTWARE_VERSIONS`]: crate::FeatureLevel::SOFTWARE_VERSIONS
    async fn record_streams(records: Vec<StreamRecord>) -> bool;
    /// Returns where a stream began, if this replica remembers it. Sent under the same condition.
    async fn find_stream(key: StreamKey) -> Option<StreamOrigin>;
    /// Returns the version of software that all replicas of a service ran, up to the time of the call. Returns `None`
    /// if there were several or if this replica cannot tell. Sent under the same condition.
    async fn only_version(request: OnlyVersionRequest) -> Option<SoftwareVersion>;
    /// Renews and requests slots of sensitive replicas at the leader. Only sent from [`FeatureLevel::SLOT_LEASES`] on.
    ///
    /// [`FeatureLevel::SLOT_LEASES`]: crate::FeatureLevel::SLOT_LEASES
    async fn lease_slots(request: SlotRequest) -> SlotReply;
}
