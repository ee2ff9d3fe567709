//! A control replica: combines the replicated log, the state and the durable store.

use error_stack::{Report, ResultExt};
use railtack_consensus::{
    DiskId, Entry, LogIndex, Member, Membership, Message, Millis, Payload, ProposeError, Raft,
    RaftOptions, Recovered, ReplicaId, Role, Snapshot, Term,
};
use railtack_rpc::layout::read_proposal;
use railtack_rpc::protocol::{
    ConfigurationUpdate, MembershipChange, Outcome, PollReply, PollRequest, Proposal, VoterAddress,
};
use railtack_rpc::serving::QuarantineUpdate;
use speedy::Writable;

use crate::{
    configuration::RevisionCheck,
    errors::ControlError,
    state::ControlState,
    store::{DataFolder, Identity, ReplicaStore},
};

/// Maximum number of entries in one append message.
const APPEND_LIMIT: usize = 512;
/// Maximum size of the commands in one append message, bytes; about six registration batches of 40 kB. Without it, a
/// lagging member could be sent [`APPEND_LIMIT`] of them, 20 MB, at once.
const APPEND_BYTES: usize = 256 * 1024;

/// Identity, timing and limits of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of this replica; the id stored in the data folder replaces it if `accept_stored_id` is set.
    pub replica: ReplicaId,
    /// Whether an id stored in the data folder takes precedence over `replica`. Otherwise a different
    /// stored id is an error.
    pub accept_stored_id: bool,
    /// Id assigned to the data folder if it is new.
    pub new_disk: DiskId,
    /// Shortest election timeout, milliseconds; the longest is twice that.
    pub election_timeout: Millis,
    /// Time between heartbeats, milliseconds.
    pub heartbeat_interval: Millis,
    /// Number of log entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Size of the log after which a snapshot is written, bytes. The size of the last snapshot applies
    /// if it is larger.
    pub snapshot_bytes: usize,
    /// Time for which claims are kept, milliseconds.
    pub claim_retention_ms: u64,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Whether messages from or to another data folder are dropped. Set to false only in simulations
    /// that check that the fault is found.
    pub check_disk_identity: bool,
    /// Whether expected revisions are enforced. Skipped only in simulations that check that the fault is
    /// found.
    pub revision_check: RevisionCheck,
}

/// Position of a proposal in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Index in the log.
    pub index: LogIndex,
    /// Term in which the proposal was appended.
    pub term: Term,
}

/// A command that is committed and applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Position of the command.
    pub position: LogPosition,
    /// The encoded proposal, as stored in the log.
    pub encoded: Vec<u8>,
    /// Outcome of the command.
    pub outcome: Outcome,
}

/// Output of [`Replica::advance`].
#[derive(Debug, Default)]
pub struct Advance {
    /// Messages to send; everything that they depend on is synced.
    pub messages: Vec<Message>,
    /// Commands that were applied, in order.
    pub applied: Vec<Applied>,
    /// Whether the store was synced.
    pub synced: bool,
}

/// A replica of the control state.
pub struct Replica {
    options: ReplicaOptions,
    identity: Identity,
    raft: Raft,
    state: ControlState,
    store: ReplicaStore,
}

impl Replica {
    /// Opens a replica from its data folder. With a new folder the replica has no members and waits
    /// until a leader adds it.
    pub fn open(
        folder: &dyn DataFolder,
        options: ReplicaOptions,
        now: Millis,
    ) -> Result<Self, Report<ControlError>> {
        let opened = ReplicaStore::open(folder)?;
        let mut store = opened.store;
        let identity = match opened.identity {
            Some(identity) => check_identity(identity, &options)?,
            None => {
                let identity = new_identity(&options);
                store.save_identity(identity.clone())?;
                identity
            }
        };
        Self::start(options, identity, store, opened.recovered, now)
    }

    /// Initializes an empty data folder as the only voter of a new cluster.
    pub fn initialize(
        folder: &dyn DataFolder,
        options: &ReplicaOptions,
        address: &str,
    ) -> Result<(), Report<ControlError>> {
        let member = Member {
            replica: options.replica,
            disk: options.new_disk,
            address: address.to_owned(),
            voter: true,
        };
        Self::initialize_with_members(folder, options, vec![member])
    }

    /// Initializes an empty data folder as one of the initial members of a new cluster. All of them
    /// must be initialized with the same members.
    pub fn initialize_with_members(
        folder: &dyn DataFolder,
        options: &ReplicaOptions,
        members: Vec<Member>,
    ) -> Result<(), Report<ControlError>> {
        let opened = ReplicaStore::open(folder)?;
        if opened.identity.is_some() {
            return Err(Report::new(ControlError::AlreadyInitialized));
        }
        let mut store = opened.store;
        store.save_identity(new_identity(options))?;
        let snapshot = Snapshot {
            last_index: 1,
            last_term: 0,
            membership: Membership { members },
            state: encode_state(&ControlState::new(options.claim_retention_ms))?,
        };
        store.compact(&snapshot, &[])
    }

