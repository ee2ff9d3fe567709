//! Return times of callers refused under overload.

use std::time::Duration;

use quickcheck::quickcheck;
use railtack_proxy::load::return_times::{RefusedPrompt, ReturnTimes};
use railtack_serving::MonotonicTime;

const NOW: MonotonicTime = MonotonicTime::from_secs(100);
const ROUTERS: u32 = 10;

/// A prompt read in 40 ms at one of 80 replicas, half a millisecond of the service, behind a queue of 600 ms.
const REFUSED: RefusedPrompt = RefusedPrompt {
    mean_first_event: Duration::from_millis(640),
    own: Duration::from_millis(40),
    replicas: 80,
    routers: ROUTERS,
    objective: Duration::from_millis(500),
    time_left: Duration::from_millis(2_400),
};

/// A fixed sequence of seeds.
fn seeds() -> impl Iterator<Item = u64> {
    (1..).map(|number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Delays told to `callers` at each of the routers at once.
fn tell_all(refused: &RefusedPrompt, callers: usize) -> Vec<Duration> {
    let mut seeds = seeds();
    let mut told = Vec::new();
    for _ in 0..ROUTERS {
        let mut times = ReturnTimes::default();
        let seeds = seeds.by_ref().take(callers);
        told.extend(seeds.map(|seed| times.next_retry_after(NOW, refused, seed)));
    }
    told.sort();
    told
}

/// Load: 500 callers refused at once by ten routers; the service reads 2,000 of their prompts a second.
#[test]
fn returns_are_spread_over_the_time_that_the_service_takes_for_them() {
    let told = tell_all(&REFUSED, 50);
    // The queue is down to half an objective after 390 ms; 500 prompts take 250 ms.
    assert!(told[0] >= Duration::from_millis(390), "{:?}", told[0]);
    assert!(told[499] <= Duration::from_millis(650), "{:?}", told[499]);
    let most = told
        .iter()
        .map(|from| {
            let until = *from + Duration::from_millis(50);
            told.iter().filter(|at| (*from..until).contains(at)).count()
        })
        .max();
    // 100 in 50 ms on average.
    assert!(most <= Some(125), "{most:?}");
    let max_return_delay = REFUSED.time_left / 3;
    let kept = told
        .iter()
        .filter(|delay| **delay <= max_return_delay)
        .count();
    assert_eq!(kept, 500);
}

/// Load: more callers are refused than the service reads while they wait.
#[test]
fn callers_for_whom_there_is_no_room_in_time_are_told_the_honest_time() {
    let impatient = RefusedPrompt {
        time_left: Duration::from_millis(1_600),
        ..REFUSED
    };
    let told = tell_all(&impatient, 50);
    let max_return_delay = impatient.time_left * 3 / 10;
    let (kept, honest): (Vec<Duration>, Vec<Duration>) = told
        .into_iter()
        .partition(|delay| *delay <= max_return_delay);
    // Room from 390 ms until nine tenths of 533 ms: 90 ms, or 180 prompts. The other 320 take 160 ms more.
    assert!(honest.iter().max() >= Some(&Duration::from_millis(630)));
    assert!((170..=200).contains(&kept.len()), "{}", kept.len());
    assert!(
        honest
            .iter()
            .all(|delay| *delay < Duration::from_millis(650)),
        "{honest:?}"
    );
}

/// Load: a caller who cannot wait takes no slot from those who can.
#[test]
fn slots_that_nobody_keeps_stay_free() {
    let mut times = ReturnTimes::default();
    let impatient = RefusedPrompt {
        time_left: Duration::from_millis(100),
        ..REFUSED
    };
    for seed in seeds().take(1_000) {
        times.next_retry_after(NOW, &impatient, seed);
    }
    let patient = times.next_retry_after(NOW, &REFUSED, 0);
    assert_eq!(patient, Duration::from_millis(390));
    // Times that have passed are not kept either.
    let later = NOW + Duration::from_secs(60);
    assert_eq!(
        times.next_retry_after(later, &REFUSED, 0),
        Duration::from_millis(390)
    );
}

#[test]
fn figures_of_nothing_give_the_shortest_delay() {
    let mut times = ReturnTimes::default();
    let empty = RefusedPrompt::default();
    assert_eq!(
        times.next_retry_after(NOW, &empty, 0),
        Duration::from_millis(150)
    );
}

quickcheck! {
    /// A delay is never shorter than the queue, and later callers of a router are not told earlier slots.
    fn delays_are_not_shorter_than_the_queue(queue_ms: u16, callers: u8, left_ms: u16) -> bool {
        let refused = RefusedPrompt {
            mean_first_event: Duration::from_millis(u64::from(queue_ms)),
            time_left: Duration::from_millis(u64::from(left_ms)),
            ..REFUSED
        };
        let queue = refused.mean_first_event.saturating_sub(refused.objective / 2);
        let mut times = ReturnTimes::default();
        let mut seeds = seeds();
        (0..callers).all(|_| times.next_retry_after(NOW, &refused, seeds.next().unwrap_or_default()) >= queue)
    }

    /// No figures make it panic.
    fn any_figures_give_a_delay(own_ms: u32, replicas: u32, routers: u32, left_ms: u64, seed: u64) -> bool {
        let refused = RefusedPrompt {
            own: Duration::from_millis(u64::from(own_ms)),
            replicas: replicas as usize,
            routers,
            time_left: Duration::from_millis(left_ms),
            ..REFUSED
        };
        let mut times = ReturnTimes::default();
        (0..3).all(|_| times.next_retry_after(NOW, &refused, seed) >= Duration::from_millis(150))
    }
}
