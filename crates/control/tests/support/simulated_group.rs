//! Control replicas of one group in virtual time, each on a simulated disk whose syncs take time.
//!
//! A replica that syncs neither handles nor sends messages, like the thread of the control replica.

use std::collections::{BTreeMap, VecDeque};

use railtack_consensus::{DiskId, Member, Message, Millis, ReplicaId};
use railtack_control::{
    configuration::RevisionCheck,
    member_changes::MemberChanges,
    replica::{LogPosition, Replica, ReplicaOptions},
};
use railtack_rpc::{
    FeatureLevel,
    protocol::{Command, Proposal},
    serving::JoinRequest,
};
use railtack_serving::FaultTolerance;
use railtack_storage::MemoryMedia;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NETWORK_DELAY_MS: Millis = 1;
/// Most syncs of a round of a replica; a new segment and a snapshot take several.
const MAX_SYNCS_OF_A_ROUND: u64 = 6;
/// Most bytes that a disk keeps of what was not synced.
const MAX_TORN_BYTES: usize = 400;
/// Longest time between two rounds of a replica.
const TICK_MS: Millis = 25;
/// Interval in which a replica checks whether it has to ask for its group.
const JOIN_INTERVAL_MS: Millis = 400;
/// Time without a leader after which a member asks for its group.
const MAX_LEADERLESS_MS: Millis = 2_000;

/// Position of a machine in the group.
pub type Position = usize;

enum Input {
    Message(Message),
    Join(JoinRequest),
}

/// Messages that are sent when a sync ends.
struct Sync {
    ends_at: Millis,
    duration: Millis,
    messages: Vec<Message>,
}

/// A control replica in one life of its process.
struct Process {
    replica: Replica,
    changes: MemberChanges,
    inbox: VecDeque<(Millis, Input)>,
    sync: Option<Sync>,
    next_round: Millis,
    next_join_check: Millis,
    leader_seen_at: Millis,
}

struct Machine {
    disk: MemoryMedia,
    process: Option<Process>,
}

/// The machines, and the network between them.
pub struct Group {
    pub now: Millis,
    pub random: ChaCha8Rng,
    machines: Vec<Machine>,
    tolerance: FaultTolerance,
    /// Mean time of a sync, milliseconds; each takes half to one and a half of it.
    sync_ms: Millis,
    /// Log entries after which a snapshot replaces the log.
    snapshot_entries: u64,
    next_id: u32,
}

/// Log entries after which a snapshot replaces the log, unless a test chooses another number.
const SNAPSHOT_ENTRIES: u64 = 1_000;

fn options(id: u32, seed: u64, snapshot_entries: u64) -> ReplicaOptions {
    ReplicaOptions {
        cluster: "test".to_owned(),
        replica: ReplicaId(id),
        accept_stored_id: true,
        new_disk: DiskId(u64::from(id)),
        election_timeout: 400,
        heartbeat_interval: 100,
        snapshot_entries,
        snapshot_bytes: 1 << 20,
        claim_retention_ms: 60_000,
        seed,
        check_disk_identity: true,
        revision_check: RevisionCheck::Enforced,
    }
}

fn address(position: Position) -> String {
    format!("10.0.0.{}:1", position + 1)
}

impl Group {
    /// Starts a group of `voters` machines.
    pub fn start(seed: u64, voters: usize, tolerance: FaultTolerance, sync_ms: Millis) -> Self {
        Self::start_with_snapshots(seed, voters, tolerance, sync_ms, SNAPSHOT_ENTRIES)
    }

