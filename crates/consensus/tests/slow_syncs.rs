//! Groups whose syncs take about as long as an election timeout, in virtual time.
//!
//! A replica that syncs neither handles nor sends messages, like the thread of the control replica.

mod support;

use std::collections::{BTreeMap, VecDeque};

use railtack_consensus::{
    DiskId, LogIndex, Membership, Message, Millis, Raft, RaftOptions, Recovered, ReplicaId, Role,
    Snapshot,
};
use support::member;

const REPLICAS: u32 = 3;
const ELECTION_TIMEOUT: Millis = 500;
const HEARTBEAT_INTERVAL: Millis = 100;
const NETWORK_DELAY: Millis = 1;
/// Time for which a client of the group retries a change.
const CHANGE_TIMEOUT: Millis = 10_000;
const CHANGES: usize = 12;
const SEEDS: u64 = 40;

/// One replica, its incoming messages, and what it syncs.
struct Node {
    raft: Raft,
    inbox: VecDeque<(Millis, Message)>,
    sync: Option<Sync>,
}

/// Messages that are sent, and the log that is persisted, when a sync ends.
struct Sync {
    ends_at: Millis,
    duration: Millis,
    messages: Vec<Message>,
    last_index: LogIndex,
}

struct Group {
    nodes: BTreeMap<ReplicaId, Node>,
    sync_times: BTreeMap<ReplicaId, Millis>,
    now: Millis,
    elections: u64,
}

fn start(number: u32, seed: u64) -> Raft {
    let members = (1..=REPLICAS).map(|number| member(number, true)).collect();
    let snapshot = Snapshot {
        membership: Membership { members },
        ..Snapshot::default()
    };
    let options = RaftOptions {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        append_limit: 64,
        append_bytes: 1 << 20,
        seed: seed * 100 + u64::from(number),
        check_disk_identity: true,
    };
    let recovered = Recovered {
        snapshot,
        ..Recovered::default()
    };
    Raft::new(options, recovered, 0)
}

impl Group {
    fn new(seed: u64, sync_times: [Millis; REPLICAS as usize]) -> Self {
        let nodes = (1..=REPLICAS).map(|number| {
            let node = Node {
                raft: start(number, seed),
                inbox: VecDeque::new(),
                sync: None,
            };
            (ReplicaId(number), node)
        });
        let sync_times = sync_times.into_iter().enumerate();
        Self {
            nodes: nodes.collect(),
            sync_times: sync_times
                .map(|(position, time)| (ReplicaId(position as u32 + 1), time))
                .collect(),
            now: 0,
            elections: 0,
        }
    }

    /// Runs for one millisecond.
    fn step(&mut self) {
        self.now += 1;
        let mut sent = Vec::new();
        for (replica, node) in &mut self.nodes {
            sent.extend(node.step(self.now, self.sync_times[replica]));
        }
        for message in sent {
            let receiver = self.nodes.get_mut(&message.to).expect("a replica");
            receiver
                .inbox
                .push_back((self.now + NETWORK_DELAY, message));
        }
        let highest_term = self.nodes.values().map(|node| node.raft.term()).max();
        self.elections = highest_term.unwrap_or_default();
    }

    /// Proposes a change, again after each loss of the leader, until it is committed. Returns the time taken.
    fn change(&mut self) -> Option<Millis> {
        let started_at = self.now;
        let mut proposed: Option<(ReplicaId, u64, LogIndex)> = None;
        while self.now < started_at + CHANGE_TIMEOUT {
            self.step();
            if let Some((leader, term, index)) = proposed {
                let raft = &self.nodes[&leader].raft;
                let still_leads = raft.role() == Role::Leader && raft.term() == term;
                if still_leads && raft.commit_index() >= index {
                    return Some(self.now - started_at);
                }
                if !still_leads {
                    proposed = None;
                }
                continue;
            }
            let idle_leader = self
                .nodes
                .iter_mut()
                .find(|(_, node)| node.sync.is_none() && node.raft.role() == Role::Leader);
            if let Some((replica, node)) = idle_leader {
                let index = node.raft.propose(vec![1]).expect("a leader");
                proposed = Some((*replica, node.raft.term(), index));
            }
        }
        None
    }
}

impl Node {
    fn step(&mut self, now: Millis, sync_time: Millis) -> Vec<Message> {
        let mut sent = Vec::new();
        if let Some(sync) = self.sync.take_if(|sync| sync.ends_at <= now) {
            self.raft.record_sync(sync.duration);
            self.raft.mark_persisted(sync.last_index);
            sent.extend(sync.messages);
        }
        if self.sync.is_some() {
            return sent;
        }
        while self.inbox.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, message)) = self.inbox.pop_front() {
                self.raft.receive(message, now);
            }
        }
        self.raft.tick(now);
        let ready = self.raft.take_ready();
        self.raft.take_committed();
        if !ready.must_sync() {
            sent.extend(ready.messages);
            return sent;
        }
        self.sync = Some(Sync {
            ends_at: now + sync_time,
            duration: sync_time,
            messages: ready.messages,
            last_index: self.raft.log().last_index(),
        });
        sent
    }
}

/// Makes all changes, one after the other. Returns the number of elections in the last half of them.
fn late_elections(seed: u64, sync_times: [Millis; REPLICAS as usize]) -> u64 {
    let mut group = Group::new(seed, sync_times);
    let mut elections_before = 0;
    for change in 0..CHANGES {
        if change == CHANGES / 2 {
            elections_before = group.elections;
        }
        let committed = group.change();
        assert!(
            committed.is_some(),
            "seed {seed}, syncs of {sync_times:?} ms: change {change} is not committed"
        );
    }
    group.elections - elections_before
}

/// Guards against a group that stays without a leader because votes and appends take longer than the election
/// timeout.
#[test]
fn changes_are_committed_although_syncs_take_as_long_as_an_election_timeout() {
    for sync_time in [5, 100, 250, 400, 500, 700, 1_000] {
        for seed in 0..SEEDS {
            let elections = late_elections(seed, [sync_time; REPLICAS as usize]);
            assert_eq!(elections, 0, "seed {seed}, syncs of {sync_time} ms");
        }
    }
}

/// Guards against a leader that takes replicas whose syncs are slow for lost.
#[test]
fn changes_are_committed_although_one_replica_or_two_sync_slowly() {
    for sync_times in [[5, 5, 400], [400, 5, 5], [5, 400, 400], [400, 400, 5]] {
        for seed in 0..SEEDS {
            late_elections(seed, sync_times);
        }
    }
}
