//! A network that delays, loses, repeats and reorders, with one-way cuts.

use std::collections::BTreeSet;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// An end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control replica.
    Replica(u32),
    /// A router.
    Router(u32),
    /// An operator.
    Operator(u32),
    /// An engine.
    Engine(u32),
}

/// How badly the network behaves.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    /// Longest ordinary delay, milliseconds.
    pub max_delay: u64,
    /// Share of messages that are delayed for much longer.
    pub late_probability: f64,
    /// Longest such delay, milliseconds.
    pub max_late_delay: u64,
    /// Share of messages lost.
    pub loss_probability: f64,
    /// Share of messages repeated.
    pub duplicate_probability: f64,
}

/// The network.
#[derive(Debug)]
pub struct Network {
    options: NetworkOptions,
    cuts: BTreeSet<(Node, Node)>,
    random: ChaCha8Rng,
}

impl Network {
    /// A whole network.
    pub fn new(options: NetworkOptions, random: ChaCha8Rng) -> Self {
        Self {
            options,
            cuts: BTreeSet::new(),
            random,
        }
    }

    /// Ends every loss and delay but the ordinary ones, and mends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.options.late_probability = 0.0;
        self.options.loss_probability = 0.0;
    }

    /// Cuts one direction.
    pub fn cut(&mut self, from: Node, to: Node) {
        self.cuts.insert((from, to));
    }

    /// Mends both directions.
    pub fn reconnect(&mut self, one: Node, other: Node) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Whether nothing gets through in this direction.
    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Delays after which copies of a message arrive; none if it is lost.
    pub fn datagram_delays(&mut self, from: Node, to: Node) -> Vec<u64> {
        let mut arrivals: Vec<u64> = self.connection_delay(from, to).into_iter().collect();
        if !arrivals.is_empty() && self.random.random_bool(self.options.duplicate_probability) {
            arrivals.push(self.draw_delay());
        }
        arrivals
    }

    /// Delay after which a call or answer on a connection arrives, if it does; never repeated.
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
