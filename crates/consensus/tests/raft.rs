//! Elections, quorums, membership changes and disk identities of the replicated log.

mod support;

use std::collections::BTreeMap;

use railtack_consensus::{
    Body, DiskId, LogIndex, Membership, Message, Millis, ProposeError, Raft, RaftOptions,
    Recovered, ReplicaId, Role, Snapshot,
};
use support::member;

/// Larger than all commands of a test together, so that the limit on bytes has no effect.
const APPEND_BYTES: usize = 1024 * 1024;
const ELECTION_TIMEOUT: Millis = 300;

fn membership(voters: u32) -> Membership {
    Membership {
        members: (1..=voters).map(|number| member(number, true)).collect(),
    }
}

/// Replicas with instant message delivery, except to and from isolated ones.
struct Cluster {
    replicas: BTreeMap<ReplicaId, Raft>,
    isolated: Vec<ReplicaId>,
    now: Millis,
}

impl Cluster {
    fn new(voters: u32, others: u32) -> Self {
        let replicas = (1..=voters + others).map(|number| {
            let is_first = number <= voters;
            let raft = start(
                number,
                u64::from(number),
                is_first.then(|| membership(voters)),
            );
            (ReplicaId(number), raft)
        });
        Self {
            replicas: replicas.collect(),
            isolated: Vec::new(),
            now: 0,
        }
    }

    fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10;
            for raft in self.replicas.values_mut() {
                raft.tick(self.now);
            }
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        for _ in 0..50 {
            let mut messages = Vec::new();
            for raft in self.replicas.values_mut() {
                let ready = raft.take_ready();
                raft.mark_persisted(raft.log().last_index());
                raft.take_committed();
                messages.extend(ready.messages);
            }
            if messages.is_empty() {
                return;
            }
            for message in messages {
                let is_isolated =
                    self.isolated.contains(&message.from) || self.isolated.contains(&message.to);
                if let Some(receiver) = self.replicas.get_mut(&message.to)
                    && !is_isolated
                {
                    receiver.receive(message, self.now);
                }
            }
        }
    }

    fn leaders(&self) -> Vec<ReplicaId> {
        let leading = self
            .replicas
            .values()
            .filter(|raft| raft.role() == Role::Leader);
        leading.map(Raft::replica).collect()
    }

    fn leader(&mut self) -> &mut Raft {
        let leaders = self.leaders();
        assert_eq!(leaders.len(), 1, "one leader");
        self.replicas
            .get_mut(&leaders[0])
            .expect("the leader is in the cluster")
    }
}

fn start(number: u32, disk: u64, members: Option<Membership>) -> Raft {
    let options = RaftOptions {
        replica: ReplicaId(number),
        disk: DiskId(disk),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: 50,
        append_limit: 10,
        append_bytes: APPEND_BYTES,
        seed: u64::from(number),
        check_disk_identity: true,
    };
    let snapshot = Snapshot {
        last_index: u64::from(members.is_some()),
        membership: members.unwrap_or_default(),
        ..Snapshot::default()
    };
    let recovered = Recovered {
        snapshot,
        ..Recovered::default()
    };
    Raft::new(options, recovered, 0)
}

#[test]
fn a_rejoining_replica_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(2_000);
    let leader = cluster.leaders()[0];
    let term = cluster.leader().term();
    let follower = (1..=3).map(ReplicaId).find(|replica| *replica != leader);
    cluster.isolated = follower.into_iter().collect();
    cluster.run(5_000);
    cluster.isolated.clear();
    cluster.run(1_000);
    assert_eq!(cluster.leaders(), [leader]);
    assert_eq!(cluster.leader().term(), term, "pre-votes raise no term");
}

#[test]
fn a_leader_without_a_quorum_steps_down_and_commits_nothing() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(2_000);
    let old = cluster.leaders()[0];
    cluster.isolated = vec![old];
    let before = cluster.replicas[&old].commit_index();
    let proposed = cluster.leader().propose(b"lost".to_vec());
    assert!(proposed.is_ok());
    cluster.run(3_000);
    assert_ne!(cluster.replicas[&old].role(), Role::Leader);
    assert_eq!(cluster.replicas[&old].commit_index(), before);
    let new = cluster.leaders();
    assert_eq!(new.len(), 1);
    assert_ne!(new[0], old);
}

#[test]
fn a_learner_is_promoted_only_after_catching_up() {
    let mut cluster = Cluster::new(3, 1);
    cluster.run(2_000);
    cluster.isolated = vec![ReplicaId(4)];
    for _ in 0..100 {
        cluster
            .leader()
            .propose(vec![1])
            .expect("the leader accepts proposals");
    }
    cluster.run(500);
    let mut with_learner = membership(3);
    with_learner.members.push(member(4, false));
    cluster
        .leader()
        .propose_membership(with_learner)
        .expect("adding a learner is allowed");
    cluster.run(500);
    let rejected = cluster.leader().propose_membership(membership(4));
    assert!(matches!(rejected, Err(ProposeError::LearnerBehind { .. })));
    cluster.isolated.clear();
    cluster.run(500);
    cluster
        .leader()
        .propose_membership(membership(4))
        .expect("the learner has caught up");
    cluster.run(500);
    let promoted = cluster.replicas[&ReplicaId(4)].membership();
    assert_eq!(promoted.voters().count(), 4);
}

