//! Routers that can be asked for connections to replicas. Pure.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use railtack_rpc::relay::{RelayOffer, RelaySearch};
use tokio::time::Instant;

/// Time for which a peer that gave no connection is asked last.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer that gave a connection is kept and asked first.
const TRUST_TIME: Duration = Duration::from_secs(5);
/// Time after a connection that no peer gave for which the router searches for others.
const SEARCH_TIME: Duration = Duration::from_secs(2);

/// A router that opens connections to replicas for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Name of the router.
    pub router: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
}

/// The peers known to this router.
#[derive(Debug, Default)]
pub struct RelayPeers {
    offered: Vec<RelayPeer>,
    /// Peers that gave a connection, and the time of the last one.
    proven: HashMap<SocketAddr, (RelayPeer, Instant)>,
    /// Time until which a peer is asked last.
    avoided_until: HashMap<SocketAddr, Instant>,
    /// When no peer gave a connection the last time.
    without_way_at: Option<Instant>,
}

/// How soon a peer is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// It gave a connection recently.
    Proven,
    /// Nothing is known of it.
    Unknown,
    /// It gave none recently.
    Avoided,
}

impl RelayPeers {
    /// Replaces the offered peers by those that the control group offers now. Offers with an invalid address are skipped.
    /// Returns whether they are others than before.
    pub fn set_offers(&mut self, offers: Vec<RelayOffer>, now: Instant) -> bool {
        let offered = offers.into_iter().filter_map(|offer| {
            let address = offer.address.parse().ok()?;
            let router = offer.router;
            Some(RelayPeer { router, address })
        });
        let offered: Vec<RelayPeer> = offered.collect();
        self.avoided_until.retain(|_, until| now < *until);
        self.proven
            .retain(|_, (_, at)| is_within(TRUST_TIME, *at, now));
        let has_changed = offered != self.offered;
        self.offered = offered;
        has_changed
    }

    /// Returns the names of the offered peers.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.offered.iter().map(|peer| peer.router.as_str())
    }

    /// Returns the peers to ask for one connection, in order: those that gave one recently come first, those that gave
    /// none last. `seed` is random.
    pub fn to_ask(&self, seed: u64, now: Instant) -> Vec<RelayPeer> {
        let proven = self.proven.values();
        let mut ordered: Vec<RelayPeer> = proven
            .filter(|(_, at)| is_within(TRUST_TIME, *at, now))
            .map(|(peer, _)| peer.clone())
            .collect();
        ordered.extend(self.offered.iter().cloned());
        ordered.sort_by_key(|peer| peer.address);
        ordered.dedup_by_key(|peer| peer.address);
        if !ordered.is_empty() {
            let first = (seed % ordered.len() as u64) as usize;
            ordered.rotate_left(first);
        }
        ordered.sort_by_key(|peer| self.preference(peer.address, now));
        ordered
    }

    /// Records that a peer gave no connection.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        self.avoided_until.insert(address, now + AVOID_TIME);
    }

    /// Records that a peer gave a connection, or found the port of the replica closed.
    pub fn record_success(&mut self, peer: RelayPeer, now: Instant) {
        self.avoided_until.remove(&peer.address);
        self.proven.insert(peer.address, (peer, now));
    }

    /// Records that no peer gave a connection to a replica that this router does not reach itself.
    pub fn record_no_way(&mut self, now: Instant) {
        self.without_way_at = Some(now);
    }

    /// Returns a search for other peers if those known were of no use lately. `seed` is random.
    pub fn search(&self, seed: u64, now: Instant) -> Option<RelaySearch> {
        let without_way = self.without_way_at?;
        is_within(SEARCH_TIME, without_way, now).then_some(RelaySearch { seed })
    }

    fn preference(&self, address: SocketAddr, now: Instant) -> Preference {
        let avoided_until = self.avoided_until.get(&address);
        if avoided_until.is_some_and(|until| now < *until) {
            return Preference::Avoided;
        }
        let proven = self.proven.get(&address);
        if proven.is_some_and(|(_, at)| is_within(TRUST_TIME, *at, now)) {
            Preference::Proven
        } else {
            Preference::Unknown
        }
    }
}

fn is_within(time: Duration, since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < time
}
