//! A seeded model of three control replicas that are elected, restarted and not answered at any moment, judged by when
//! their orders arrive at a back end: none within a lease of an order of another one.

use std::time::Duration;

use railtack_control::{
    serving::order_lock::{HeldOrderLock, ORDER_TIMEOUT, OrderLease, OtherHolders},
    serving_state::ServingState,
};
use railtack_rpc::serving::{ServingCommand, ServingOutcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SEEDS: u64 = 200;
const STEPS: usize = 4_000;
const STEP: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(3);
const MACHINES: usize = 3;
/// Longer than any wait.
const LONG_AGO: Duration = Duration::from_secs(3_600);

/// What is left out, to see that the judge notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// What is known of other holders ends with the term.
    ForgottenWithTerm,
    /// A process that starts takes other holders for gone.
    ForgottenAtRestart,
    /// An acquisition without a reply counts as none.
    UnansweredIgnored,
    /// The wait covers no orders that were sent after the last confirmation.
    LeaseOnly,
}

/// A control replica in one life of its process.
struct Machine {
    others: OtherHolders,
    held: Option<HeldOrderLock>,
    /// Term that it believes to lead, and when it was last confirmed.
    leads: Option<(u64, Instant)>,
}

impl Machine {
    fn start(mutant: Mutant, now: Instant) -> Self {
        let started = match mutant {
            Mutant::ForgottenAtRestart => now - LONG_AGO,
            _ => now,
        };
        Self {
            others: OtherHolders::new(started),
            held: None,
            leads: None,
        }
    }
}

struct World {
    mutant: Mutant,
    random: ChaCha8Rng,
    now: Instant,
    index: u64,
    term: u64,
    state: ServingState,
    /// The machine that a majority follows.
    leader: Option<usize>,
    machines: Vec<Machine>,
    /// Arrivals of orders, and who sent them.
    arrivals: Vec<(Instant, usize)>,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let now = Instant::now() + LONG_AGO * 2;
        let machines = (0..MACHINES).map(|_| Machine::start(mutant, now));
        Self {
            mutant,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            index: 0,
            term: 0,
            state: ServingState::default(),
            leader: None,
            machines: machines.collect(),
            arrivals: Vec::new(),
        }
    }

    fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.now += STEP;
            let machine = self.random.random_range(0..MACHINES);
            match self.random.random_range(0..150) {
                0 => self.elect(machine),
                1 => self.restart(machine),
                2..=12 => self.step_down(machine),
                _ => {}
            }
            self.confirm();
            for machine in 0..MACHINES {
                self.acquire(machine);
                self.send(machine);
            }
        }
        self
    }

    /// Elects a machine. The former leader does not hear of it yet.
    fn elect(&mut self, machine: usize) {
        self.term += 1;
        self.leader = Some(machine);
        let elected = &mut self.machines[machine];
        elected.leads = Some((self.term, self.now));
        if self.mutant == Mutant::ForgottenWithTerm {
            elected.others = OtherHolders::new(self.now - LONG_AGO);
        }
    }

    fn restart(&mut self, machine: usize) {
        self.machines[machine] = Machine::start(self.mutant, self.now);
        self.leader = self.leader.filter(|leader| *leader != machine);
    }

    /// A machine hears that it leads no more.
    fn step_down(&mut self, machine: usize) {
        if self.leader != Some(machine) {
            self.machines[machine].leads = None;
        }
    }

    /// Confirms the leader, unless its messages are delayed.
    fn confirm(&mut self) {
        let Some(leader) = self.leader.filter(|_| self.random.random_bool(0.7)) else {
            return;
        };
        if let Some((_, confirmed_at)) = &mut self.machines[leader].leads {
            *confirmed_at = self.now;
        }
    }

    /// Acquires the lock if a machine believes to lead and does not hold it in this term. Only the proposal of the machine
    /// that leads is committed, and its reply may be lost.
    fn acquire(&mut self, machine: usize) {
        let now = self.now;
        let Some((term, _)) = self.machines[machine].leads else {
            return;
        };
        let held = self.machines[machine].held.as_ref();
        if held.is_some_and(|held| held.is_held(term, 0)) {
            return;
        }
        let mut reply = None;
        if self.leader == Some(machine) {
            self.index += 1;
            let holder = format!("machine-{machine}");
            let command = ServingCommand::AcquireOrderLock { holder };
            let outcome = self.state.apply(self.index, command);
            reply = Some(outcome).filter(|_| self.random.random_bool(0.5));
        }
        let acquiring = &mut self.machines[machine];
        let Some(ServingOutcome::OrderLockAcquired { token, taken_over }) = reply else {
            if self.mutant != Mutant::UnansweredIgnored {
                acquiring.others.record_unanswered(now);
            }
            return;
        };
        acquiring.others.record_acquired(taken_over, now);
        let mut usable_from = acquiring.others.gone_at(OrderLease(LEASE));
        if self.mutant == Mutant::LeaseOnly {
            usable_from = usable_from - OrderLease(LEASE).wait() + LEASE;
        }
        acquiring.held = Some(HeldOrderLock {
            term,
            token,
            usable_from,
        });
    }

    fn send(&mut self, machine: usize) {
        let sender = &self.machines[machine];
        let (Some((term, confirmed_at)), Some(held)) = (sender.leads, &sender.held) else {
            return;
        };
        let is_usable = held.is_held(term, 0) && self.now >= held.usable_from;
        let age = self.now.saturating_duration_since(confirmed_at);
        if is_usable && OrderLease(LEASE).permits_sending(age) {
            let takes = ORDER_TIMEOUT.mul_f64(self.random.random_range(0.0..1.0));
            self.arrivals.push((self.now + takes, machine));
        }
    }

    /// Returns how often another machine's order arrived next, and how often that was too early.
    fn judge(mut self) -> (usize, usize) {
        self.arrivals.sort_unstable();
        let pairs = self.arrivals.windows(2);
        let turns = pairs.filter(|pair| pair[0].1 != pair[1].1);
        let gaps: Vec<Duration> = turns.map(|pair| pair[1].0 - pair[0].0).collect();
        let early = gaps.iter().filter(|gap| **gap < LEASE).count();
        (gaps.len(), early)
    }
}

/// Returns the turns and those that were too early, over all seeds.
fn play(mutant: Mutant) -> (usize, usize) {
    let judged = (0..SEEDS).map(|seed| World::new(seed, mutant).run().judge());
    judged.fold((0, 0), |sum, (turns, early)| (sum.0 + turns, sum.1 + early))
}

/// Guards against two control replicas whose orders arrive within a lease, in any order of elections, restarts and lost
/// replies.
#[test]
fn orders_of_two_control_replicas_arrive_a_lease_apart() {
    let (turns, early) = play(Mutant::None);
    assert!(turns as u64 > SEEDS, "{turns} turns");
    assert_eq!(early, 0, "of {turns} turns");
}

#[test]
fn the_judge_notices_each_cause() {
    let mutants = [
        Mutant::ForgottenWithTerm,
        Mutant::ForgottenAtRestart,
        Mutant::UnansweredIgnored,
        Mutant::LeaseOnly,
    ];
    for mutant in mutants {
        let (turns, early) = play(mutant);
        assert!(early > 0, "{mutant:?}: {turns} turns");
    }
}
