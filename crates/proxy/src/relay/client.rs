//! Opens a connection to a replica, by this router itself or through a peer.

use std::{net::SocketAddr, pin::pin, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use railtack_clock::BootInstant;
use railtack_rpc::relay::{RelayRefusal, RelayReply, RelayRequest, read_message, write_message};
use railtack_serving::ReplicaKey;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    dial::{DialError, dial},
    relay::{path::PathChange, peers::RelayPeer},
    replicas::ReplicaHandle,
    state::{ProxyState, lock},
};

/// Time within which a peer must give a connection.
const PEER_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which the next peer is asked while earlier ones have not replied.
const PEER_STAGGER: Duration = Duration::from_millis(100);
/// Maximum number of peers that try to reach a replica for one connection.
const MAX_TRIES: usize = 3;

/// A replica, and the request for which a connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Incarnation id of the replica.
    pub replica: &'a str,
    /// Service of the replica.
    pub service: &'a str,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Id of the request, for logs.
    pub request: &'a str,
}

/// An open connection to a replica.
#[derive(Debug)]
pub struct ReplicaStream {
    /// The connection.
    pub stream: TcpStream,
    /// Whether it leads through a peer.
    pub is_relayed: bool,
}

/// Why peers gave no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoRelay {
    /// The port of the replica refuses the peers as well.
    PortClosed,
    /// No peer reaches the replica, or none replied.
    Unavailable,
}

/// Opens a connection. Peers are asked once the router's own attempt has failed or taken its head start.
pub async fn open(
    state: &ProxyState,
    handle: &ReplicaHandle,
    destination: Destination<'_>,
) -> Result<ReplicaStream, DialError> {
    let direct = dial(destination.address, state.options.source_address);
    let peers = peers_to_ask(state);
    if peers.is_empty() {
        return match direct.await {
            Ok(stream) => Ok(direct_connection(state, handle, destination, stream)),
            Err(error) => {
                record_no_way(state, destination, error, NoRelay::Unavailable);
                Err(error)
            }
        };
    }
    let mut direct = pin!(direct);
    let head_start = handle.path().head_start(Instant::now());
    let mut direct_error = match timeout(head_start, &mut direct).await {
        Ok(Ok(stream)) => return Ok(direct_connection(state, handle, destination, stream)),
        Ok(Err(error)) => Some(error),
        Err(_) => None,
    };
    let mut relayed = pin!(ask_peers(state, destination, peers));
    let mut relay_error = None;
    loop {
        tokio::select! {
            biased;
            result = &mut direct, if direct_error.is_none() => match result {
                Ok(stream) => return Ok(direct_connection(state, handle, destination, stream)),
                Err(error) => direct_error = Some(error),
            },
            result = &mut relayed, if relay_error.is_none() => match result {
                Ok(stream) => return Ok(relayed_connection(state, handle, destination, stream)),
                Err(error) => relay_error = Some(error),
            },
        }
        if let (Some(direct_error), Some(relay_error)) = (direct_error, relay_error) {
            record_no_way(state, destination, direct_error, relay_error);
            return Err(combine(direct_error, relay_error));
        }
    }
}

/// Whether a peer reaches the port of a replica that refuses this router.
pub async fn reached_by_peer(state: &ProxyState, destination: Destination<'_>) -> bool {
    let peers = peers_to_ask(state);
    ask_peers(state, destination, peers).await.is_ok()
}

fn peers_to_ask(state: &ProxyState) -> Vec<RelayPeer> {
    if !state.options.policy.relays {
        return Vec::new();
    }
    lock(&state.relay_peers).to_ask(rand::random(), Instant::now())
}

/// A port that refuses this router has closed only if it refuses the peers too, or if none of them can tell.
fn combine(direct: DialError, relayed: NoRelay) -> DialError {
    match (direct, relayed) {
        (DialError::Refused, _) | (DialError::Unreachable, NoRelay::PortClosed) => {
            DialError::Refused
        }
        (DialError::Unreachable, NoRelay::Unavailable) => DialError::Unreachable,
    }
}

fn direct_connection(
    state: &ProxyState,
    handle: &ReplicaHandle,
    destination: Destination<'_>,
    stream: TcpStream,
) -> ReplicaStream {
    lock(&state.direct_reach).record_reached(destination.service);
    log_change(handle.path().record_direct(), destination);
    ReplicaStream::direct(stream)
}

fn relayed_connection(
    state: &ProxyState,
    handle: &ReplicaHandle,
    destination: Destination<'_>,
    stream: TcpStream,
) -> ReplicaStream {
    let now = Instant::now();
    let replica = ReplicaKey::of(destination.replica);
    lock(&state.direct_reach).record_unreached(destination.service, replica, now);
    let change = handle.path().record_relayed(now);
    log_change(change, destination);
    ReplicaStream {
        stream,
        is_relayed: true,
    }
}

