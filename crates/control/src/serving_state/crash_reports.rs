//! Which replicas routers say to have ended, and which of them came back.
//!
//! One router's path to a replica may break though the replica lives, so two must say so that lost
//! requests there. Two paths may be broken as well: a replica that sends a heartbeat in the same life was
//! not gone, and reports of its end are not believed again, so that it is kept from others once at most.
//!
//! Buys 0.03 of what callers are owed (four seeds of a day on which a quarter of the engines crashes every
//! five seconds, seven routers). *Weighed:* reports of routers that merely could not connect; they cost
//! 0.02 while 30% of the routers' paths are refused, and bought nothing more on that day.

use std::collections::BTreeMap;

use railtack_serving::ReplicaKey;
use speedy::{Readable, Writable};

/// Replicas that are remembered; more than end within some heartbeats.
const MAX_REPORTS: usize = 1_024;

/// What is known of the end of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
enum CrashReport {
    /// One router says so.
    Reported {
        /// That router.
        reporter: String,
    },
    /// Two routers say so; it was removed.
    Removed,
    /// It was removed and came back in the same life.
    Recovered,
}

/// Reports by replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct CrashReports {
    reports: BTreeMap<ReplicaKey, CrashReport>,
}

impl CrashReports {
    /// Takes in what a router says; true if the replica is to be removed now.
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

    /// Whether a replica was removed because its end was believed.
    pub fn has_removed(&self, replica: ReplicaKey) -> bool {
        self.reports.get(&replica) == Some(&CrashReport::Removed)
    }

    /// Notes that a replica whose end was believed is there in the same life.
    pub fn mark_recovered(&mut self, replica: ReplicaKey) {
        self.reports.insert(replica, CrashReport::Recovered);
    }
}
