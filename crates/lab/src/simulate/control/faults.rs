//! Fault injection.

use rand::RngExt;

use crate::simulate::{
    Scenario,
    control::{
        administrator::Replacement,
        world::{CheckFailure, ENGINES, Event, ROUTERS, World},
    },
    network::Node,
};

/// Kinds of fault. Traces print the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    CrashReplica,
    CrashAllReplicas,
    FreezeReplica,
    FreezeRouter,
    IsolateReplica,
    CutOneWay,
    CutRouter,
    FullDisk,
    KillRouter,
    KillAllRouters,
    LoseDisk,
    LoseDiskAndLeader,
    RestartEngine,
    FreezeEngine,
}

impl FaultKind {
    fn choices(scenario: Scenario) -> &'static [Self] {
        match scenario {
            Scenario::Membership => &[
                Self::LoseDisk,
                Self::LoseDiskAndLeader,
                Self::LoseDiskAndLeader,
                Self::CrashReplica,
                Self::IsolateReplica,
                Self::FreezeReplica,
            ],
            Scenario::Claims => &[
                Self::KillRouter,
                Self::KillRouter,
                Self::CrashReplica,
                Self::CrashAllReplicas,
                Self::IsolateReplica,
                Self::FreezeRouter,
                Self::CutOneWay,
                Self::FullDisk,
            ],
            Scenario::Rollout => &[
                Self::FreezeReplica,
                Self::CutOneWay,
                Self::IsolateReplica,
                Self::RestartEngine,
                Self::FreezeEngine,
                Self::CrashReplica,
            ],
            Scenario::Configuration | Scenario::Streams => &[
                Self::CrashReplica,
                Self::CrashAllReplicas,
                Self::FreezeReplica,
                Self::FreezeRouter,
                Self::IsolateReplica,
                Self::CutOneWay,
                Self::CutRouter,
                Self::CutRouter,
                Self::FullDisk,
                Self::KillRouter,
                Self::KillAllRouters,
            ],
        }
    }
}

impl World {
    /// Injects one fault, sometimes two, and schedules the next.
    pub fn inject_fault(&mut self) -> Result<(), CheckFailure> {
        if self.healed {
            return Ok(());
        }
        let pause = self.random.random_range(300..2_500);
        self.schedule.after(pause, Event::InjectFault);
        let count = if self.random.random_bool(0.25) { 2 } else { 1 };
        for _ in 0..count {
            let choices = FaultKind::choices(self.scenario);
            let kind = choices[self.random.random_range(0..choices.len())];
            self.activity.faults += 1;
            self.inject(kind)?;
        }
        Ok(())
    }

    fn inject(&mut self, kind: FaultKind) -> Result<(), CheckFailure> {
        let now = self.schedule.now();
        self.trace.record(now, || format!("fault: {kind:?}"));
        match kind {
            FaultKind::CrashReplica => {
                let replica = self.draw_replica();
                self.crash_and_restart(replica);
            }
            FaultKind::CrashAllReplicas => {
                let all: Vec<u32> = self.replicas.keys().copied().collect();
                for replica in all {
                    self.crash_and_restart(replica);
                }
            }
            FaultKind::FreezeReplica => {
                let node = Node::Replica(self.draw_replica());
                self.freeze(node);
            }
            FaultKind::FreezeRouter => {
                let node = Node::Router(self.random.random_range(1..=ROUTERS));
                self.freeze(node);
            }
            FaultKind::FreezeEngine => {
                let node = Node::Engine(self.random.random_range(1..=ENGINES));
                self.freeze(node);
            }
            FaultKind::IsolateReplica => {
                let replica = self.draw_replica();
                self.isolate(replica);
            }
            FaultKind::CutOneWay => self.cut_one_way(),
            FaultKind::CutRouter => self.cut_router(),
            FaultKind::FullDisk => {
                let replica = self.draw_replica();
                if let Some(machine) = self.replicas.get(&replica) {
                    machine.media.fail_syncs(true);
                }
            }
            FaultKind::KillRouter => {
                let router = self.random.random_range(1..=ROUTERS);
                self.kill_and_restart_router(router);
            }
            FaultKind::KillAllRouters => {
                for router in 1..=ROUTERS {
                    self.kill_and_restart_router(router);
                }
            }
            FaultKind::LoseDisk => {
                let replica = self.draw_replica();
                self.lose_disk(replica);
            }
            FaultKind::LoseDiskAndLeader => self.lose_disk_and_leader(),
            FaultKind::RestartEngine => {
                let engine = self.random.random_range(1..=ENGINES);
                self.restart_engine(engine);
            }
        }
        Ok(())
    }

    /// Draws a replica, running or not.
    fn draw_replica(&mut self) -> u32 {
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        replicas[self.random.random_range(0..replicas.len())]
    }

    fn crash_and_restart(&mut self, replica: u32) {
        self.crash_replica(replica);
        let pause = self.random.random_range(50..2_500);
        let event = Event::Restart(Node::Replica(replica));
        self.schedule.after(pause, event);
    }

    fn kill_and_restart_router(&mut self, router: u32) {
        self.kill_router(router);
        let pause = self.random.random_range(50..1_500);
        let event = Event::Restart(Node::Router(router));
        self.schedule.after(pause, event);
    }

    fn freeze(&mut self, node: Node) {
        let until = self.schedule.now() + self.random.random_range(300..9_000);
        self.frozen.insert(node, until);
    }

    /// Partitions a replica from all other nodes.
    fn isolate(&mut self, replica: u32) {
        let node = Node::Replica(replica);
        let duration = self.random.random_range(300..8_000);
        for other in self.other_nodes(node) {
            self.cut_for(node, other, duration);
            self.cut_for(other, node, duration);
        }
    }

