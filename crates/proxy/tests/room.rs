//! Requests that a router may have open at a replica that withstands few rejections.

use quickcheck::quickcheck;
use railtack_proxy::room::Room;

fn open(requests: u32, tokens: u64) -> Room {
    Room { requests, tokens }
}

#[test]
fn requests_fit_within_slots_and_memory() {
    let part = Room::of_one_router(64, 110_000, 8, 0);
    assert!(part.fits(open(7, 0), 0));
    assert!(!part.fits(open(8, 0), 0));
    assert!(part.fits(open(1, 9_000), 4_000));
    assert!(!part.fits(open(1, 9_000), 5_000));
    // A prompt larger than the part would never be sent otherwise.
    assert!(part.fits(open(0, 0), 50_000));
    let plain_service = Room::of_one_router(6, 0, 3, 0);
    assert!(plain_service.fits(open(1, 0), 10));
    assert!(!plain_service.fits(open(2, 0), 10));
}

#[test]
fn a_router_without_a_slot_sends_nothing() {
    let part = Room::of_one_router(6, 0, 55, 6);
    assert!(!part.fits(open(0, 0), 10));
    assert!(Room::of_one_router(6, 0, 55, 5).fits(open(0, 0), 10));
}

quickcheck! {
    /// Guards against routers that overrun a replica together, and against slots that no router may use.
    fn parts_of_all_routers_are_the_slots(slots: u32, routers: u32) -> bool {
        let routers = routers % 400 + 1;
        let slots = slots % 1_000;
        let parts = (0..routers).map(|draw| Room::of_one_router(slots, 0, routers, draw).requests);
        parts.sum::<u32>() == slots
    }
}
