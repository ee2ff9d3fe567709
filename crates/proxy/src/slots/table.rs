//! Slots that a router holds. Pure: times are passed in.

use std::{collections::HashMap, time::Duration};

use railtack_rpc::slots::{HeldSlots, SlotCandidate};
use railtack_serving::{MonotonicTime, ReplicaKey};

/// Time for which an unused slot is kept if others do not need it.
const KEEP_TIME: Duration = Duration::from_secs(1);

/// Slots at one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    in_use: u16,
    kept: u16,
    used_at: MonotonicTime,
    /// Whether others need a slot as soon as it is free.
    is_scarce: bool,
    /// Time before which the leader is not asked again.
    denied_until: MonotonicTime,
    /// Time at which the leader expects to have a slot.
    expected_at: MonotonicTime,
}

/// Slots that count as in use after their request.
#[derive(Clone, Copy, Debug)]
struct LingeringSlots {
    replica: ReplicaKey,
    slots: u16,
    until: MonotonicTime,
}

/// Slots by replica.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    replicas: HashMap<ReplicaKey, Slots>,
    lingering: Vec<LingeringSlots>,
    /// End of the leases of unused slots.
    expires_at: MonotonicTime,
}

impl SlotTable {
    /// Takes kept slots of the first candidate that has enough.
    pub fn take(
        &mut self,
        candidates: &[SlotCandidate],
        now: MonotonicTime,
    ) -> Option<(ReplicaKey, u16)> {
        self.update(now);
        for candidate in candidates {
            let needed = candidate.needed.clamp(1, candidate.slots.max(1));
            let slots = self.replicas.get_mut(&candidate.replica);
            if let Some(slots) = slots.filter(|slots| slots.kept >= needed) {
                slots.kept -= needed;
                slots.in_use += needed;
                return Some((candidate.replica, needed));
            }
        }
        None
    }

    /// Adds leased slots, which are in use at once.
    pub fn add(&mut self, replica: ReplicaKey, leased: u16, is_scarce: bool) {
        let slots = self.replicas.entry(replica).or_default();
        slots.in_use += leased;
        slots.is_scarce = is_scarce;
    }

    /// Releases slots of a request that ended, which may still run until `busy_until`.
    pub fn release(
        &mut self,
        replica: ReplicaKey,
        slots: u16,
        busy_until: Option<MonotonicTime>,
        now: MonotonicTime,
    ) {
        match busy_until {
            Some(until) => self.lingering.push(LingeringSlots {
                replica,
                slots,
                until,
            }),
            None => self.keep(replica, slots, now),
        }
    }

    fn keep(&mut self, replica: ReplicaKey, released: u16, now: MonotonicTime) {
        let slots = self.replicas.entry(replica).or_default();
        let released = released.min(slots.in_use);
        slots.in_use -= released;
        slots.used_at = now;
        if now < self.expires_at {
            slots.kept += released;
        }
    }

    /// Records that the leases hold until `expires_at` unless they are renewed.
    pub fn renew(&mut self, expires_at: MonotonicTime) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Records that the leader had no slot of a replica. It expects one at `expected_at` and is not asked before `until`.
    pub fn deny(&mut self, replica: ReplicaKey, until: MonotonicTime, expected_at: MonotonicTime) {
        let slots = self.replicas.entry(replica).or_default();
        slots.denied_until = slots.denied_until.max(until);
        slots.expected_at = expected_at;
    }

    /// Time until a slot of a replica is expected.
    pub fn expected_in(&self, replica: ReplicaKey, now: MonotonicTime) -> Duration {
        let slots = self.replicas.get(&replica);
        slots.map_or(Duration::ZERO, |slots| {
            slots.expected_at.saturating_sub(now)
        })
    }

    /// Time until a slot of a replica may be requested or is kept.
    pub fn available_in(&self, replica: ReplicaKey, now: MonotonicTime) -> Duration {
        let slots = self.replicas.get(&replica).copied().unwrap_or_default();
        if slots.kept > 0 && now < self.expires_at {
            return Duration::ZERO;
        }
        slots.denied_until.saturating_sub(now)
    }

    /// Returns all slots that are still needed, and gives up the others.
    pub fn held(&mut self, now: MonotonicTime) -> Vec<HeldSlots> {
        self.update(now);
        for slots in self.replicas.values_mut() {
            if slots.is_returned(now) {
                slots.kept = 0;
            }
        }
        self.replicas
            .retain(|_, slots| slots.in_use > 0 || slots.kept > 0 || now < slots.denied_until);
        let held = self.replicas.iter();
        let held = held.filter(|(_, slots)| slots.in_use + slots.kept > 0);
        held.map(|(replica, slots)| HeldSlots {
            replica: *replica,
            in_use: slots.in_use,
            kept: slots.kept,
        })
        .collect()
    }

    /// Whether a slot is held that others need.
    pub fn has_returns(&mut self, now: MonotonicTime) -> bool {
        self.update(now);
        let mut replicas = self.replicas.values();
        replicas.any(|slots| slots.kept > 0 && slots.is_returned(now))
    }

    /// Whether any slot is held.
    pub fn is_empty(&self) -> bool {
        let mut replicas = self.replicas.values();
        !replicas.any(|slots| slots.in_use + slots.kept > 0)
    }

    fn update(&mut self, now: MonotonicTime) {
        if now >= self.expires_at {
            for slots in self.replicas.values_mut() {
                slots.kept = 0;
            }
        }
        let (ended, lingering) = self
            .lingering
            .drain(..)
            .partition(|slots: &LingeringSlots| now >= slots.until);
        self.lingering = lingering;
        for slots in ended {
            self.keep(slots.replica, slots.slots, now);
        }
    }
}

impl Slots {
    fn is_returned(&self, now: MonotonicTime) -> bool {
        self.is_scarce || now >= self.used_at + KEEP_TIME
    }
}