#[test]
fn voters_change_one_at_a_time() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(2_000);
    let rejected = cluster.leader().propose_membership(membership(1));
    assert_eq!(rejected, Err(ProposeError::TooManyChanges));
}

#[test]
fn a_replica_with_a_replaced_disk_cannot_vote() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(2_000);
    let leader = cluster.leaders()[0];
    let lost = (1..=3).map(ReplicaId).find(|replica| *replica != leader);
    let lost = lost.expect("there is a follower");
    // The replica restarts with an empty folder while the leader is isolated. Its vote would
    // complete a majority.
    cluster.replicas.insert(lost, start(lost.0, 99, None));
    cluster.isolated = vec![leader];
    cluster.run(10_000);
    let others = cluster.leaders();
    assert!(
        !others.iter().any(|replica| *replica != leader),
        "{others:?}"
    );
}

#[test]
fn only_the_leader_appends() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(2_000);
    let leader = cluster.leaders()[0];
    for (replica, raft) in &mut cluster.replicas {
        let proposed = raft.propose(Vec::new());
        assert_eq!(proposed.is_ok(), *replica == leader);
    }
}

#[test]
fn the_first_election_finishes_before_the_election_timeout() {
    let mut cluster = Cluster::new(5, 0);
    cluster.run(ELECTION_TIMEOUT - 100);
    assert_eq!(cluster.leaders().len(), 1);
}

/// A restarted replica repeats pre-votes without waiting for an election timeout.
#[test]
fn a_restarted_replica_without_leader_contact_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(5, 0);
    cluster.run(2_000);
    let leader = cluster.leader().replica();
    let term = cluster.leader().term();
    let restarted = cluster
        .replicas
        .keys()
        .copied()
        .find(|replica| *replica != leader)
        .expect("there is a follower");
    cluster.isolated.push(leader);
    let fresh = start(restarted.0, u64::from(restarted.0), Some(membership(5)));
    cluster.replicas.insert(restarted, fresh);
    cluster.run(100);
    cluster.isolated.clear();
    cluster.run(2_000);
    assert_eq!(cluster.leader().replica(), leader);
    assert_eq!(cluster.leader().term(), term);
}

/// Indexes of the entries in the messages to one member.
fn appended_indexes(messages: &[Message], member: ReplicaId) -> Vec<LogIndex> {
    let bodies = messages
        .iter()
        .filter(|message| message.to == member)
        .map(|message| &message.body);
    bodies
        .flat_map(|body| match body {
            Body::Append { entries, .. } => entries.iter().map(|entry| entry.index).collect(),
            _ => Vec::new(),
        })
        .collect()
}

/// Guards against sending a slow member its whole backlog with every heartbeat.
#[test]
fn in_flight_entries_are_not_resent() {
    let mut cluster = Cluster::new(9, 0);
    cluster.run(3_000);
    let leader = cluster.leaders()[0];
    let slow = ReplicaId(if leader == ReplicaId(1) { 2 } else { 1 });
    let now = cluster.now;
    let raft = cluster.replicas.get_mut(&leader).unwrap();
    let mut sent = Vec::new();
    for step in 0..20 {
        for command in 0..5 {
            raft.propose(vec![command]).unwrap();
        }
        raft.request_heartbeat(now + step * 10);
        raft.tick(now + step * 10);
        sent.extend(raft.take_ready().messages);
        raft.mark_persisted(raft.log().last_index());
    }
    let sent_indexes = appended_indexes(&sent, slow);
    let mut distinct = sent_indexes.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(!distinct.is_empty(), "the first append is sent at once");
    assert_eq!(
        sent_indexes.len(),
        distinct.len(),
        "an entry was sent twice"
    );
}

#[test]
fn requested_heartbeats_are_rate_limited() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(3_000);
    let leader = cluster.leaders()[0];
    let now = cluster.now;
    let raft = cluster.replicas.get_mut(&leader).unwrap();
    let mut messages = 0;
    for millisecond in 0..100 {
        raft.request_heartbeat(now + millisecond);
        raft.tick(now + millisecond);
        messages += raft.take_ready().messages.len();
    }
    // Two members; a heartbeat every 50 ms, every 25 ms if requested.
    assert!(messages <= 2 * 6, "{messages} messages in 100 ms");
}

/// A reply to a message that was sent after the append shows that the append was lost.
#[test]
fn a_lost_append_is_resent_after_a_later_heartbeat_is_acknowledged() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run(3_000);
    let leader = cluster.leaders()[0];
    let before = cluster.replicas[&leader].commit_index();
    let raft = cluster.replicas.get_mut(&leader).unwrap();
    raft.propose(vec![1]).unwrap();
    // The messages of this append are dropped.
    let lost = raft.take_ready().messages;
    assert!(!appended_indexes(&lost, lost[0].to).is_empty());
    raft.mark_persisted(raft.log().last_index());
    cluster.run(150);
    assert!(cluster.replicas[&leader].commit_index() > before);
}