    /// Starts a group whose replicas write a snapshot after this number of entries.
    pub fn start_with_snapshots(
        seed: u64,
        voters: usize,
        tolerance: FaultTolerance,
        sync_ms: Millis,
        snapshot_entries: u64,
    ) -> Self {
        let mut group = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            machines: Vec::new(),
            tolerance,
            sync_ms,
            snapshot_entries,
            next_id: voters as u32 + 1,
        };
        let members: Vec<Member> = (0..voters)
            .map(|position| Member {
                replica: ReplicaId(position as u32 + 1),
                disk: DiskId(position as u64 + 1),
                address: address(position),
                voter: true,
            })
            .collect();
        for position in 0..voters {
            let disk = MemoryMedia::default();
            let options = options(position as u32 + 1, 0, snapshot_entries);
            Replica::initialize_with_members(&disk, &options, members.clone())
                .expect("initialized");
            group.machines.push(Machine {
                disk,
                process: None,
            });
            group.start_machine(position);
        }
        group
    }

    /// Adds a machine with an empty disk and starts it.
    pub fn add_machine(&mut self) -> Position {
        self.machines.push(Machine {
            disk: MemoryMedia::default(),
            process: None,
        });
        let position = self.machines.len() - 1;
        self.start_machine(position);
        position
    }

    /// Starts the process of a machine.
    pub fn start_machine(&mut self, position: Position) {
        let id = self.next_id;
        self.next_id += 1;
        let seed = self.random.random();
        let disk = self.machines[position].disk.clone();
        let replica = Replica::open(&disk, options(id, seed, self.snapshot_entries), self.now)
            .expect("opened");
        self.machines[position].process = Some(Process {
            replica,
            changes: MemberChanges::default(),
            inbox: VecDeque::new(),
            sync: None,
            next_round: self.now,
            next_join_check: self.now + JOIN_INTERVAL_MS,
            leader_seen_at: self.now,
        });
    }

    /// Kills the process of a machine; its disk keeps what was written.
    pub fn kill(&mut self, position: Position) {
        self.machines[position].process = None;
    }

    /// Cuts the power of a machine in the middle of what its process does next: its disk keeps what was synced by then, and
    /// up to some bytes of what was written after that.
    pub fn cut_power(&mut self, position: Position) {
        let syncs = self.random.random_range(0..=MAX_SYNCS_OF_A_ROUND);
        let torn_bytes = self.random.random_range(0..=MAX_TORN_BYTES);
        let machine = &mut self.machines[position];
        machine.disk.lose_power_after_syncs(syncs);
        // While a sync takes its time, the process does nothing else. Nobody receives what the last round would send.
        if let Some(mut process) = machine.process.take_if(|process| process.sync.is_none()) {
            let _ = process.step(self.now + TICK_MS, 1, self.tolerance);
        }
        machine.process = None;
        machine.disk.crash(torn_bytes);
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn lose_data(&mut self, position: Position) {
        self.machines[position].disk = MemoryMedia::default();
    }

    /// Machines whose processes run.
    pub fn running(&self) -> Vec<Position> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter_map(|(position, machine)| machine.process.as_ref().map(|_| position))
            .collect()
    }

    /// The leader of the highest term that has applied an entry of its term.
    pub fn leader(&self) -> Option<Position> {
        self.running()
            .into_iter()
            .filter(|position| self.replica(*position).is_ready_leader())
            .max_by_key(|position| self.replica(*position).raft().term())
    }

    /// The replica of a machine that runs.
    pub fn replica(&self, position: Position) -> &Replica {
        let process = self.machines[position].process.as_ref();
        &process.expect("a process").replica
    }

    /// Whether a machine votes with its present data in a group that has a leader.
    pub fn is_voter(&self, position: Position) -> bool {
        let replica = self.replica(position);
        let identity = replica.identity();
        let member = replica.raft().membership().member(identity.replica);
        let votes = member.is_some_and(|member| member.voter && member.disk == identity.disk);
        votes && replica.raft().leader().is_some()
    }

    /// Appends a command at the leader. Returns its position if there is a leader that is not syncing.
    pub fn propose(&mut self) -> Option<(Position, LogPosition)> {
        let leader = self.leader()?;
        let process = self.machines[leader].process.as_mut()?;
        if process.sync.is_some() {
            return None;
        }
        let proposal = Proposal {
            at: self.now,
            command: Command::Barrier,
        };
        let position = process.replica.propose(&proposal).ok()?;
        process.next_round = self.now;
        Some((leader, position))
    }

    /// Whether a running machine still has an entry, in its log or its snapshot.
    pub fn has_entry(&self, position: Position, entry: LogPosition) -> bool {
        let log = self.replica(position).raft().log();
        entry.index <= log.snapshot().last_index || log.term_at(entry.index) == Some(entry.term)
    }

    /// Whether a machine has applied an entry.
    pub fn has_applied(&self, position: Position, entry: LogPosition) -> bool {
        let is_applied = self.replica(position).raft().applied_index() >= entry.index;
        is_applied && self.has_entry(position, entry)
    }

    /// Runs until a time.
    pub fn run_until(&mut self, time: Millis) {
        while self.now < time {
            self.step();
        }
    }

    /// Runs for one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        let mut sent = Vec::new();
        let mut joins = Vec::new();
        for position in self.running() {
            let sync_ms = self.draw_sync();
            let process = self.machines[position].process.as_mut();
            let process = process.expect("a process");
            sent.extend(process.step(self.now, sync_ms, self.tolerance));
            joins.extend(process.take_join_request(self.now, position));
        }
        self.deliver(sent);
        for join in joins {
            for position in self.running() {
                self.enqueue(position, Input::Join(join.clone()));
            }
        }
    }

    fn draw_sync(&mut self) -> Millis {
        let shortest = self.sync_ms / 2;
        shortest + self.random.random_range(0..=self.sync_ms)
    }

    fn deliver(&mut self, messages: Vec<Message>) {
        let by_replica: BTreeMap<ReplicaId, Position> = self
            .running()
            .into_iter()
            .map(|position| (self.replica(position).identity().replica, position))
            .collect();
        for message in messages {
            if let Some(position) = by_replica.get(&message.to) {
                self.enqueue(*position, Input::Message(message));
            }
        }
    }

    fn enqueue(&mut self, position: Position, input: Input) {
        let due = self.now + NETWORK_DELAY_MS;
        if let Some(process) = self.machines[position].process.as_mut() {
            process.inbox.push_back((due, input));
        }
    }
}

