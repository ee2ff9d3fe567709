//! What breaks, alone and together.

use rand::RngExt;

use crate::simulate::{
    Scenario,
    control::{
        administration::Replacement,
        world::{Broken, ENGINES, Event, ROUTERS, World},
    },
    network::Place,
};

/// Kinds of fault.
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
    /// Injects one fault and plans the next; sometimes two come together.
    pub fn inject_fault(&mut self) -> Result<(), Broken> {
        if self.healed {
            return Ok(());
        }
        let pause = self.random.random_range(300..2_500);
        self.schedule.after(pause, Event::Fault);
        let count = if self.random.random_bool(0.25) { 2 } else { 1 };
        for _ in 0..count {
            let choices = FaultKind::choices(self.scenario);
            let kind = choices[self.random.random_range(0..choices.len())];
            self.activity.faults += 1;
            self.inject(kind)?;
        }
        Ok(())
    }

    fn inject(&mut self, kind: FaultKind) -> Result<(), Broken> {
        let now = self.schedule.now();
        self.trace.note(now, || format!("fault: {kind:?}"));
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
                let place = Place::Replica(self.draw_replica());
                self.freeze(place);
            }
            FaultKind::FreezeRouter => {
                let place = Place::Router(self.random.random_range(1..=ROUTERS));
                self.freeze(place);
            }
            FaultKind::FreezeEngine => {
                let place = Place::Engine(self.random.random_range(1..=ENGINES));
                self.freeze(place);
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

    /// A replica that is part of the cluster, running or not.
    fn draw_replica(&mut self) -> u32 {
        let present: Vec<u32> = self.replicas.keys().copied().collect();
        present[self.random.random_range(0..present.len())]
    }

    fn crash_and_restart(&mut self, replica: u32) {
        self.crash_replica(replica);
        let pause = self.random.random_range(50..2_500);
        let event = Event::Restart(Place::Replica(replica));
        self.schedule.after(pause, event);
    }

    fn kill_and_restart_router(&mut self, router: u32) {
        self.kill_router(router);
        let pause = self.random.random_range(50..1_500);
        let event = Event::Restart(Place::Router(router));
        self.schedule.after(pause, event);
    }

    fn freeze(&mut self, place: Place) {
        let until = self.schedule.now() + self.random.random_range(300..9_000);
        self.frozen.insert(place, until);
    }

    /// Cuts a replica off from everyone, in silence.
    fn isolate(&mut self, replica: u32) {
        let place = Place::Replica(replica);
        let pause = self.random.random_range(300..8_000);
        for other in self.other_places(place) {
            self.cut_for(place, other, pause);
            self.cut_for(other, place, pause);
        }
    }

    fn cut_one_way(&mut self) {
        let from = Place::Replica(self.draw_replica());
        let others = self.other_places(from);
        let to = others[self.random.random_range(0..others.len())];
        let pause = self.random.random_range(300..9_000);
        let (from, to) = if self.random.random_bool(0.5) {
            (from, to)
        } else {
            (to, from)
        };
        self.cut_for(from, to, pause);
    }

    /// Cuts a router off from some or all replicas for longer than its lease.
    fn cut_router(&mut self) {
        let router = Place::Router(self.random.random_range(1..=ROUTERS));
        let pause = self.random.random_range(2_000..14_000);
        let replicas: Vec<u32> = self.replicas.keys().copied().collect();
        let cut_all = self.random.random_bool(0.5);
        for replica in replicas {
            if cut_all || self.random.random_bool(0.5) {
                self.cut_for(router, Place::Replica(replica), pause);
                self.cut_for(Place::Replica(replica), router, pause);
            }
        }
    }

    fn cut_for(&mut self, from: Place, to: Place, pause: u64) {
        self.network.cut(from, to);
        self.schedule.after(pause, Event::Mend(from, to));
    }

    fn other_places(&self, place: Place) -> Vec<Place> {
        let replicas = self.replicas.keys().map(|number| Place::Replica(*number));
        let routers = self.routers.keys().map(|number| Place::Router(*number));
        let engines = self.engines.keys().map(|number| Place::Engine(*number));
        let operators = (0..self.operators.len() as u32).map(Place::Operator);
        replicas
            .chain(routers)
            .chain(engines)
            .chain(operators)
            .filter(|other| *other != place)
            .collect()
    }

    /// A disk is lost. The process comes back under its old number with an empty folder, as a
    /// careless restart does, and the administrator sets about replacing it.
    ///
    /// Only one disk is lost at a time: the next may go as soon as the replacement votes.
    fn lose_disk(&mut self, replica: u32) {
        let is_voter = self.is_settled_voter(replica);
        if self.administration.open.is_some() || !is_voter {
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
        self.frozen.remove(&Place::Replica(replica));
        let added = self.replicas.keys().max().copied().unwrap_or_default() + 1;
        let add_first = self.random.random_bool(0.5);
        self.administration.open = Some(Replacement {
            lost: replica,
            lost_disk,
            added,
            add_first,
        });
        let now = self.schedule.now();
        self.trace
            .note(now, || format!("replica {replica} loses its disk"));
        let pause = self.random.random_range(10..200);
        let event = Event::Restart(Place::Replica(replica));
        self.schedule.after(pause, event);
        self.add_machine(added);
        let pause = self.random.random_range(100..2_000);
        let event = Event::Restart(Place::Replica(added));
        self.schedule.after(pause, event);
    }

    /// Whether the newest leader's committed membership has this replica as a voter.
    fn is_settled_voter(&self, replica: u32) -> bool {
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

    /// One follower lags behind a cut; then the leader crashes just as the other follower, which
    /// has the newest entries, loses its disk.
    fn lose_disk_and_leader(&mut self) {
        let Some(leader) = self.leaders().first().copied() else {
            return;
        };
        let followers: Vec<u32> = self
            .replicas
            .iter()
            .filter(|(number, machine)| {
                **number != leader && machine.process.is_some() && self.is_settled_voter(**number)
            })
            .map(|(number, _)| *number)
            .collect();
        let &[lagging, losing] = followers.as_slice() else {
            return;
        };
        if self.lagging_for(leader, lagging) < LAG_WANTED {
            let pause = self.random.random_range(400..1_500);
            self.cut_for(Place::Replica(leader), Place::Replica(lagging), pause);
            self.cut_for(Place::Replica(losing), Place::Replica(lagging), pause);
            return;
        }
        self.network
            .mend(Place::Replica(leader), Place::Replica(lagging));
        self.network
            .mend(Place::Replica(losing), Place::Replica(lagging));
        self.lose_disk(losing);
        self.crash_and_restart(leader);
    }

    fn lagging_for(&self, leader: u32, follower: u32) -> u64 {
        let last = |number: &u32| {
            let process = self.replicas[number].process.as_ref();
            process.map_or(0, |process| process.replica.raft().log().last_index())
        };
        last(&leader).saturating_sub(last(&follower))
    }

    /// A process starts again.
    pub fn restart(&mut self, place: Place) -> Result<(), Broken> {
        match place {
            Place::Replica(number) => self.start_replica(number),
            Place::Router(number) => {
                self.start_router(number);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Ends all faults. Processes that are down start again.
    pub fn heal(&mut self) -> Result<(), Broken> {
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

/// Entries by which a follower must lag before the leader is taken away.
const LAG_WANTED: u64 = 1;
