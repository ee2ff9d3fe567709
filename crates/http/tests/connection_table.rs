//! Which connection gives way when a listener has as many as it may.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_http::connection_table::{Admission, ConnectionId, ConnectionTable};
use tokio::time::Instant;

const LIMIT: usize = 4;

fn admit(table: &mut ConnectionTable, now: Instant) -> (ConnectionId, Option<ConnectionId>) {
    match table.admit(now) {
        Admission::Admitted { id, displaced } => (id, displaced),
        Admission::Full => panic!("no connection rests"),
    }
}

/// Guards against connections that ask nothing and keep out those that do.
#[test]
fn the_connection_that_rested_for_longest_gives_way() {
    let start = Instant::now();
    let second = |number| start + Duration::from_secs(number);
    let mut table = ConnectionTable::new(LIMIT);
    let open: Vec<ConnectionId> = (0..4).map(|at| admit(&mut table, second(at)).0).collect();
    assert!(table.set_busy(open[0]));
    table.set_resting(open[1], second(9));
    let (newest, displaced) = admit(&mut table, second(10));
    assert_eq!(displaced, Some(open[2]));
    assert_eq!(admit(&mut table, second(10)).1, Some(open[3]));
    // What happens on a connection that gave way changes nothing.
    assert!(!table.set_busy(open[2]));
    table.set_resting(open[0], second(11));
    assert_eq!(admit(&mut table, second(12)).1, Some(open[1]));
    assert_eq!(admit(&mut table, second(12)).1, Some(newest));
    assert_eq!(table.len(), LIMIT);
}

/// Guards against requests that are cut off for a new connection.
#[test]
fn a_connection_with_a_request_never_gives_way() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(LIMIT);
    let open: Vec<ConnectionId> = (0..LIMIT).map(|_| admit(&mut table, now).0).collect();
    for id in &open {
        assert!(table.set_busy(*id));
    }
    assert_eq!(table.admit(now), Admission::Full);
    table.remove(open[1]);
    assert_eq!(admit(&mut table, now).1, None);
}

quickcheck! {
    fn the_limit_holds_whatever_connections_do(steps: Vec<(u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut table = ConnectionTable::new(LIMIT);
        let mut open = Vec::new();
        for (step, position) in steps {
            now += Duration::from_millis(10);
            let chosen = open.get(usize::from(position) % LIMIT).copied();
            match (step % 4, chosen) {
                (0, Some(id)) => assert!(table.set_busy(id)),
                (1, Some(id)) => table.set_resting(id, now),
                (2, Some(id)) => {
                    table.remove(id);
                    open.retain(|other| *other != id);
                }
                _ => {
                    if let Admission::Admitted { id, displaced } = table.admit(now) {
                        open.retain(|other| Some(*other) != displaced);
                        open.push(id);
                    }
                }
            }
            if table.len() != open.len() || open.len() > LIMIT {
                return false;
            }
        }
        true
    }
}
