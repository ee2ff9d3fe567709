//! Control replicas that a router knows, and the choice of the one to watch.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Bound,
    sync::Arc,
    time::Duration,
};

use railtack_rpc::{ControlConnection, serving::WatchReply};

use super::outcome::WatchOutcome;

/// Timeout for connecting to a control replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Control replicas that can be contacted.
pub(super) struct ControlTargets {
    connections: BTreeMap<SocketAddr, Arc<ControlConnection>>,
    zones: BTreeMap<SocketAddr, String>,
    /// Control replicas that failed to reply last time.
    unresponsive: BTreeSet<SocketAddr>,
    /// What the last request to each control replica brought.
    outcomes: BTreeMap<SocketAddr, WatchOutcome>,
    current: Option<SocketAddr>,
}

impl ControlTargets {
    pub(super) fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut targets = Self {
            connections: BTreeMap::new(),
            zones: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            current: None,
        };
        targets.add(seeds);
        targets
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.connections.keys().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn add(&mut self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            self.connection(address);
        }
    }

    pub(super) fn current(&mut self) -> Option<SocketAddr> {
        if self.current.is_none() {
            // Spreads routers that start together over the control replicas.
            let position = rand::random_range(0..self.connections.len().max(1));
            self.current = self.connections.keys().nth(position).copied();
        }
        self.current
    }

    pub(super) fn connection(&mut self, address: SocketAddr) -> Arc<ControlConnection> {
        let connection = self
            .connections
            .entry(address)
            .or_insert_with(|| Arc::new(ControlConnection::new(address, CONNECT_TIMEOUT)));
        Arc::clone(connection)
    }

    /// Switches to the next control replica.
    pub(super) fn advance_from(&mut self, address: SocketAddr) {
        let later = self
            .connections
            .range((Bound::Excluded(address), Bound::Unbounded));
        let next = later.map(|(address, _)| *address).next();
        self.current = next.or_else(|| self.connections.keys().next().copied());
    }

    /// Records what a request brought, and logs it if it differs from what the last one brought.
    pub(super) fn record_outcome(&mut self, address: SocketAddr, outcome: WatchOutcome) {
        let previous = self.outcomes.insert(address, outcome);
        if previous != Some(outcome) {
            spdlog::info!("control reply changed", kv: {
                address = address.to_string(),
                outcome = outcome.name(),
                previous = previous.map_or("none", WatchOutcome::name),
            });
        }
    }

    pub(super) fn mark_unresponsive(&mut self, address: SocketAddr) {
        self.unresponsive.insert(address);
    }

    /// Adds the members that a reply names. Drops the others if the reply is confirmed: an unconfirmed one may name
    /// former members.
    pub(super) fn update_members(
        &mut self,
        address: SocketAddr,
        reply: &WatchReply,
        is_confirmed: bool,
    ) {
        self.unresponsive.remove(&address);
        self.zones.insert(address, reply.zone.clone());
        let members: Vec<SocketAddr> = reply
            .members
            .iter()
            .filter_map(|member| member.parse().ok())
            .collect();
        if is_confirmed && !members.is_empty() {
            self.retain(&members, address);
        }
        self.add(members);
    }

    /// Drops all control replicas but `members` and `watched`.
    fn retain(&mut self, members: &[SocketAddr], watched: SocketAddr) {
        self.connections
            .retain(|known, _| members.contains(known) || *known == watched);
        self.zones.retain(|known, _| members.contains(known));
        self.unresponsive.retain(|known| members.contains(known));
        self.outcomes
            .retain(|known, _| members.contains(known) || *known == watched);
    }

    /// Whether no better control replica is known. Records are only requested from a settled
    /// control replica; each one contacted on the way would send the first records of the fleet. That made up more
    /// than a third of the bytes between zones when 985 routers that know 10,000 replicas restarted once.
    pub(super) fn is_settled(&self, zone: &str, address: SocketAddr) -> bool {
        self.zones.contains_key(&address) && self.preferred(zone, address).is_none()
    }

    /// Returns a responsive control replica in the router's zone, or in one that is not known yet.
    fn preferred(&self, zone: &str, address: SocketAddr) -> Option<SocketAddr> {
        self.candidates(zone, address)
            .find(|candidate| !self.unresponsive.contains(candidate))
    }

    fn candidates(&self, zone: &str, address: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let in_zone = self.zones.get(&address).is_some_and(|known| known == zone);
        let others = self.connections.keys().copied();
        others.filter(move |candidate| {
            let known = self.zones.get(candidate);
            !in_zone && *candidate != address && known.is_none_or(|known| known == zone)
        })
    }

    /// Switches to a control replica in the router's zone or in an unknown one. Unresponsive ones
    /// are the last choice.
    pub(super) fn prefer_zone(&mut self, zone: &str, address: SocketAddr) {
        let any = self.candidates(zone, address).next();
        if let Some(preferred) = self.preferred(zone, address).or(any) {
            self.current = Some(preferred);
        }
    }
}