    fn cut_one_way(&mut self) {
        let from = Node::Replica(self.draw_replica());
        let others = self.other_nodes(from);
        let to = others[self.random.random_range(0..others.len())];
        let duration = self.random.random_range(300..9_000);
        let (from, to) = if self.random.random_bool(0.5) {
            (from, to)
        } else {
            (to, from)
        };
        self.cut_for(from, to, duration);
    }

    /// Partitions a router from some or all replicas, mostly for longer than its lease.
    fn cut_router(&mut self) {
        let router = Node::Router(self.random.random_range(1..=ROUTERS));
        let duration = self.random.random_range(2_000..14_000);
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let cut_all = self.random.random_bool(0.5);
        for replica in replicas {
            if cut_all || self.random.random_bool(0.5) {
                self.cut_for(router, Node::Replica(replica), duration);
                self.cut_for(Node::Replica(replica), router, duration);
            }
        }
    }

    fn cut_for(&mut self, from: Node, to: Node, duration: u64) {
        self.network.cut(from, to);
        self.schedule.after(duration, Event::Reconnect(from, to));
    }

    fn other_nodes(&self, node: Node) -> Vec<Node> {
        let replicas = self.replicas.keys().map(|number| Node::Replica(*number));
        let routers = self.routers.keys().map(|number| Node::Router(*number));
        let engines = self.engines.keys().map(|number| Node::Engine(*number));
        let operators = (0..self.operators.len() as u32).map(Node::Operator);
        replicas
            .chain(routers)
            .chain(engines)
            .chain(operators)
            .filter(|other| *other != node)
            .collect()
    }

    /// Wipes a replica's disk. The process restarts under the same number with an empty folder, as
    /// after an operator's mistake, and the administrator starts to replace it.
    ///
    /// At most one replacement is open: the next disk can be lost once the new replica is a voter.
    fn lose_disk(&mut self, replica: u32) {
        let is_voter = self.is_committed_voter(replica);
        if self.administrator.replacement.is_some() || !is_voter {
            return;
        }
        let Some(machine) = self.replicas.get_mut(&replica) else {
            return;
        };
        let Some(process) = &machine.process else {
            return;
        };
        let lost_disk = process.replica.identity().disk;
        machine.process = None;
        machine.media.wipe();
        self.frozen.remove(&Node::Replica(replica));
        let added = self.replicas.keys().max().copied().unwrap_or_default() + 1;
        let add_first = self.random.random_bool(0.5);
        self.administrator.replacement = Some(Replacement {
            lost: replica,
            lost_disk,
            added,
            add_first,
        });
        let now = self.schedule.now();
        self.trace
            .record(now, || format!("replica {replica} loses its disk"));
        let pause = self.random.random_range(10..200);
        let event = Event::Restart(Node::Replica(replica));
        self.schedule.after(pause, event);
        self.add_machine(added);
        let pause = self.random.random_range(100..2_000);
        let event = Event::Restart(Node::Replica(added));
        self.schedule.after(pause, event);
    }

    /// Whether the replica is a voter in the committed membership of the current leader.
    fn is_committed_voter(&self, replica: u32) -> bool {
        let leader = self.leaders().first().copied();
        let process = leader.and_then(|leader| self.replicas[&leader].process.as_ref());
        process.is_some_and(|process| {
            let raft = process.replica.raft();
            raft.membership_index() <= raft.commit_index()
                && raft
                    .membership()
                    .is_voter(railtack_consensus::ReplicaId(replica))
        })
    }

    /// Partitions one follower until it lags; then the leader crashes while the other follower, which
    /// has the newest entries, loses its disk.
    fn lose_disk_and_leader(&mut self) {
        let Some(leader) = self.leaders().first().copied() else {
            return;
        };
        let followers: Vec<u32> = self
            .replicas
            .iter()
            .filter(|(number, machine)| {
                **number != leader && machine.process.is_some() && self.is_committed_voter(**number)
            })
            .map(|(number, _)| *number)
            .collect();
        let &[lagging, losing] = followers.as_slice() else {
            return;
        };
        if self.lag_entries(leader, lagging) < MIN_LAG_ENTRIES {
            let duration = self.random.random_range(400..1_500);
            self.cut_for(Node::Replica(leader), Node::Replica(lagging), duration);
            self.cut_for(Node::Replica(losing), Node::Replica(lagging), duration);
            return;
        }
        self.network
            .reconnect(Node::Replica(leader), Node::Replica(lagging));
        self.network
            .reconnect(Node::Replica(losing), Node::Replica(lagging));
        self.lose_disk(losing);
        self.crash_and_restart(leader);
    }

    fn lag_entries(&self, leader: u32, follower: u32) -> u64 {
        let last = |number: &u32| {
            let process = self.replicas[number].process.as_ref();
            process.map_or(0, |process| process.replica.raft().log().last_index())
        };
        last(&leader).saturating_sub(last(&follower))
    }

    /// Restarts a process; one that already runs is left alone.
    pub fn restart(&mut self, node: Node) -> Result<(), CheckFailure> {
        match node {
            Node::Replica(number) => self.start_replica(number),
            Node::Router(number) => {
                self.start_router(number);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Ends all faults and restarts stopped processes.
    pub fn heal(&mut self) -> Result<(), CheckFailure> {
        self.healed = true;
        self.network.heal();
        self.frozen.clear();
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        for replica in replicas {
            self.replicas[&replica].media.fail_syncs(false);
            self.start_replica(replica)?;
        }
        for router in 1..=ROUTERS {
            self.start_router(router);
        }
        Ok(())
    }
}

/// Minimum lag of the partitioned follower, in log entries, before the leader is crashed.
const MIN_LAG_ENTRIES: u64 = 1;
