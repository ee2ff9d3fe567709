//! The control replicas as this router reaches them with questions and commands of its own, which the
//! leader answers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_rpc::{ControlClient, ControlConnection, FeatureLevel, GroupLevel, RpcError};

use crate::state::lock;

/// Time for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The control replicas that may lead.
#[derive(Debug, Default)]
pub struct ControlPeers {
    peers: Mutex<PeerState>,
    level: GroupLevel,
}

#[derive(Debug, Default)]
struct PeerState {
    connections: BTreeMap<SocketAddr, Arc<ControlConnection>>,
    leader: Option<SocketAddr>,
}

impl ControlPeers {
    /// Takes in what the group does together.
    pub fn update_level(&self, level: FeatureLevel) {
        self.level.raise(level);
    }

    /// Whether the group grants parts and records ends. A member of a build that does not would close the
    /// connection on a question that it cannot read.
    pub fn supports_grants(&self) -> bool {
        self.level.get() >= FeatureLevel::SHARED_GRANTS
    }

    /// Takes in the present control replicas.
    pub fn set_members(&self, members: impl Iterator<Item = SocketAddr>) {
        let mut peers = self.lock();
        let former = std::mem::take(&mut peers.connections);
        for address in members {
            let kept = former.get(&address).map(Arc::clone);
            let connection =
                kept.unwrap_or_else(|| Arc::new(ControlConnection::new(address, CONNECT_TIMEOUT)));
            peers.connections.insert(address, connection);
        }
    }

    /// The replica that is believed to lead, or any.
    pub fn preferred(&self) -> Option<Arc<ControlConnection>> {
        let peers = self.lock();
        let leader = peers
            .leader
            .and_then(|leader| peers.connections.get(&leader));
        leader
            .or_else(|| peers.connections.values().next())
            .map(Arc::clone)
    }

    /// Asks the replica that is believed to lead; its answer and its address. Without an answer the next
    /// replica is asked next time.
    pub async fn call<T, F>(
        &self,
        subject: &'static str,
        call: impl FnOnce(ControlClient) -> F,
    ) -> Option<(T, SocketAddr)>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        if !self.supports_grants() {
            return None;
        }
        let connection = self.preferred()?;
        let address = connection.address();
        match connection.call(call).await {
            Ok(reply) => Some((reply, address)),
            Err(report) => {
                spdlog::info!("question to the leader unanswered", kv: {
                    subject,
                    address = address.to_string(),
                    cause = report.to_string(),
                });
                self.advance_from(address);
                None
            }
        }
    }

    /// Notes that a replica leads.
    pub fn set_leader(&self, leader: SocketAddr) {
        self.lock().leader = Some(leader);
    }

    /// Goes on to the replica behind `address`.
    pub fn advance_from(&self, address: SocketAddr) {
        let mut peers = self.lock();
        let mut later = peers
            .connections
            .keys()
            .skip_while(|next| **next <= address);
        peers.leader = later.next().copied();
    }

    /// Goes by what a replica that does not lead said of the leader.
    pub fn follow_redirect(&self, address: SocketAddr, leader: Option<String>) {
        let redirect = leader.and_then(|leader| leader.parse().ok());
        match redirect {
            Some(leader) if leader != address => self.set_leader(leader),
            _ => self.advance_from(address),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        lock(&self.peers)
    }
}
