//! Opens connections to replicas for other routers, and passes bytes on.

use std::{io, sync::Arc, time::Duration};

use railtack_clock::BootInstant;
use railtack_rpc::{
    codec::CodecError,
    relay::{RelayRefusal, RelayReply, RelayRequest, read_message, write_message},
};
use railtack_serving::ReplicaKey;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    dial::{DialError, dial, set_options},
    state::{ProxyState, lock},
};

/// Maximum number of connections that are relayed at the same time. Each takes two descriptors.
const MAX_RELAYED: usize = 256;
/// Time within which a peer must send its request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Size of the buffer of each direction, bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Relays connections until `shutdown` is cancelled, then waits up to `drain` for the open ones.
pub async fn serve(
    state: Arc<ProxyState>,
    listener: TcpListener,
    shutdown: CancellationToken,
    drain: Duration,
) {
    let slots = Arc::new(Semaphore::new(MAX_RELAYED));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let slot = Arc::clone(&slots).try_acquire_owned().ok();
                tokio::spawn(handle(Arc::clone(&state), stream, slot));
            }
            Err(error) => {
                spdlog::warn!("relay connection not accepted", kv: { cause = error.to_string() });
                sleep(ACCEPT_FAILURE_PAUSE).await;
            }
        }
    }
    drop(listener);
    // Every slot is free once all relayed connections have ended.
    let all_slots = slots.acquire_many(MAX_RELAYED as u32);
    let all_ended = timeout(drain, all_slots).await.is_ok();
    spdlog::info!("relay stopped", kv: { all_ended });
}

/// Handles one connection of a peer. `slot` is `None` if too many are open.
async fn handle(state: Arc<ProxyState>, mut peer: TcpStream, slot: Option<OwnedSemaphorePermit>) {
    let request = match receive(&mut peer).await {
        Ok(request) => request,
        Err(error) => {
            spdlog::info!("relay request not read", kv: { cause = error.to_string() });
            return;
        }
    };
    let opened = match slot {
        Some(_) => open(&state, &request).await,
        None => Err(RelayRefusal::Busy),
    };
    let reply = match &opened {
        Ok(_) => RelayReply::Connected,
        Err(refusal) => RelayReply::Refused(*refusal),
    };
    log(&request, "relay requested", format!("{reply:?}"));
    if let Err(error) = write_message(&mut peer, &reply).await {
        log(&request, "relay not used", error.to_string());
        return;
    }
    let Ok(replica) = opened else {
        return;
    };
    let valid = Validity {
        replied_at: BootInstant::now(),
        duration: Duration::from_millis(u64::from(request.valid_ms)),
    };
    state.metrics.relayed.inc();
    let end = pass_on(&state, peer, replica, valid).await;
    log(&request, "relay ended", format!("{end:?}"));
    drop(slot);
}

fn log(request: &RelayRequest, event: &'static str, detail: String) {
    spdlog::info!("{event}", kv: {
        request = request.request.clone(),
        replica = request.replica.clone(),
        router = request.router.clone(),
        detail,
    });
}

async fn receive(peer: &mut TcpStream) -> Result<RelayRequest, CodecError> {
    set_options(peer)?;
    let received = timeout(REQUEST_TIMEOUT, read_message(peer)).await;
    received.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Opens a connection to the replica by this router itself.
async fn open(state: &ProxyState, request: &RelayRequest) -> Result<TcpStream, RelayRefusal> {
    let now = Instant::now();
    if !state.is_ready() || !state.options.policy.relays || state.reaches_no_replica(now) {
        return Err(RelayRefusal::NotServing);
    }
    let view = state.view.load_full();
    let record = view.replicas.get(&request.replica);
    let record = record.ok_or(RelayRefusal::UnknownReplica)?;
    let address = record.address.parse();
    let address = address.map_err(|_| RelayRefusal::UnknownReplica)?;
    if lock(&state.direct_reach).is_cut_off_from(&record.service, now) {
        return Err(RelayRefusal::NotServing);
    }
    let handle = lock(&state.replicas).handle(&record.id, now);
    if handle.path().is_down(now) {
        return Err(RelayRefusal::Unreachable);
    }
    let opened = dial(address, state.options.source_address).await;
    let mut reach = lock(&state.direct_reach);
    match opened {
        Ok(stream) => {
            reach.record_reached(&record.service);
            Ok(stream)
        }
        Err(error) => {
            let replica = ReplicaKey::of(&request.replica);
            reach.record_unreached(&record.service, replica, Instant::now());
            Err(match error {
                DialError::Refused => RelayRefusal::PortClosed,
                DialError::Unreachable => RelayRefusal::Unreachable,
            })
        }
    }
}

/// Time within which the first byte may be passed on.
#[derive(Clone, Copy)]
struct Validity {
    replied_at: BootInstant,
    duration: Duration,
}

impl Validity {
    fn has_expired(self) -> bool {
        self.replied_at.elapsed() >= self.duration
    }
}

/// How a relayed connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The requesting router closed it, after a response or because its caller left.
    RouterLeft,
    /// The replica closed it in the ordinary way.
    ReplicaClosed,
    /// The connection to the replica broke.
    ReplicaBroke,
    /// The first byte came too late to be passed on.
    Outdated,
}

/// Passes bytes on until the replica has ended its response or the requesting router has left. All sockets are
/// reset when they are dropped, except after an ordinary end of the response.
async fn pass_on(
    state: &ProxyState,
    mut peer: TcpStream,
    mut replica: TcpStream,
    valid: Validity,
) -> RelayEnd {
    let (mut from_peer, mut to_peer) = peer.split();
    let (mut from_replica, mut to_replica) = replica.split();
    let requests = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut is_first = true;
        loop {
            let count = from_peer.read(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                return RelayEnd::RouterLeft;
            }
            // This process may have been suspended since its reply, and the sender's lease may be over.
            if is_first && (valid.has_expired() || !state.is_confirmed()) {
                return RelayEnd::Outdated;
            }
            is_first = false;
            if to_replica.write_all(&buffer[..count]).await.is_err() {
                // A replica may respond before it has read the request, and its response decides.
                return std::future::pending().await;
            }
        }
    };
    let responses = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok(count) = from_replica.read(&mut buffer).await else {
                return RelayEnd::ReplicaBroke;
            };
            if count == 0 {
                return RelayEnd::ReplicaClosed;
            }
            if to_peer.write_all(&buffer[..count]).await.is_err() {
                return RelayEnd::RouterLeft;
            }
        }
    };
    let end = tokio::select! {
        end = requests => end,
        end = responses => end,
    };
    if end == RelayEnd::ReplicaClosed {
        // Whether the requesting router is still there makes no difference any more.
        let _ = end_response(peer).await;
    }
    end
}

/// Ends a response in the ordinary way, and waits for the requesting router to close its end.
async fn end_response(mut peer: TcpStream) -> io::Result<()> {
    peer.shutdown().await?;
    let mut rest = [0; 1];
    // What it still sends belongs to no request of the replica.
    while peer.read(&mut rest).await? > 0 {}
    Ok(())
}
