//! Calls to the leader of the control group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use railtack_rpc::{ControlClient, ControlConnection, FeatureLevel, GroupLevel, RpcError};

use crate::state::lock;

/// Timeout for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connections to the control replicas, one of which is presumed to lead.
#[derive(Debug, Default)]
pub struct ControlPeers {
    peers: Mutex<PeerState>,
    level: GroupLevel,
}

#[derive(Debug, Default)]
struct PeerState {
    connections: BTreeMap<SocketAddr, Arc<ControlConnection>>,
    leader: Option<SocketAddr>,
    /// The member that this router watches.
    nearest: Option<SocketAddr>,
}

impl ControlPeers {
    /// Updates the feature level of the group.
    pub fn update_level(&self, level: FeatureLevel) {
        self.level.raise(level);
    }

    /// Whether the group supports grants and crash reports. A member of a previous build would
    /// close the connection on a request that it cannot decode.
    pub fn supports_grants(&self) -> bool {
        self.level.get() >= FeatureLevel::SHARED_GRANTS
    }

    /// Returns the feature level of the group.
    pub fn level(&self) -> FeatureLevel {
        self.level.get()
    }

    /// Whether the group supports paces, speeds and urgencies.
    pub fn supports_load_reports(&self) -> bool {
        self.level.get() >= FeatureLevel::LOAD_REPORTS
    }

    /// Whether the group records software versions and remembers where streams began.
    pub fn remembers_streams(&self) -> bool {
        self.level.get() >= FeatureLevel::SOFTWARE_VERSIONS
    }

    /// Whether the group records prompt segments under which replicas crash.
    pub fn records_prompt_segments(&self) -> bool {
        self.level.get() >= FeatureLevel::PROMPT_SEGMENTS
    }

    /// Whether the leader leases slots of replicas that withstand few rejections.
    pub fn supports_slot_leases(&self) -> bool {
        self.level.get() >= FeatureLevel::SLOT_LEASES
    }

    /// Sets the member that this router watches.
    pub fn set_nearest(&self, address: SocketAddr) {
        self.lock().nearest = Some(address);
    }

    /// Returns the connections to all members: first the watched one, then the others in a fixed order from there.
    pub fn nearest_first(&self) -> Vec<Arc<ControlConnection>> {
        let peers = self.lock();
        let nearest = peers.nearest;
        let (before, from) = peers
            .connections
            .iter()
            .partition::<Vec<_>, _>(|(address, _)| Some(**address) < nearest);
        let members = from.into_iter().chain(before);
        members
            .map(|(_, connection)| Arc::clone(connection))
            .collect()
    }

    /// Sets the members of the group; keeps connections to existing members.
    pub fn set_members(&self, members: impl Iterator<Item = SocketAddr>) {
        let mut peers = self.lock();
        let previous = std::mem::take(&mut peers.connections);
        for address in members {
            let kept = previous.get(&address).map(Arc::clone);
            let connection =
                kept.unwrap_or_else(|| Arc::new(ControlConnection::new(address, CONNECT_TIMEOUT)));
            peers.connections.insert(address, connection);
        }
    }

    /// Returns the connection to the presumed leader, or to any member.
    pub fn preferred(&self) -> Option<Arc<ControlConnection>> {
        let peers = self.lock();
        let leader = peers
            .leader
            .and_then(|leader| peers.connections.get(&leader));
        leader
            .or_else(|| peers.connections.values().next())
            .map(Arc::clone)
    }

    /// Calls the presumed leader; returns the reply and the address it came from. After a failure,
    /// the next call goes to the next member.
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
                spdlog::info!("request to the leader failed", kv: {
                    subject,
                    address = address.to_string(),
                    cause = report.to_string(),
                });
                self.advance_from(address);
                None
            }
        }
    }

    /// Sets the presumed leader.
    pub fn set_leader(&self, leader: SocketAddr) {
        self.lock().leader = Some(leader);
    }

    /// Selects the member after `address`.
    pub fn advance_from(&self, address: SocketAddr) {
        let mut peers = self.lock();
        let mut later = peers
            .connections
            .keys()
            .skip_while(|next| **next <= address);
        peers.leader = later.next().copied();
    }

    /// Follows a reply of `address` that it does not lead.
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
