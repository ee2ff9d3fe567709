//! Reports by routers that back-end replicas crashed.
//!
//! One router's path to a replica may fail although the replica is alive, so a replica is removed
//! only after two routers have reported that they lost requests there. If it sends a heartbeat in
//! the same incarnation afterwards, the reports were wrong, and further ones about it are ignored.

use std::collections::BTreeMap;

use railtack_serving::ReplicaKey;
use speedy::{Readable, Writable};

/// Replicas for which reports are kept.
const MAX_REPORTS: usize = 1_024;

/// What has been reported about one replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
enum CrashReport {
    /// One router reported the crash.
    Reported {
        /// The router.
        reporter: String,
    },
    /// Two routers reported the crash, and the replica was removed.
    Removed,
    /// The replica was removed and returned in the same incarnation.
    Recovered,
}

/// Crash reports by replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct CrashReports {
    reports: BTreeMap<ReplicaKey, CrashReport>,
}

impl CrashReports {
    /// Records a report; returns true if the replica is to be removed now.
    pub fn record(&mut self, replica: ReplicaKey, reporter: String) -> bool {
        match self.reports.get(&replica) {
            None => {
                if self.reports.len() >= MAX_REPORTS {
                    self.reports.pop_first();
                }
                self.reports
                    .insert(replica, CrashReport::Reported { reporter });
                false
            }
            Some(CrashReport::Reported { reporter: first }) if *first != reporter => {
                self.reports.insert(replica, CrashReport::Removed);
                true
            }
            Some(_) => false,
        }
    }

    pub fn has_removed(&self, replica: ReplicaKey) -> bool {
        self.reports.get(&replica) == Some(&CrashReport::Removed)
    }

    /// Records that a removed replica returned in the same incarnation.
    pub fn mark_recovered(&mut self, replica: ReplicaKey) {
        self.reports.insert(replica, CrashReport::Recovered);
    }
}
