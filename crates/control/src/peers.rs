//! Transport of messages of the replicated log to other replicas.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use railtack_consensus::{Membership, Message, ReplicaId};
use railtack_rpc::{ControlConnection, PeerInfo, call_context};
use tokio::{runtime::Handle, sync::mpsc};

use crate::metrics::ControlMetrics;

/// Capacity of a peer's queue. Further messages are dropped, which the log tolerates.
const PEER_QUEUE_CAPACITY: usize = 64;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for delivering a message, including a snapshot.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

struct Peer {
    address: String,
    queue: mpsc::Sender<Message>,
}

/// Connections to the other replicas, each with a queue.
pub struct Peers {
    runtime: Handle,
    metrics: ControlMetrics,
    local_address: String,
    peers: BTreeMap<ReplicaId, Peer>,
    /// Address from which each replica last sent a message. Lets a replica that has no membership yet
    /// reply to the leader.
    observed_addresses: BTreeMap<ReplicaId, String>,
}

impl Peers {
    /// Creates peers whose messages are delivered by tasks on `runtime`.
    pub fn new(runtime: Handle, metrics: ControlMetrics, local_address: SocketAddr) -> Self {
        Self {
            runtime,
            metrics,
            local_address: local_address.to_string(),
            peers: BTreeMap::new(),
            observed_addresses: BTreeMap::new(),
        }
    }

    /// Records the address from which a replica sent a message.
    pub fn record_address(&mut self, replica: ReplicaId, address: String) {
        self.observed_addresses.insert(replica, address);
    }

    /// Queues messages in order. Drops those for replicas without a known address.
    pub fn send(&mut self, messages: Vec<Message>, membership: &Membership) {
        for message in messages {
            let address = membership
                .member(message.to)
                .map(|member| member.address.clone());
            let target = address.or_else(|| self.observed_addresses.get(&message.to).cloned());
            match target {
                Some(address) => self.enqueue(address, message),
                None => {
                    self.metrics.dropped_messages.inc();
                }
            }
        }
    }

    fn enqueue(&mut self, address: String, message: Message) {
        let Ok(socket) = address.parse::<SocketAddr>() else {
            self.metrics.dropped_messages.inc();
            return;
        };
        let new_peer = |address: String| {
            let queue = spawn_delivery(&self.runtime, socket, self.local_address.clone());
            Peer { address, queue }
        };
        let peer = match self.peers.entry(message.to) {
            Entry::Occupied(current) if current.get().address == address => current.into_mut(),
            Entry::Occupied(mut moved) => {
                moved.insert(new_peer(address));
                moved.into_mut()
            }
            Entry::Vacant(new) => new.insert(new_peer(address)),
        };
        if peer.queue.try_send(message).is_err() {
            self.metrics.dropped_messages.inc();
        }
    }
}

fn spawn_delivery(
    runtime: &Handle,
    address: SocketAddr,
    local_address: String,
) -> mpsc::Sender<Message> {
    let (sender, mut receiver) = mpsc::channel::<Message>(PEER_QUEUE_CAPACITY);
    runtime.spawn(async move {
        let connection = ControlConnection::new(address, CONNECT_TIMEOUT);
        while let Some(message) = receiver.recv().await {
            let sender = PeerInfo::local(local_address.clone());
            // The log's timers resend lost messages.
            let delivered = connection
                .call(|client| async move {
                    client
                        .deliver(call_context(DELIVERY_TIMEOUT), message, sender)
                        .await
                })
                .await;
            if delivered.is_err() {
                // Messages queued for an unreachable peer would be out of date on reconnect.
                while receiver.try_recv().is_ok() {}
            }
        }
    });
    sender
}
