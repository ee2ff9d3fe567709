//! How a group at the first level records back-end replicas: another one at an address means that the former
//! one there has ended, whether it is silent or not. All members apply a command alike, so one that could do better
//! does this too for as long as the group has a member that cannot.

use railtack_consensus::LogIndex;
use railtack_rpc::serving::Registration;
use railtack_serving::ReplicaRecord;

use super::{ServingState, merge_record};

impl ServingState {
    pub(super) fn register_at_first_level(
        &mut self,
        index: LogIndex,
        mut record: ReplicaRecord,
    ) -> Registration {
        if self.has_departed(&record.id) {
            return Registration::Departed;
        }
        let holder = self.replicas.id_at_address(&record.address).cloned();
        if let Some(previous) = holder.filter(|holder| *holder != record.id) {
            self.deregister(index, &previous);
        }
        if let Some(known) = self.replicas.get(&record.id) {
            record = merge_record(known, record);
        }
        self.store_record(index, record)
    }
}
