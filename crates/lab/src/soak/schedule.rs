//! What a soak does to its fleet, and when; drawn from a seed. Pure.
//!
//! Invariants: a schedule is repeated by its seed; whatever it stops it starts again before its end; of one
//! process no two series overlap, while those of different ones do.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fault;

/// Mean time between the beginnings of two series.
const BETWEEN_SERIES: Duration = Duration::from_millis(450);
/// Time at the beginning and the end in which nothing new begins.
const CALM: Duration = Duration::from_millis(500);
/// Longest time for which a process is frozen or away; above every lease and election timeout.
const LONGEST_ABSENCE_MS: u64 = 3_500;
/// Time after SIGTERM at which a process is started again; an answer may take a while until it ends.
const TERMINATION: Duration = Duration::from_millis(2_500);
/// Most changes of configuration in one series.
const MOST_CHANGES: u64 = 6;
/// One series in this many is a crash of all routers at once.
const HERDS: u32 = 12;

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A router, by its position.
    Router(usize),
    /// A control replica.
    Control(usize),
    /// An engine.
    Engine(usize),
}

/// One thing that is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// A process is sent a signal.
    Signal(Target, Fault),
    /// A process that was killed, or has been told to stop, is started again.
    Start(Target),
    /// The configuration is changed so many times, one right after the other.
    Change(u64),
}

impl Display for Act {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Signal(target, fault) => write!(formatter, "{fault:?} {target:?}"),
            Self::Start(target) => write!(formatter, "start {target:?}"),
            Self::Change(count) => write!(formatter, "{count} changes"),
        }
    }
}

/// How many processes of each kind a fleet has.
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
    fn draw(self, random: &mut ChaCha8Rng) -> Target {
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

/// Everything that is done, in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The acts, each with the time since the beginning at which it is due.
    pub acts: Vec<(Duration, Act)>,
}

impl Schedule {
    /// Draws a schedule of a length.
    pub fn draw(seed: u64, size: FleetSize, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut schedule = Self::default();
        let mut busy: Vec<(Target, Duration)> = Vec::new();
        let mut begins = CALM;
        while begins + CALM < length {
            let ends = schedule.add_series(&mut random, size, begins, &busy);
            busy.extend(ends);
            begins += BETWEEN_SERIES.mul_f64(random.random_range(0.2..1.8));
        }
        schedule.acts.sort_by_key(|(due, _)| *due);
        schedule
    }

    /// Adds one series that begins at a moment; the processes that it deals with, each with the end of that.
    fn add_series(
        &mut self,
        random: &mut ChaCha8Rng,
        size: FleetSize,
        begins: Duration,
        busy: &[(Target, Duration)],
    ) -> Vec<(Target, Duration)> {
        let is_free = |target: Target| {
            let mut others = busy.iter();
            others.all(|(other, until)| *other != target || *until < begins)
        };
        if random.random_ratio(1, HERDS) {
            let routers = (0..size.routers).map(Target::Router);
            let herd: Vec<Target> = routers.filter(|target| is_free(*target)).collect();
            let back = begins + absence(random);
            return herd
                .into_iter()
                .map(|target| self.add_kill(target, begins, back))
                .collect();
        }
        let target = size.draw(random);
        let kind = random.random_range(0..4_u32);
        if kind == 0 || !is_free(target) {
            let count = random.random_range(1..=MOST_CHANGES);
            self.acts.push((begins, Act::Change(count)));
            return Vec::new();
        }
        let ends = match kind {
            1 => self.add_kill(target, begins, begins + absence(random)),
            2 => self.add_freeze(target, begins, begins + absence(random)),
            _ => self.add_stop(target, begins),
        };
        vec![ends]
    }

    fn add_kill(&mut self, target: Target, begins: Duration, back: Duration) -> (Target, Duration) {
        self.acts.push((begins, Act::Signal(target, Fault::Kill)));
        self.acts.push((back, Act::Start(target)));
        (target, back)
    }

    fn add_freeze(
        &mut self,
        target: Target,
        begins: Duration,
        ends: Duration,
    ) -> (Target, Duration) {
        self.acts.push((begins, Act::Signal(target, Fault::Freeze)));
        self.acts.push((ends, Act::Signal(target, Fault::Thaw)));
        (target, ends)
    }

    fn add_stop(&mut self, target: Target, begins: Duration) -> (Target, Duration) {
        let back = begins + TERMINATION;
        self.acts
            .push((begins, Act::Signal(target, Fault::Terminate)));
        self.acts.push((back, Act::Start(target)));
        (target, back)
    }
}

fn absence(random: &mut ChaCha8Rng) -> Duration {
    // Most are short: those are the ones that leases and timeouts have to tell apart.
    let shortest = random.random_range(1..LONGEST_ABSENCE_MS);
    Duration::from_millis(random.random_range(1..=shortest))
}
