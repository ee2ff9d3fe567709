//! Groups all of whose machines lose power at one moment, in the middle of what they write, in virtual time. Those that
//! have just joined or do not count lose it too, and up to as many disks as tolerated are lost with it.

#[allow(dead_code)]
#[path = "support/simulated_group.rs"]
mod simulated_group;

use railtack_consensus::Millis;
use railtack_control::replica::LogPosition;
use railtack_serving::FaultTolerance;
use rand::RngExt;
use simulated_group::{Group, Position};

const VOTERS: usize = 5;
const TOLERANCE: FaultTolerance = FaultTolerance { machines: 2 };
const SYNC_MS: Millis = 5;
/// Few enough for snapshots, and for new segments of the log, throughout a run.
const SNAPSHOT_ENTRIES: u64 = 20;
/// Time after which a group serves again once all machines are back.
const RECOVERY_MS: Millis = 15_000;
const REDUNDANCY_MS: Millis = 15_000;
const CALM_MS: Millis = 2_000;
/// Time for which a machine that returned still counts as lost.
const CATCH_UP_MS: Millis = 4_000;
const MAX_DOWN_MS: Millis = 1_500;
/// Longest time over which machines are started.
const START_SPREAD_MS: Millis = 300;
/// Time from the loss of machines to that of all power: any moment of their replacement.
const MAX_TIME_TO_LOSS_MS: Millis = 3_000;
/// Losses of power in a run, one after the other.
const LOSSES: usize = 3;
const SEEDS: u64 = 150;

struct Run {
    group: Group,
    /// Changes that were acknowledged, the newest last.
    acknowledged: Vec<LogPosition>,
    /// A change that has no outcome yet, and the leader that took it.
    pending: Option<(Position, LogPosition)>,
    /// Machines that count: the first ones and, once they have caught up, their successors.
    counted: Vec<Position>,
}

impl Run {
    fn start(seed: u64) -> Self {
        let group = Group::start_with_snapshots(seed, VOTERS, TOLERANCE, SYNC_MS, SNAPSHOT_ENTRIES);
        let mut run = Self {
            group,
            acknowledged: Vec::new(),
            pending: None,
            counted: (0..VOTERS).collect(),
        };
        run.run_until(CALM_MS);
        run
    }

    /// Runs until a time, with one change after the other.
    fn run_until(&mut self, time: Millis) {
        while self.group.now < time {
            self.group.step();
            match self.pending {
                Some((leader, entry)) => {
                    if self.group.leader() != Some(leader) {
                        self.pending = None;
                    } else if self.group.has_applied(leader, entry) {
                        self.acknowledged.push(entry);
                        self.pending = None;
                    }
                }
                None => self.pending = self.group.propose(),
            }
        }
    }

    fn draw(&mut self, limit: Millis) -> Millis {
        self.group.random.random_range(0..limit)
    }

    fn draw_counted(&mut self) -> Position {
        let drawn = self.group.random.random_range(0..self.counted.len());
        self.counted[drawn]
    }

    /// Loses machines up to what is tolerated, for good or with their data, and adds successors. Returns how many of the
    /// others may still lose their disks.
    fn lose_machines(&mut self) -> usize {
        let tolerated = TOLERANCE.machines as usize;
        let count = self.group.random.random_range(0..=tolerated);
        for _ in 0..count {
            let lost = self.draw_counted();
            self.counted.retain(|machine| *machine != lost);
            self.group.cut_power(lost);
            self.group.lose_data(lost);
            let returns: bool = self.group.random.random();
            if returns {
                self.group.start_machine(lost);
            } else {
                self.group.add_machine();
            }
        }
        let waited = self.draw(MAX_TIME_TO_LOSS_MS);
        self.run_until(self.group.now + waited);
        tolerated - count
    }

    /// Cuts the power of all machines at once, and starts them again one after the other.
    fn lose_power(&mut self, lost_disks: usize) {
        let machines = self.group.running();
        for machine in &machines {
            self.group.cut_power(*machine);
        }
        self.pending = None;
        let mut counted = self.counted.clone();
        for _ in 0..lost_disks {
            let drawn = self.group.random.random_range(0..counted.len());
            self.group.lose_data(counted.remove(drawn));
        }
        let down_ms = self.draw(MAX_DOWN_MS);
        self.group.run_until(self.group.now + down_ms);
        let step = self.draw(START_SPREAD_MS) / machines.len() as Millis;
        for machine in machines {
            self.group.start_machine(machine);
            self.group.run_until(self.group.now + step);
        }
    }

    /// Checks that a leader is there in time with all acknowledged changes, and that all machines vote.
    fn check(&mut self) -> Result<(), String> {
        let deadline = self.group.now + RECOVERY_MS;
        while self.group.leader().is_none() {
            if self.group.now >= deadline {
                return Err("no leader".to_owned());
            }
            self.group.step();
        }
        let leader = self.group.leader().ok_or("no leader")?;
        for entry in &self.acknowledged {
            if !self.group.has_entry(leader, *entry) {
                return Err(format!("{entry:?} is lost"));
            }
        }
        let deadline = self.group.now + REDUNDANCY_MS;
        let running = self.group.running();
        while !running.iter().all(|machine| self.group.is_voter(*machine)) {
            if self.group.now >= deadline {
                return Err("not all machines vote".to_owned());
            }
            self.group.step();
        }
        self.counted = running;
        Ok(())
    }
}

fn judge(seed: u64) -> Result<(), String> {
    let mut run = Run::start(seed);
    for _ in 0..LOSSES {
        let lost_disks = run.lose_machines();
        run.lose_power(lost_disks);
        let returned_at = run.group.now;
        run.check()?;
        let calm_ms = run.draw(CALM_MS);
        run.run_until(returned_at + CATCH_UP_MS + calm_ms);
    }
    Ok(())
}

/// Guards against a group that does not come back, or loses an acknowledged change, when all machines lose power in the
/// middle of a write, a snapshot, a new segment or a change of the members, with the tolerated disks lost.
#[test]
fn a_group_comes_back_after_all_machines_lost_power_at_any_moment() {
    let failures: Vec<(u64, String)> = (0..SEEDS)
        .filter_map(|seed| Some((seed, judge(seed).err()?)))
        .collect();
    assert!(
        failures.is_empty(),
        "{} of {SEEDS}: {failures:?}",
        failures.len()
    );
}
