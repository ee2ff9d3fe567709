//! The control replicas' internal service.

use railtack_consensus::{Message, ReplicaId};
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

/// Calls between routers, operators and control replicas.
#[tarpc::service(derive = [Clone, Readable, Writable])]
pub trait Control {
    /// Delivers a message of the replicated log. A replica that is not a member yet learns from
    /// `sender` where its answers go.
    async fn deliver(message: Message, sender: PeerInfo);
    /// Tells whether a router's configuration is current and sends what it lacks.
    async fn poll(request: PollRequest) -> PollReply;
    /// Commits a change.
    async fn propose(proposal: Proposal) -> ProposeReply;
    /// The configuration as this replica has applied it.
    async fn configuration() -> Configuration;
    /// Who this replica is.
    async fn identify() -> ReplicaIdentity;
    /// State of this replica.
    async fn status() -> StatusReply;
    /// Changes the set of control replicas.
    async fn change_membership(change: MembershipChange) -> MembershipReply;
    /// Tells a router what changed, holding the answer until something does.
    async fn watch(request: WatchRequest) -> WatchReply;
    /// Makes the sender a member of the group.
    async fn join(request: JoinRequest) -> JoinReply;
    /// Tells how far a reader must have applied the log to know everything committed by now.
    async fn read_index() -> ReadIndexReply;
    /// Passes on signs of life of back-end replicas.
    async fn alive(notice: LivenessReport) -> LivenessReply;
    /// Writes a snapshot now; answers with the position it covers.
    async fn snapshot() -> u64;
    /// Tells the leader that a member's process is being stopped.
    async fn leave(replica: ReplicaId) -> JoinReply;
    /// The requests under which back ends have ended lately, as this replica has applied them.
    async fn suspects() -> Vec<SuspectStatus>;
    /// Takes a part of a tenant's quota for one request.
    async fn take_quota(request: QuotaRequest) -> QuotaReply;
    /// Asks the leader to remove a back-end replica, so that another one is taken in at its address;
    /// true if it was silent for long enough, and is removed.
    async fn remove_if_silent(replica: String) -> bool;
    /// Tells the leader what a back end's answer said of its limit, and takes a permit for one request.
    async fn take_permit(request: PermitRequest) -> PermitReply;
}