    fn start(
        options: ReplicaOptions,
        identity: Identity,
        store: ReplicaStore,
        recovered: Recovered,
        now: Millis,
    ) -> Result<Self, Report<ControlError>> {
        let state = decode_state(&recovered.snapshot, options.claim_retention_ms)?;
        let raft_options = RaftOptions {
            replica: identity.replica,
            disk: identity.disk,
            election_timeout: options.election_timeout,
            heartbeat_interval: options.heartbeat_interval,
            append_limit: APPEND_LIMIT,
            append_bytes: APPEND_BYTES,
            seed: options.seed,
            check_disk_identity: options.check_disk_identity,
        };
        let raft = Raft::new(raft_options, recovered, now);
        Ok(Self {
            options,
            identity,
            raft,
            state,
            store,
        })
    }

    /// The replicated log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The replicated state, as applied by this replica.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Whether this replica is the leader and has applied an entry of its own term, and with it
    /// everything that earlier leaders committed. Decisions based on the state require this.
    pub fn is_ready_leader(&self) -> bool {
        let applied_term = self.raft.log().term_at(self.applied_index());
        self.raft.role() == Role::Leader && applied_term == Some(self.raft.term())
    }

    /// Whether this replica is a member of a group with its present data folder.
    pub fn is_member(&self) -> bool {
        self.local_member().is_some()
    }

    /// Identity of this replica.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Advances the clock to `now` and fires the timers that are due.
    pub fn tick(&mut self, now: Millis) {
        self.raft.tick(now);
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, message: Message, now: Millis) {
        self.raft.receive(message, now);
    }

    /// Appends a command if this replica is the leader.
    pub fn propose(&mut self, proposal: &Proposal) -> Result<LogPosition, ProposeError> {
        // Encoding into a growing buffer cannot fail.
        let bytes = proposal.write_to_vec().unwrap_or_default();
        let index = self.raft.propose(bytes)?;
        Ok(LogPosition {
            index,
            term: self.raft.term(),
        })
    }

    /// Appends a membership change if this replica is the leader.
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Result<LogIndex, MembershipError> {
        // The members that this replica knows may be former ones unless it leads.
        if self.raft.role() != Role::Leader {
            let leader = self.raft.leader();
            return Err(MembershipError::Rejected(ProposeError::NotLeader {
                leader,
            }));
        }
        let next = apply_membership_change(self.raft.membership(), change)
            .ok_or(MembershipError::InvalidChange)?;
        self.raft
            .propose_membership(next)
            .map_err(MembershipError::Rejected)
    }

    /// Appends a membership if this replica is the leader and no other change is uncommitted.
    pub fn propose_membership(&mut self, next: Membership) -> Result<LogIndex, ProposeError> {
        self.raft.propose_membership(next)
    }

    /// Records how long an [`Replica::advance`] that synced took. See [`Raft::record_sync`].
    pub fn record_sync(&mut self, duration: Millis) {
        self.raft.record_sync(duration);
    }

    /// Schedules a heartbeat ahead of the interval. See [`Raft::request_heartbeat`].
    pub fn request_heartbeat(&mut self, now: Millis) {
        self.raft.request_heartbeat(now);
    }

    /// Persists the output of the log, applies committed entries, and compacts the log if it is long.
    ///
    /// After an error durable state may be lost, and the replica must be discarded.
    pub fn advance(&mut self) -> Result<Advance, Report<ControlError>> {
        let mut advance = Advance::default();
        loop {
            let ready = self.raft.take_ready();
            let committed = self.raft.take_committed();
            if ready.is_empty() && committed.is_empty() {
                break;
            }
            if ready.must_sync() {
                self.store.persist(&ready)?;
                advance.synced = true;
            }
            if let Some(snapshot) = &ready.snapshot {
                self.state = decode_state(snapshot, self.options.claim_retention_ms)?;
            }
            self.raft.mark_persisted(self.raft.log().last_index());
            advance.messages.extend(ready.messages);
            for entry in committed {
                advance.applied.extend(self.apply(entry)?);
            }
        }
        let log = self.raft.log();
        let exceeds_entries = log.len() as u64 >= self.options.snapshot_entries;
        // Bounds write amplification: the log must be at least as large as the last snapshot.
        let byte_limit = self.options.snapshot_bytes.max(log.snapshot().state.len());
        if exceeds_entries || log.payload_bytes() >= byte_limit {
            self.compact()?;
        }
        Ok(advance)
    }

    /// Replaces the applied entries of the log by a snapshot.
    pub fn compact(&mut self) -> Result<(), Report<ControlError>> {
        let index = self.applied_index();
        // While nothing commits, the log stays long. Skips encoding a state that the last snapshot
        // contains already.
        if index <= self.raft.log().snapshot().last_index {
            return Ok(());
        }
        let state = encode_state(&self.state)?;
        let Some(snapshot) = self.raft.compact(index, state) else {
            return Ok(());
        };
        let tail = self.raft.log().entries_from(index + 1, usize::MAX);
        self.store.compact(&snapshot, &tail)
    }

