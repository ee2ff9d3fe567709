//! Which replica is presumed to keep what a chosen one lacks.

use std::time::Duration;

use railtack_proxy::holder::{Place, presumed_holder};
use tokio::time::Instant;

const REUSE_WINDOW: Duration = Duration::from_secs(10);

fn place(is_chosen: bool, emptied_at: Option<Instant>) -> Place {
    Place {
        is_chosen,
        is_usable: true,
        emptied_at,
    }
}

#[test]
fn the_favoured_replica_keeps_what_another_one_lacks() {
    let now = Instant::now();
    let places = [place(false, None), place(true, None)];
    assert_eq!(presumed_holder(&places, REUSE_WINDOW, now), Some(0));
    let mut out_of_reach = places;
    out_of_reach[0].is_usable = false;
    assert_eq!(presumed_holder(&out_of_reach, REUSE_WINDOW, now), None);
}

#[test]
fn the_favoured_replica_asks_nobody_unless_it_was_empty() {
    let now = Instant::now();
    let places = [place(true, None), place(false, None)];
    assert_eq!(presumed_holder(&places, REUSE_WINDOW, now), None);
}

#[test]
fn a_replica_that_comes_back_asks_the_one_that_stood_in() {
    let now = Instant::now() + Duration::from_secs(60);
    let ago = |seconds| Some(now - Duration::from_secs(seconds));
    // The second one loaded later still, and has nothing to give.
    let places = [
        place(true, ago(2)),
        place(false, ago(1)),
        place(false, ago(5)),
    ];
    assert_eq!(presumed_holder(&places, REUSE_WINDOW, now), Some(2));
    // Long after, it has read what it lacked.
    let settled = [place(true, ago(11)), place(false, None)];
    assert_eq!(presumed_holder(&settled, REUSE_WINDOW, now), None);
}

#[test]
fn nobody_is_asked_where_nobody_is_known() {
    let now = Instant::now();
    assert_eq!(presumed_holder(&[], REUSE_WINDOW, now), None);
    let alone = [place(true, Some(now))];
    assert_eq!(presumed_holder(&alone, REUSE_WINDOW, now), None);
}
