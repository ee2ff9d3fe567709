//! Fault schedules of soaks, drawn from a seed. Pure.
//!
//! Invariants: a seed always gives the same schedule; every process that is stopped or frozen is resumed;
//! fault episodes of one process do not overlap, while those of different processes may.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fault;

/// Mean time between the starts of two fault episodes.
const MEAN_EPISODE_INTERVAL: Duration = Duration::from_millis(450);
/// Time at the start and the end in which no episode starts.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Maximum downtime or freeze of a process; above the default election timeout.
const MAX_DOWNTIME_MS: u64 = 3_500;
/// Time between SIGTERM and the restart, so that open responses can complete.
const TERMINATION_PERIOD: Duration = Duration::from_millis(2_500);
/// Maximum configuration changes in one episode.
const MAX_CHANGES: u64 = 6;
/// One episode in this many crashes all routers at once.
const ALL_ROUTERS_CRASH_RATIO: u32 = 12;

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A router, by its position.
    Router(usize),
    /// A control replica, by its position.
    Control(usize),
    /// An engine, by its position.
    Engine(usize),
}

/// A scheduled action on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a signal to a process.
    Signal(Target, Fault),
    /// Restarts a process that was killed or asked to stop.
    Start(Target),
    /// Submits this many configuration changes in sequence.
    Change(u64),
}

impl Display for Action {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Signal(target, fault) => write!(formatter, "{fault:?} {target:?}"),
            Self::Start(target) => write!(formatter, "start {target:?}"),
            Self::Change(count) => write!(formatter, "{count} changes"),
        }
    }
}

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Routers.
    pub routers: usize,
    /// Control replicas.
    pub control: usize,
    /// Engines.
    pub engines: usize,
}

impl FleetSize {
    fn draw_target(self, random: &mut ChaCha8Rng) -> Target {
        let position = random.random_range(0..self.routers + self.control + self.engines);
        if position < self.routers {
            return Target::Router(position);
        }
        let position = position - self.routers;
        if position < self.control {
            return Target::Control(position);
        }
        Target::Engine(position - self.control)
    }
}

/// A fault schedule, ordered by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Actions, each with its time since the start.
    pub actions: Vec<(Duration, Action)>,
}

impl Schedule {
    /// Draws a schedule of the given length.
    pub fn draw(seed: u64, size: FleetSize, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut schedule = Self::default();
        let mut busy: Vec<(Target, Duration)> = Vec::new();
        let mut starts_at = QUIET_PERIOD;
        while starts_at + QUIET_PERIOD < length {
            let episodes = schedule.add_episode(&mut random, size, starts_at, &busy);
            busy.extend(episodes);
            starts_at += MEAN_EPISODE_INTERVAL.mul_f64(random.random_range(0.2..1.8));
        }
        schedule.actions.sort_by_key(|(due, _)| *due);
        schedule
    }

    /// Adds one fault episode at `starts_at`. Returns the affected processes, each with the end of its episode.
    fn add_episode(
        &mut self,
        random: &mut ChaCha8Rng,
        size: FleetSize,
        starts_at: Duration,
        busy: &[(Target, Duration)],
    ) -> Vec<(Target, Duration)> {
        let is_free = |target: Target| {
            let mut others = busy.iter();
            others.all(|(other, until)| *other != target || *until < starts_at)
        };
        if random.random_ratio(1, ALL_ROUTERS_CRASH_RATIO) {
            let routers = (0..size.routers).map(Target::Router);
            let idle_routers: Vec<Target> = routers.filter(|target| is_free(*target)).collect();
            let restarts_at = starts_at + draw_downtime(random);
            return idle_routers
                .into_iter()
                .map(|target| self.add_kill(target, starts_at, restarts_at))
                .collect();
        }
        let target = size.draw_target(random);
        let kind = random.random_range(0..4_u32);
        if kind == 0 || !is_free(target) {
            let count = random.random_range(1..=MAX_CHANGES);
            self.actions.push((starts_at, Action::Change(count)));
            return Vec::new();
        }
        let episode = match kind {
            1 => self.add_kill(target, starts_at, starts_at + draw_downtime(random)),
            2 => self.add_freeze(target, starts_at, starts_at + draw_downtime(random)),
            _ => self.add_termination(target, starts_at),
        };
        vec![episode]
    }

    fn add_kill(
        &mut self,
        target: Target,
        starts_at: Duration,
        restarts_at: Duration,
    ) -> (Target, Duration) {
        self.actions
            .push((starts_at, Action::Signal(target, Fault::Kill)));
        self.actions.push((restarts_at, Action::Start(target)));
        (target, restarts_at)
    }

    fn add_freeze(
        &mut self,
        target: Target,
        starts_at: Duration,
        ends_at: Duration,
    ) -> (Target, Duration) {
        self.actions
            .push((starts_at, Action::Signal(target, Fault::Freeze)));
        self.actions
            .push((ends_at, Action::Signal(target, Fault::Thaw)));
        (target, ends_at)
    }

    fn add_termination(&mut self, target: Target, starts_at: Duration) -> (Target, Duration) {
        let restarts_at = starts_at + TERMINATION_PERIOD;
        self.actions
            .push((starts_at, Action::Signal(target, Fault::Terminate)));
        self.actions.push((restarts_at, Action::Start(target)));
        (target, restarts_at)
    }
}

fn draw_downtime(random: &mut ChaCha8Rng) -> Duration {
    // Short downtimes are more frequent: they are close to leases and timeouts.
    let max_downtime = random.random_range(1..MAX_DOWNTIME_MS);
    Duration::from_millis(random.random_range(1..=max_downtime))
}