fn log_change(change: Option<PathChange>, destination: Destination<'_>) {
    let event = match change {
        Some(PathChange::Down) => "path to replica down",
        Some(PathChange::Up) => "path to replica up",
        None => return,
    };
    spdlog::info!("{event}", kv: {
        replica = destination.replica.to_owned(),
        address = destination.address.to_string(),
        request = destination.request.to_owned(),
    });
}

/// Records that neither this router nor a peer reached a replica.
fn record_no_way(
    state: &ProxyState,
    destination: Destination<'_>,
    direct: DialError,
    relayed: NoRelay,
) {
    let now = Instant::now();
    let replica = ReplicaKey::of(destination.replica);
    lock(&state.direct_reach).record_unreached(destination.service, replica, now);
    if state.options.policy.relays {
        lock(&state.relay_peers).record_no_way(now);
    }
    state.metrics.no_way_to_replica.inc();
    spdlog::info!("no way to replica", kv: {
        replica = destination.replica.to_owned(),
        address = destination.address.to_string(),
        request = destination.request.to_owned(),
        direct = format!("{direct:?}"),
        relayed = format!("{relayed:?}"),
    });
}

/// Asks one peer after the other, the next one once the last has refused or taken its time. A peer that does not try
/// itself makes room for a further one.
async fn ask_peers(
    state: &ProxyState,
    destination: Destination<'_>,
    peers: Vec<RelayPeer>,
) -> Result<TcpStream, NoRelay> {
    let mut rest = peers.into_iter();
    let mut asked = FuturesUnordered::new();
    let mut tries_left = MAX_TRIES;
    let started_at = Instant::now();
    loop {
        if tries_left > 0
            && let Some(peer) = rest.next()
        {
            tries_left -= 1;
            asked.push(ask(state, destination, peer));
        }
        if asked.is_empty() || started_at.elapsed() >= PEER_TIMEOUT {
            return Err(NoRelay::Unavailable);
        }
        let stagger = PEER_STAGGER.min(PEER_TIMEOUT.saturating_sub(started_at.elapsed()));
        tokio::select! {
            Some(reply) = asked.next() => match reply {
                Ok(stream) => return Ok(stream),
                Err(Some(RelayRefusal::PortClosed)) => return Err(NoRelay::PortClosed),
                Err(Some(RelayRefusal::NotServing | RelayRefusal::Busy)) => tries_left += 1,
                Err(_) => {}
            },
            () = sleep(stagger) => {}
        }
    }
}

/// Asks one peer for a connection. Returns its refusal, or `None` if it did not reply.
async fn ask(
    state: &ProxyState,
    destination: Destination<'_>,
    peer: RelayPeer,
) -> Result<TcpStream, Option<RelayRefusal>> {
    let asked_at = Instant::now();
    let reply = timeout(PEER_TIMEOUT, exchange_messages(state, destination, &peer)).await;
    let relay = peer.router.clone();
    let result = match reply {
        Ok(Some((RelayReply::Connected, stream))) => Ok(stream),
        Ok(Some((RelayReply::Refused(refusal), _))) => Err(Some(refusal)),
        Ok(None) | Err(_) => Err(None),
    };
    let mut peers = lock(&state.relay_peers);
    match &result {
        // The port of the replica says nothing against the peer.
        Ok(_) | Err(Some(RelayRefusal::PortClosed)) => peers.record_success(peer, Instant::now()),
        Err(_) => peers.record_failure(peer.address, Instant::now()),
    }
    drop(peers);
    let outcome = match &result {
        Ok(_) => "connected".to_owned(),
        Err(Some(refusal)) => format!("{refusal:?}"),
        Err(None) => "no reply".to_owned(),
    };
    spdlog::info!("relay asked", kv: {
        request = destination.request.to_owned(),
        replica = destination.replica.to_owned(),
        relay = relay,
        outcome = outcome.clone(),
        took_ms = asked_at.elapsed().as_millis() as u64,
    });
    state.metrics.record_relay_reply(&outcome);
    result
}

async fn exchange_messages(
    state: &ProxyState,
    destination: Destination<'_>,
    peer: &RelayPeer,
) -> Option<(RelayReply, TcpStream)> {
    let mut stream = dial(peer.address, state.options.source_address)
        .await
        .ok()?;
    let valid = lock(&state.lease).remaining(BootInstant::now());
    let request = RelayRequest {
        router: state.options.node.clone(),
        replica: destination.replica.to_owned(),
        request: destination.request.to_owned(),
        valid_ms: u32::try_from(valid.as_millis()).unwrap_or(u32::MAX),
    };
    write_message(&mut stream, &request).await.ok()?;
    let reply = read_message(&mut stream).await.ok()?;
    Some((reply, stream))
}

impl ReplicaStream {
    /// A connection of this router itself.
    pub fn direct(stream: TcpStream) -> Self {
        Self {
            stream,
            is_relayed: false,
        }
    }
}
