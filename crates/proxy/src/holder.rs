//! Which replica is presumed to keep the beginning of a prompt. Pure.
//!
//! All routers send a prompt to the replica that they favour most for it. While that one is away,
//! or loads weights, the next one stands in and reads the prompt; once the first is back, with an
//! empty memory, the stand-in keeps what it lacks. A store can tell as well, but its one link
//! serves all replicas: what the replicas themselves can hand on does not burden it.

use std::time::Duration;

use tokio::time::Instant;

/// One replica, in the order in which all routers favour them for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Whether it was chosen to run the request.
    pub is_chosen: bool,
    /// Whether it holds the same weights as the chosen one and seems to be in reach.
    pub is_usable: bool,
    /// When its memory was last empty; `None` if that is long ago or not known.
    pub emptied_at: Option<Instant>,
}

/// Position of the replica that is presumed to keep what the chosen one lacks; `None` if the chosen
/// one is presumed to keep it itself, or nobody is known. Parts are asked for again within
/// `reuse_window`: a replica that was empty longer ago has read what it lacked.
pub fn presumed_holder(places: &[Place], reuse_window: Duration, now: Instant) -> Option<usize> {
    let (first, others) = places.split_first()?;
    if !first.is_chosen {
        return first.is_usable.then_some(0);
    }
    let emptied_at = first.emptied_at?;
    if now.saturating_duration_since(emptied_at) > reuse_window {
        return None;
    }
    // A stand-in had its memory before the favoured one lost its own, or it has nothing to give.
    let stood_in = |place: &Place| place.is_usable && place.emptied_at < Some(emptied_at);
    others
        .iter()
        .position(stood_in)
        .map(|position| position + 1)
}
