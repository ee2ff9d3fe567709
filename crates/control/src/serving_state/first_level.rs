//! Registration at the first feature level: a replica that registers at an address replaces the one
//! recorded there, whether that one is silent or not. All members of a group have to apply commands
//! alike, so newer builds do this as long as the group is at that level.

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
