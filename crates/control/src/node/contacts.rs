//! Replicas that take this one for a member with a former data folder.
//!
//! A replica that lost its data knows only the seeds of its settings. The members of its group still know its address and
//! send to it. Nothing of these messages may be used, since they rely on votes or entries that are lost, but their senders
//! know where the group is.

use std::collections::BTreeMap;

use railtack_consensus::{DiskId, Message, Millis, ReplicaId};

/// Time for which a contact is known after its last message, milliseconds. Members send several messages a second.
const CONTACT_TTL_MS: Millis = 3_000;
/// Largest number of contacts; more than a group has members.
const MAX_CONTACTS: usize = 16;

/// Internal addresses of the senders, with the times of their last messages.
#[derive(Debug, Default)]
pub struct GroupContacts {
    last_messages: BTreeMap<String, Millis>,
}

impl GroupContacts {
    /// Records the sender of a message if it is addressed to another replica or data folder than the local one.
    pub fn record(
        &mut self,
        message: &Message,
        sender: &str,
        local: (ReplicaId, DiskId),
        now: Millis,
    ) {
        if (message.to, message.to_disk) == local {
            return;
        }
        let is_known = self.last_messages.contains_key(sender);
        if is_known || self.last_messages.len() < MAX_CONTACTS {
            self.last_messages.insert(sender.to_owned(), now);
        }
    }

    /// Returns the addresses from which messages came recently.
    pub fn recent(&mut self, now: Millis) -> Vec<String> {
        self.last_messages
            .retain(|_, last_message| now < *last_message + CONTACT_TTL_MS);
        self.last_messages.keys().cloned().collect()
    }
}
