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
    known: Mutex<Known>,
    level: GroupLevel,
}

#[derive(Debug, Default)]
struct Known {
    connections: BTreeMap<SocketAddr, Arc<ControlConnection>>,
    leader: Option<SocketAddr>,
}

impl ControlPeers {
    /// Takes in what the group does together.
    pub fn learn_level(&self, told: FeatureLevel) {
        self.level.raise(told);
    }

    /// Whether the group grants parts and records ends. A member of a build that does not would close the
    /// connection on a question that it cannot read.
    pub fn grants(&self) -> bool {
        self.level.get() >= FeatureLevel::SHARED_GRANTS
    }

    /// Takes in the present control replicas.
    pub fn learn(&self, members: impl Iterator<Item = SocketAddr>) {
        let mut known = self.lock();
        let former = std::mem::take(&mut known.connections);
        for address in members {
            let kept = former.get(&address).map(Arc::clone);
            let connection =
                kept.unwrap_or_else(|| Arc::new(ControlConnection::new(address, CONNECT_TIMEOUT)));
            known.connections.insert(address, connection);
        }
    }

    /// The replica that is believed to lead, or any.
    pub fn target(&self) -> Option<Arc<ControlConnection>> {
        let known = self.lock();
        let leader = known
            .leader
            .and_then(|leader| known.connections.get(&leader));
        leader
            .or_else(|| known.connections.values().next())
            .map(Arc::clone)
    }

    /// Asks the replica that is believed to lead; its answer and its address. Without an answer the next
    /// replica is asked next time.
    pub async fn ask<T, F>(
        &self,
        subject: &'static str,
        call: impl FnOnce(ControlClient) -> F,
    ) -> Option<(T, SocketAddr)>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        if !self.grants() {
            return None;
        }
        let connection = self.target()?;
        let asked = connection.address();
        match connection.call(call).await {
            Ok(reply) => Some((reply, asked)),
            Err(report) => {
                spdlog::info!("question to the leader unanswered", kv: {
                    subject,
                    address = asked.to_string(),
                    cause = report.to_string(),
                });
                self.leave(asked);
                None
            }
        }
    }

    /// Notes that a replica leads.
    pub fn leads(&self, leader: SocketAddr) {
        self.lock().leader = Some(leader);
    }

    /// Goes on to the replica behind `address`.
    pub fn leave(&self, address: SocketAddr) {
        let mut known = self.lock();
        let mut later = known
            .connections
            .keys()
            .skip_while(|next| **next <= address);
        known.leader = later.next().copied();
    }

    /// Goes by what a replica that does not lead said of the leader.
    pub fn follow(&self, asked: SocketAddr, leader: Option<String>) {
        let told = leader.and_then(|leader| leader.parse().ok());
        match told {
            Some(leader) if leader != asked => self.leads(leader),
            _ => self.leave(asked),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        lock(&self.known)
    }
}
