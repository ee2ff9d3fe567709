//! Slots in use by one request.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use railtack_clock::BootInstant;
use railtack_rpc::slots::SLOT_LEASE_TTL;
use railtack_serving::ReplicaKey;

use super::client::SlotClient;
use crate::state::lock;

/// Time for which a replica may go on with a request whose connection was closed.
const ABANDONED_TIME: Duration = Duration::from_millis(500);
/// Time for which a slot is not used again after its request was rejected: something else has taken the room.
const REJECTION_PAUSE: Duration = Duration::from_secs(2);

/// How far the request is that holds the slots.
#[derive(Clone, Copy, Debug)]
enum Progress {
    /// Not sent, or ended at the replica.
    Idle,
    /// Sent. The replica may go on with it after the connection is closed.
    Sent,
    /// The replica had no room for it.
    Rejected,
}

/// Slots in use by one request, released on drop.
#[derive(Debug)]
pub struct SlotLease {
    client: Arc<SlotClient>,
    replica: ReplicaKey,
    slots: u16,
    leased_at: BootInstant,
    progress: Mutex<Progress>,
}

impl SlotLease {
    pub(super) fn new(client: Arc<SlotClient>, replica: ReplicaKey, slots: u16) -> Self {
        Self {
            client,
            replica,
            slots,
            leased_at: BootInstant::now(),
            progress: Mutex::new(Progress::Idle),
        }
    }

    /// Key of the replica.
    pub fn replica(&self) -> ReplicaKey {
        self.replica
    }

    /// Whether the slots may still be used. The process may have been suspended since they were leased.
    pub fn is_fresh(&self) -> bool {
        self.leased_at.elapsed() < SLOT_LEASE_TTL
    }

    /// Records that the request is about to be sent.
    pub fn begin(&self) {
        *lock(&self.progress) = Progress::Sent;
    }

    /// Records that the replica is done with the request.
    pub fn finish(&self) {
        *lock(&self.progress) = Progress::Idle;
    }

    /// Records that the replica had no room.
    pub fn reject(&self) {
        *lock(&self.progress) = Progress::Rejected;
        self.client.record_rejection(self.replica);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let busy_time = match *lock(&self.progress) {
            Progress::Idle => None,
            Progress::Sent => Some(ABANDONED_TIME),
            Progress::Rejected => Some(REJECTION_PAUSE),
        };
        self.client.release(self.replica, self.slots, busy_time);
    }
}