    /// Replies to a router's poll from the log and the state of this replica.
    pub fn poll(&self, request: &PollRequest) -> PollReply {
        let membership = self.raft.membership();
        PollReply {
            replica: self.identity.replica,
            voter: self.is_voter(),
            last_configuration_index: self.last_configuration_index(),
            update: self.configuration_update(request),
            membership_index: self.raft.membership_index(),
            voters: membership.voters().map(voter_address).collect(),
            routers: 0,
            quarantine: self.quarantine_update(request.quarantine_known),
            group_level: self.state.serving().level(),
        }
    }

    fn quarantine_update(&self, known_index: LogIndex) -> Option<QuarantineUpdate> {
        let update = self.state.serving().quarantine().update();
        Some(update)
            .filter(|update| update.changed_at > known_index)
            .cloned()
    }

    fn configuration_update(&self, request: &PollRequest) -> Option<ConfigurationUpdate> {
        if !request.want_update {
            return None;
        }
        self.state.update_after(request.applied)
    }

    fn is_voter(&self) -> bool {
        self.local_member().is_some_and(|member| member.voter)
    }

    /// The member that this replica is with its present data folder.
    fn local_member(&self) -> Option<&Member> {
        let member = self.raft.membership().member(self.identity.replica);
        member.filter(|member| member.disk == self.identity.disk)
    }

    /// Index of the last configuration entry in the log. Includes unapplied entries, since any of them
    /// may commit.
    fn last_configuration_index(&self) -> LogIndex {
        let unapplied = self
            .raft
            .log()
            .entries_from(self.applied_index() + 1, usize::MAX);
        unapplied
            .iter()
            .rev()
            .find(|entry| is_configuration(entry))
            .map_or(self.state.configuration_index(), |entry| entry.index)
    }

    fn applied_index(&self) -> LogIndex {
        self.raft.applied_index()
    }

    fn apply(&mut self, entry: Entry) -> Result<Option<Applied>, Report<ControlError>> {
        let Payload::Command(bytes) = entry.payload else {
            return Ok(None);
        };
        let proposal = read_proposal(&bytes).change_context(ControlError::InvalidRecord)?;
        let outcome = self
            .state
            .apply(entry.index, proposal, self.options.revision_check);
        let position = LogPosition {
            index: entry.index,
            term: entry.term,
        };
        Ok(Some(Applied {
            position,
            encoded: bytes,
            outcome,
        }))
    }
}

/// Reason for which a membership change was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// The change names an unknown member, adds an existing one, or leaves no voter.
    InvalidChange,
    /// The log rejected the change.
    Rejected(ProposeError),
}

fn apply_membership_change(current: &Membership, change: &MembershipChange) -> Option<Membership> {
    let mut next = current.clone();
    match change {
        MembershipChange::AddLearner(member) => {
            if current.member(member.replica).is_some() {
                return None;
            }
            next.members.push(Member {
                voter: false,
                ..member.clone()
            });
        }
        MembershipChange::Promote(replica) => {
            next.members
                .iter_mut()
                .find(|member| member.replica == *replica)?
                .voter = true;
        }
        MembershipChange::Remove(replica) => {
            current.member(*replica)?;
            next.members.retain(|member| member.replica != *replica);
            next.voters().next()?;
        }
    }
    Some(next)
}

fn is_configuration(entry: &Entry) -> bool {
    match &entry.payload {
        Payload::Command(bytes) => {
            read_proposal(bytes).is_ok_and(|proposal| proposal.command.is_configuration())
        }
        _ => false,
    }
}

fn voter_address(member: &Member) -> VoterAddress {
    VoterAddress {
        replica: member.replica,
        address: member.address.clone(),
    }
}

fn new_identity(options: &ReplicaOptions) -> Identity {
    Identity {
        cluster: options.cluster.clone(),
        replica: options.replica,
        disk: options.new_disk,
    }
}

fn check_identity(
    identity: Identity,
    options: &ReplicaOptions,
) -> Result<Identity, Report<ControlError>> {
    let is_same_replica = options.accept_stored_id || identity.replica == options.replica;
    if is_same_replica && identity.cluster == options.cluster {
        return Ok(identity);
    }
    Err(Report::new(ControlError::DataFolderMismatch {
        replica: identity.replica.0,
        cluster: identity.cluster,
    }))
}

fn encode_state(state: &ControlState) -> Result<Vec<u8>, Report<ControlError>> {
    state
        .write_to_vec()
        .change_context(ControlError::InvalidRecord)
}

fn decode_state(
    snapshot: &Snapshot,
    claim_retention_ms: u64,
) -> Result<ControlState, Report<ControlError>> {
    if snapshot.state.is_empty() {
        return Ok(ControlState::uninitialized(claim_retention_ms));
    }
    ControlState::read_stored(&snapshot.state).change_context(ControlError::InvalidRecord)
}
