//! Whether this router's own network works well enough to judge that a replica has ended.
//!
//! A partition may refuse connections like the port of a process that has ended.

use std::net::SocketAddr;

use futures::{StreamExt, stream::FuturesUnordered};
use railtack_serving::ReplicaRecord;

use crate::{dial::dial, state::ProxyState, view::ServingView};

/// Other replicas that are tried at the same time; some may have ended with the one that is judged.
const MAX_TRIED: usize = 4;

/// Whether this router reaches any other replica than `judged`: one of the same service, if there is one, as a partition
/// may leave the replicas of other services in reach. It is taken to if there is none at all.
pub async fn reaches_another(state: &ProxyState, judged: &ReplicaRecord) -> bool {
    let others = others_to_try(&state.view.load(), judged, rand::random());
    if others.is_empty() {
        return true;
    }
    let source = state.options.source_address;
    let mut dialed: FuturesUnordered<_> = others
        .into_iter()
        .map(|address| dial(address, source))
        .collect();
    while let Some(result) = dialed.next().await {
        if result.is_ok() {
            return true;
        }
    }
    false
}

/// Returns addresses of other replicas that follow each other from a place that `seed` decides.
fn others_to_try(view: &ServingView, judged: &ReplicaRecord, seed: u64) -> Vec<SocketAddr> {
    let others = view
        .replicas
        .values()
        .filter(|record| record.address != judged.address);
    let (same_service, elsewhere): (Vec<_>, Vec<_>) =
        others.partition(|record| record.service == judged.service);
    let mut candidates = if same_service.is_empty() {
        elsewhere
    } else {
        same_service
    };
    if !candidates.is_empty() {
        let first = (seed % candidates.len() as u64) as usize;
        candidates.rotate_left(first);
    }
    let addresses = candidates
        .into_iter()
        .filter_map(|record| record.address.parse().ok());
    addresses.take(MAX_TRIED).collect()
}
