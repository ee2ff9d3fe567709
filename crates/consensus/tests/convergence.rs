//! Checks that all members converge to the leader's state after message loss, delays and pauses.

mod support;

use std::collections::{BTreeMap, VecDeque};

use quickcheck::quickcheck;
use railtack_consensus::{
    DiskId, LogIndex, Membership, Message, Millis, Raft, RaftOptions, Recovered, ReplicaId, Role,
    Snapshot,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::member;

/// Larger than all commands of a test together, so that the limit on bytes has no effect.
const APPEND_BYTES: usize = 1024 * 1024;
const MEMBERS: u32 = 5;
/// Time after the last fault within which every member must have applied all entries: an election
/// and a few heartbeats.
const SETTLE_MS: Millis = 4_000;
const STEP_MS: Millis = 5;

fn start(number: u32) -> Raft {
    let is_founder = number == 1;
    let snapshot = Snapshot {
        last_index: u64::from(is_founder),
        membership: Membership {
            members: if is_founder {
                vec![member(1, true)]
            } else {
                Vec::new()
            },
        },
        ..Snapshot::default()
    };
    let options = RaftOptions {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        election_timeout: 400,
        heartbeat_interval: 100,
        append_limit: 16,
        append_bytes: APPEND_BYTES,
        seed: u64::from(number),
        check_disk_identity: true,
    };
    let recovered = Recovered {
        snapshot,
        ..Recovered::default()
    };
    Raft::new(options, recovered, 0)
}

/// Replicas connected by links that deliver in order but delay and lose messages.
struct Simulation {
    replicas: BTreeMap<ReplicaId, Raft>,
    links: BTreeMap<(ReplicaId, ReplicaId), VecDeque<(Millis, Message)>>,
    rng: ChaCha8Rng,
    now: Millis,
    /// Probability that a message is lost.
    loss_rate: f64,
    max_delay: Millis,
    /// A replica that neither receives nor sends messages.
    paused: Option<ReplicaId>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            replicas: (1..=MEMBERS)
                .map(|number| (ReplicaId(number), start(number)))
                .collect(),
            links: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            loss_rate: 0.0,
            max_delay: 3,
            paused: None,
        }
    }

    fn run(&mut self, time: Millis, mut before_step: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP_MS;
            before_step(self);
            self.deliver();
            let now = self.now;
            let paused = self.paused;
            let running = self
                .replicas
                .iter_mut()
                .filter(|(id, _)| Some(**id) != paused);
            let mut sent = Vec::new();
            for (_, raft) in running {
                raft.tick(now);
                sent.extend(process_ready(raft));
            }
            for message in sent {
                self.send(message);
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        let arrives_at = self.now + self.rng.random_range(0..=self.max_delay);
        let link = self.links.entry((message.from, message.to)).or_default();
        let delivered_at = link
            .back()
            .map_or(arrives_at, |(last, _)| arrives_at.max(*last));
        link.push_back((delivered_at, message));
    }

    fn deliver(&mut self) {
        for ((_, to), link) in &mut self.links {
            while link
                .front()
                .is_some_and(|(arrives_at, _)| *arrives_at <= self.now)
            {
                let Some((_, message)) = link.pop_front() else {
                    break;
                };
                if Some(*to) == self.paused {
                    continue;
                }
                if let Some(raft) = self.replicas.get_mut(to) {
                    raft.receive(message, self.now);
                }
            }
        }
    }

    fn leader(&mut self) -> Option<&mut Raft> {
        let leading = self
            .replicas
            .values_mut()
            .filter(|raft| raft.role() == Role::Leader);
        leading.max_by_key(|raft| raft.term())
    }

    /// Promotes a learner, or adds the next replica as a learner.
    fn add_next_member(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let mut next = leader.membership().clone();
        if let Some(learner) = next.members.iter_mut().find(|member| !member.voter) {
            learner.voter = true;
            if leader.propose_membership(next.clone()).is_ok() {
                return;
            }
            next = leader.membership().clone();
        }
        let next_member = (1..=MEMBERS).find(|number| next.member(ReplicaId(*number)).is_none());
        if let Some(number) = next_member {
            next.members.push(member(number, false));
            // Rejected while another change is uncommitted; retried at the next step.
            let _ = leader.propose_membership(next);
        }
    }

    fn applied(&self) -> BTreeMap<ReplicaId, LogIndex> {
        let replicas = self.replicas.iter();
        replicas
            .map(|(id, raft)| (*id, raft.applied_index()))
            .collect()
    }
}

fn process_ready(raft: &mut Raft) -> Vec<Message> {
    let mut sent = Vec::new();
    for _ in 0..100 {
        let ready = raft.take_ready();
        let committed = raft.take_committed();
        if ready.is_empty() && committed.is_empty() {
            return sent;
        }
        raft.mark_persisted(raft.log().last_index());
        sent.extend(ready.messages);
    }
    panic!("the replica still has output after 100 iterations");
}

fn members_converge(seed: u64) -> bool {
    let mut simulation = Simulation::new(seed);
    simulation.loss_rate = 0.1;
    simulation.max_delay = 150;
    let paused_replica = ReplicaId(1 + (seed % u64::from(MEMBERS)) as u32);
    simulation.run(6_000, |simulation| {
        simulation.add_next_member();
        let phase = simulation.now / 500;
        simulation.paused = (phase % 4 == 3).then_some(paused_replica);
        if simulation.now.is_multiple_of(20)
            && let Some(leader) = simulation.leader()
        {
            // Fails if the leader has just been deposed.
            let _ = leader.propose(vec![1, 2, 3]);
        }
    });
    simulation.paused = None;
    simulation.loss_rate = 0.0;
    simulation.max_delay = 3;
    simulation.run(SETTLE_MS, |_| {});
    let Some(commit) = simulation.leader().map(|leader| leader.commit_index()) else {
        return false;
    };
    simulation
        .applied()
        .values()
        .all(|applied| *applied == commit)
}

quickcheck! {
    fn members_converge_after_the_network_recovers(seed: u64) -> bool {
        members_converge(seed)
    }
}
