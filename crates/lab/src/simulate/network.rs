//! Simulated network with delays, loss, duplication, reordering and one-way partitions.

use std::collections::BTreeSet;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A process of the simulated system, as an endpoint of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control replica, by its number.
    Replica(u32),
    /// A router, by its number.
    Router(u32),
    /// An operator, by its position.
    Operator(u32),
    /// An engine, by its number.
    Engine(u32),
}

/// Delay and fault probabilities of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    /// Maximum normal delay, milliseconds.
    pub max_delay: u64,
    /// Probability that a message is delayed by up to `max_late_delay` instead.
    pub late_probability: f64,
    /// Maximum delay of a late message, milliseconds.
    pub max_late_delay: u64,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Probability that a message between replicas arrives twice.
    pub duplicate_probability: f64,
}

/// The simulated network and its open partitions.
#[derive(Debug)]
pub struct Network {
    options: NetworkOptions,
    cuts: BTreeSet<(Node, Node)>,
    random: ChaCha8Rng,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(options: NetworkOptions, random: ChaCha8Rng) -> Self {
        Self {
            options,
            cuts: BTreeSet::new(),
            random,
        }
    }

    /// Removes all partitions and stops loss and late delivery; duplication stays.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.options.late_probability = 0.0;
        self.options.loss_probability = 0.0;
    }

    /// Blocks messages in one direction.
    pub fn cut(&mut self, from: Node, to: Node) {
        self.cuts.insert((from, to));
    }

    /// Unblocks both directions between two nodes.
    pub fn reconnect(&mut self, one: Node, other: Node) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Whether messages in this direction are blocked.
    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Delays of a datagram's copies, milliseconds; empty if it is lost.
    pub fn datagram_delays(&mut self, from: Node, to: Node) -> Vec<u64> {
        let mut arrivals: Vec<u64> = self.connection_delay(from, to).into_iter().collect();
        if !arrivals.is_empty() && self.random.random_bool(self.options.duplicate_probability) {
            arrivals.push(self.draw_delay());
        }
        arrivals
    }

    /// Delay of a call or reply on a connection, milliseconds; `None` if it is lost. Never duplicated.
    pub fn connection_delay(&mut self, from: Node, to: Node) -> Option<u64> {
        let lost = self.is_cut(from, to) || self.random.random_bool(self.options.loss_probability);
        (!lost).then(|| self.draw_delay())
    }

    fn draw_delay(&mut self) -> u64 {
        if self.random.random_bool(self.options.late_probability) {
            return self.random.random_range(0..=self.options.max_late_delay);
        }
        self.random.random_range(1..=self.options.max_delay)
    }
}
