//! Sending messages of the replicated log to the other replicas.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    time::Duration,
};

use railtack_consensus::{Membership, Message, ReplicaId};
use railtack_rpc::{ControlConnection, PeerInfo, call_context};
use tokio::{runtime::Handle, sync::mpsc};

use crate::metrics::ControlMetrics;

/// Messages that may wait for one peer; more are dropped, which the log tolerates.
const PEER_QUEUE_CAPACITY: usize = 64;
/// Time for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for delivering one message; a snapshot is the largest.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

struct Peer {
    address: String,
    queue: mpsc::Sender<Message>,
}

/// One queue and one connection for each other replica.
pub struct Peers {
    runtime: Handle,
    metrics: ControlMetrics,
    own_address: String,
    peers: BTreeMap<ReplicaId, Peer>,
    /// Where each replica was last heard from. A replica that is not a member yet knows no
    /// membership, and answers the leader there.
    observed_addresses: BTreeMap<ReplicaId, String>,
}

impl Peers {
    /// Queues that are drained by tasks on `runtime`.
    pub fn new(runtime: Handle, metrics: ControlMetrics, own_address: SocketAddr) -> Self {
        Self {
            runtime,
            metrics,
            own_address: own_address.to_string(),
            peers: BTreeMap::new(),
            observed_addresses: BTreeMap::new(),
        }
    }

    /// Notes where a replica can be answered.
    pub fn record_address(&mut self, replica: ReplicaId, address: String) {
        self.observed_addresses.insert(replica, address);
    }

    /// Queues messages in order; those for replicas without a known address are dropped.
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
            let queue = spawn_delivery(&self.runtime, socket, self.own_address.clone());
            Peer { address, queue }
        };
        let peer = match self.peers.entry(message.to) {
            Entry::Occupied(known) if known.get().address == address => known.into_mut(),
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
    own_address: String,
) -> mpsc::Sender<Message> {
    let (sender, mut receiver) = mpsc::channel::<Message>(PEER_QUEUE_CAPACITY);
    runtime.spawn(async move {
        let connection = ControlConnection::new(address, CONNECT_TIMEOUT);
        while let Some(message) = receiver.recv().await {
            let sender = PeerInfo::local(own_address.clone());
            // A lost message is sent again by the log's own timers.
            let delivered = connection
                .call(|client| async move {
                    client
                        .deliver(call_context(DELIVERY_TIMEOUT), message, sender)
                        .await
                })
                .await;
            if delivered.is_err() {
                // What waited for a peer that is away is out of date once it is back.
                while receiver.try_recv().is_ok() {}
            }
        }
    });
    sender
}
