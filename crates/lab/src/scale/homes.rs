//! Time to find the home replicas of a prompt and to choose one of them.

use std::{sync::Arc, time::Instant};

use hdrhistogram::Histogram;
use railtack_proxy::{
    homes::{Homes, MIN_GROUP_SIZE, Ring, group_homes, take_usable},
    scoring::{Candidate, RequestSize, SharedLoad, choose},
};
use railtack_serving::{ReplicaRecord, ReplicaState, SoftwareVersion};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scale::time_histogram;

/// Fleet sizes; the last is twice the largest planned fleet.
const REPLICAS: [usize; 4] = [256, 1_000, 10_000, 20_000];
/// Number of choices measured at each size.
const CHOICES: usize = 5_000;

fn record(number: usize) -> Arc<ReplicaRecord> {
    Arc::new(ReplicaRecord {
        id: format!("i-{number:010x}"),
        service: "pool".to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: format!("zone-{}", number % 5),
        slots: 16,
        state: ReplicaState::Ready,
        weights: Vec::new(),
        order: None,
        changed_at: 1,
        software: SoftwareVersion::default(),
    })
}

fn candidate(rank: usize, record: &ReplicaRecord) -> Candidate {
    Candidate {
        same_zone: record.zone == "zone-0",
        slots: record.slots,
        capacity_tokens: 88_547,
        shared_load: Some(SharedLoad::default()),
        rank,
        ..Candidate::default()
    }
}

fn choose_home(homes: &Homes<'_>, seed: u64) -> Option<(usize, f64)> {
    let size = RequestSize {
        prompt_tokens: 9_190,
        shared_tokens: 6_300,
        routers: 985,
    };
    let ranked = homes.ranked.iter().enumerate();
    let candidates: Vec<Candidate> = ranked
        .map(|(rank, record)| candidate(rank, record))
        .collect();
    choose(&candidates, size, seed)
}

fn measure_choices(mut choice: impl FnMut(u64, u64) -> Option<(usize, f64)>) -> Histogram<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut times = time_histogram();
    for _ in 0..CHOICES {
        let (ring_position, home) = (random.random(), random.random());
        let started = Instant::now();
        std::hint::black_box(choice(ring_position, home));
        times.saturating_record(started.elapsed().as_nanos() as u64);
    }
    times
}

/// Measures the time of a choice by number of replicas: in the group of a prompt, and among all replicas.
pub fn homes() {
    println!("replicas   ring us   group p50 us   p99 us   all p50 us   p99 us");
    for replicas in REPLICAS {
        let records: Vec<_> = (0..replicas).map(record).collect();
        let started = Instant::now();
        let ring = Ring::new(records.iter().cloned());
        let build_time = started.elapsed();
        let in_group = measure_choices(|ring_position, home| {
            let candidates = ring.iter_from(ring_position);
            choose_home(
                &group_homes(home, candidates, MIN_GROUP_SIZE, |_| true),
                home,
            )
        });
        let among_all = measure_choices(|_, home| {
            let all = take_usable(ring.iter_from(0), ring.len(), |_| true);
            choose_home(&Homes::of_all(Some(home), all), home)
        });
        let micros =
            |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{replicas:>8}  {:>8.0}  {:>13.1}  {:>7.1}  {:>11.1}  {:>7.1}",
            build_time.as_secs_f64() * 1e6,
            micros(&in_group, 0.5),
            micros(&in_group, 0.99),
            micros(&among_all, 0.5),
            micros(&among_all, 0.99),
        );
    }
}
