//! Numbers of the incarnations of back ends that report none. Pure.

use std::{collections::HashMap, net::SocketAddr};

/// Maximum number of remembered addresses, 160 KB.
const MAX_ADDRESSES: usize = 4_096;

/// Incarnations of back ends by address, as told apart by the crashes that this router observes.
#[derive(Debug, Default)]
pub struct BackendIncarnations {
    /// Number of the incarnation after the last crash at each address.
    numbers: HashMap<SocketAddr, u64>,
    /// Number of the latest incarnation that was forgotten.
    forgotten: u64,
    crashes: u64,
}

impl BackendIncarnations {
    /// Returns the number of the present incarnation.
    pub fn number(&self, address: SocketAddr) -> u64 {
        let number = self.numbers.get(&address);
        number.copied().unwrap_or(self.forgotten)
    }

    /// Records a crash at an address. The numbers of all addresses come from one sequence, so that an address that
    /// was forgotten gets no number twice.
    pub fn record_crash(&mut self, address: SocketAddr) {
        self.crashes += 1;
        if self.numbers.len() >= MAX_ADDRESSES && !self.numbers.contains_key(&address) {
            self.forget_oldest();
        }
        self.numbers.insert(address, self.crashes);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.numbers.iter().min_by_key(|(_, number)| **number);
        if let Some((address, number)) = oldest.map(|(address, number)| (*address, *number)) {
            self.numbers.remove(&address);
            self.forgotten = number;
        }
    }
}
