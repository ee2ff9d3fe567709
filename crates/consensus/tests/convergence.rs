//! Members that are slow, silent for a while, or lose messages reach the leader's state soon after
//! the network is calm again.

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

/// More than the commands of these tests have together.
const APPEND_BYTES: usize = 1024 * 1024;
const MEMBERS: u32 = 5;
/// Time after the last disturbance in which every member must have applied everything: an election,
/// and a few heartbeats.
const CALM: Millis = 4_000;
const STEP: Millis = 5;

fn start(number: u32) -> Raft {
    let founder = number == 1;
    let snapshot = Snapshot {
        last_index: u64::from(founder),
        membership: Membership {
            members: if founder {
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

/// Replicas behind links that deliver in order, late, or not at all.
struct World {
    replicas: BTreeMap<ReplicaId, Raft>,
    links: BTreeMap<(ReplicaId, ReplicaId), VecDeque<(Millis, Message)>>,
    generator: ChaCha8Rng,
    now: Millis,
    /// Chance that a message is lost, and the longest delay.
    loss: f64,
    delay: Millis,
    /// A replica that takes and sends nothing.
    frozen: Option<ReplicaId>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            replicas: (1..=MEMBERS)
                .map(|number| (ReplicaId(number), start(number)))
                .collect(),
            links: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            loss: 0.0,
            delay: 3,
            frozen: None,
        }
    }

    fn run(&mut self, time: Millis, mut each_step: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            each_step(self);
            self.deliver();
            let now = self.now;
            let frozen = self.frozen;
            let awake = self
                .replicas
                .iter_mut()
                .filter(|(id, _)| Some(**id) != frozen);
            let mut sent = Vec::new();
            for (_, raft) in awake {
                raft.tick(now);
                sent.extend(round(raft));
            }
            for message in sent {
                self.send(message);
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.generator.random_bool(self.loss) {
            return;
        }
        let arrives = self.now + self.generator.random_range(0..=self.delay);
        let link = self.links.entry((message.from, message.to)).or_default();
        let after_last = link.back().map_or(arrives, |(last, _)| arrives.max(*last));
        link.push_back((after_last, message));
    }

    fn deliver(&mut self) {
        for ((_, to), link) in &mut self.links {
            while link
                .front()
                .is_some_and(|(arrives, _)| *arrives <= self.now)
            {
                let Some((_, message)) = link.pop_front() else {
                    break;
                };
                if Some(*to) == self.frozen {
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

    /// Makes the next replica that is no member yet a learner, or a learner a voter.
    fn grow(&mut self) {
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
        let missing = (1..=MEMBERS).find(|number| next.member(ReplicaId(*number)).is_none());
        if let Some(number) = missing {
            next.members.push(member(number, false));
            // A change that is under way puts this one off to the next step.
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

fn round(raft: &mut Raft) -> Vec<Message> {
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
    panic!("a round does not come to an end");
}

fn converges(seed: u64) -> bool {
    let mut world = World::new(seed);
    world.loss = 0.1;
    world.delay = 150;
    let victim = ReplicaId(1 + (seed % u64::from(MEMBERS)) as u32);
    world.run(6_000, |world| {
        world.grow();
        let phase = world.now / 500;
        world.frozen = (phase % 4 == 3).then_some(victim);
        if world.now.is_multiple_of(20)
            && let Some(leader) = world.leader()
        {
            // Refused by a leader that has just been deposed.
            let _ = leader.propose(vec![1, 2, 3]);
        }
    });
    world.frozen = None;
    world.loss = 0.0;
    world.delay = 3;
    world.run(CALM, |_| {});
    let Some(commit) = world.leader().map(|leader| leader.commit_index()) else {
        return false;
    };
    world.applied().values().all(|applied| *applied == commit)
}

quickcheck! {
    fn members_reach_the_leader_once_the_network_is_calm(seed: u64) -> bool {
        converges(seed)
    }
}
