//! The memory that bodies of requests share.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use railtack_http::body_budget::{BodyBudget, BodyId, NoRoom, ORDINARY_BYTES};
use tokio::time::Instant;

const TOTAL: usize = 1024 * 1024;
const LARGE: usize = 3 * ORDINARY_BYTES;
const STALL: Duration = Duration::from_secs(1);

/// Fills the part of large bodies; returns the bodies in the order of their last growth.
fn fill_with_large(budget: &mut BodyBudget, now: Instant) -> Vec<BodyId> {
    let mut bodies = Vec::new();
    for number in 0..TOTAL {
        let at = now + Duration::from_millis(number as u64);
        let id = budget.begin(at);
        if budget.grow(id, LARGE, at).is_err() {
            budget.end(id);
            return bodies;
        }
        bodies.push(id);
    }
    bodies
}

/// Guards against a crowd of large bodies that keeps out requests of ordinary size.
#[test]
fn large_bodies_leave_room_to_ordinary_ones() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    let bodies = fill_with_large(&mut budget, now);
    assert!(bodies.len() >= 3, "{}", bodies.len());
    assert!(budget.used() <= budget.largest());
    let ordinary = budget.begin(now);
    assert_eq!(budget.grow(ordinary, ORDINARY_BYTES, now), Ok(vec![]));
}

/// Guards against bodies that hold their memory although they hardly grow any more.
#[test]
fn the_body_that_stalled_for_longest_gives_way() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    let bodies = fill_with_large(&mut budget, now);
    let next = budget.begin(now);
    assert!(!budget.may_fit(LARGE, now + STALL / 2));
    assert_eq!(budget.grow(next, LARGE, now + STALL / 2), Err(NoRoom));
    let later = now + 2 * STALL;
    assert!(budget.may_fit(LARGE, later));
    assert_eq!(budget.grow(next, LARGE, later), Ok(vec![bodies[0]]));
    // It holds nothing any more, and cannot grow again.
    assert_eq!(budget.grow(bodies[0], LARGE, later), Err(NoRoom));
}

/// Guards against requests that may run already and lose their bodies.
#[test]
fn complete_bodies_never_give_way() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    for id in fill_with_large(&mut budget, now) {
        budget.complete(id, LARGE);
    }
    let next = budget.begin(now);
    assert_eq!(budget.grow(next, LARGE, now + 100 * STALL), Err(NoRoom));
}

/// Guards against ordinary bodies that give way to a large one.
#[test]
fn stalled_ordinary_bodies_do_not_give_way_to_large_ones() {
    let now = Instant::now();
    let mut budget = BodyBudget::new(TOTAL);
    for _ in 0..TOTAL / ORDINARY_BYTES {
        let id = budget.begin(now);
        assert_eq!(budget.grow(id, ORDINARY_BYTES, now), Ok(vec![]));
    }
    let large = budget.begin(now);
    assert_eq!(budget.grow(large, LARGE, now + 2 * STALL), Err(NoRoom));
    let ordinary = budget.begin(now);
    let displaced = budget.grow(ordinary, ORDINARY_BYTES, now + 2 * STALL);
    assert_eq!(displaced.map(|displaced| displaced.len()), Ok(1));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin,
    Grow { body: usize, bytes: usize },
    Complete { body: usize },
    End { body: usize },
    Wait { ms: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let body = usize::arbitrary(gen_) % 12;
        match u8::arbitrary(gen_) % 8 {
            0 => Self::Begin,
            1 => Self::Complete { body },
            2 => Self::End { body },
            3 => Self::Wait {
                ms: u64::arbitrary(gen_) % 1_500,
            },
            _ => Self::Grow {
                body,
                bytes: usize::arbitrary(gen_) % (TOTAL / 2),
            },
        }
    }
}

quickcheck! {
    /// The sum never exceeds the budget, is that of the bodies which are left, and is nothing once all have ended.
    fn the_sum_stays_within_the_budget(steps: Vec<Step>) -> bool {
        let mut now = Instant::now();
        let mut budget = BodyBudget::new(TOTAL);
        let mut bodies: Vec<(BodyId, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Begin => bodies.push((budget.begin(now), 0)),
                Step::Wait { ms } => now += Duration::from_millis(ms),
                Step::Grow { body, bytes } if body < bodies.len() => {
                    let (id, held) = bodies[body];
                    if let Ok(displaced) = budget.grow(id, bytes.max(held), now) {
                        bodies[body].1 = bytes.max(held);
                        bodies.retain(|(other, _)| !displaced.contains(other));
                    }
                }
                Step::Complete { body } if body < bodies.len() => {
                    let (id, held) = bodies[body];
                    budget.complete(id, held);
                }
                Step::End { body } if body < bodies.len() => {
                    let (id, _) = bodies.swap_remove(body);
                    budget.end(id);
                }
                _ => {}
            }
            let sum: usize = bodies.iter().map(|(_, held)| held).sum();
            if budget.used() != sum || sum > TOTAL {
                return false;
            }
        }
        for (id, _) in bodies {
            budget.end(id);
        }
        budget.used() == 0
    }
}