impl Process {
    fn step(&mut self, now: Millis, sync_ms: Millis, tolerance: FaultTolerance) -> Vec<Message> {
        let mut sent = Vec::new();
        if let Some(sync) = self.sync.take_if(|sync| sync.ends_at <= now) {
            self.replica.record_sync(sync.duration);
            sent.extend(sync.messages);
            self.reconcile_members(now, tolerance);
        }
        if self.sync.is_some() {
            return sent;
        }
        let mut has_input = false;
        while self.inbox.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, input)) = self.inbox.pop_front() {
                self.handle(input, now);
                has_input = true;
            }
        }
        if has_input || now >= self.next_round {
            self.next_round = now + TICK_MS;
            sent.extend(self.run_round(now, sync_ms, tolerance));
        }
        sent
    }

    fn handle(&mut self, input: Input, now: Millis) {
        match input {
            Input::Message(message) => self.replica.receive(message, now),
            Input::Join(request) if self.replica.is_ready_leader() => {
                let membership = self.replica.raft().membership();
                self.changes.record_join(request, membership, now);
            }
            Input::Join(_) => {}
        }
    }

    fn run_round(
        &mut self,
        now: Millis,
        sync_ms: Millis,
        tolerance: FaultTolerance,
    ) -> Vec<Message> {
        self.replica.tick(now);
        let mut advance = self.replica.advance().expect("persisted");
        if !advance.applied.is_empty() {
            self.replica.tick(now);
            let follow_up = self.replica.advance().expect("persisted");
            advance.messages.extend(follow_up.messages);
            advance.synced |= follow_up.synced;
        }
        if advance.synced {
            self.sync = Some(Sync {
                ends_at: now + sync_ms.max(1),
                duration: sync_ms.max(1),
                messages: advance.messages,
            });
            return Vec::new();
        }
        self.reconcile_members(now, tolerance);
        advance.messages
    }

    fn reconcile_members(&mut self, now: Millis, tolerance: FaultTolerance) {
        self.changes.remove_expired(now);
        if !self.replica.is_ready_leader() {
            return;
        }
        let next = self.changes.next(self.replica.raft(), tolerance, now);
        if let Some(next) = next
            && self.replica.propose_membership(next).is_ok()
        {
            self.changes
                .forget_fulfilled(self.replica.raft().membership());
        }
    }

    /// Returns the request of a replica that looks for its group.
    fn take_join_request(&mut self, now: Millis, position: Position) -> Option<JoinRequest> {
        if now < self.next_join_check {
            return None;
        }
        self.next_join_check = now + JOIN_INTERVAL_MS;
        if self.replica.raft().leader().is_some() {
            self.leader_seen_at = now;
        }
        let is_joined = self.replica.is_member() && now < self.leader_seen_at + MAX_LEADERLESS_MS;
        let identity = self.replica.identity();
        (!is_joined).then(|| JoinRequest {
            replica: identity.replica,
            disk: identity.disk,
            address: address(position),
            level: FeatureLevel::SUPPORTED,
        })
    }
}
