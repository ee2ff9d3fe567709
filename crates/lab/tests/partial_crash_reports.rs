//! One end of a replica that two routers report in parts, in virtual time.
//!
//! What was seen: a request that ends the replicas which run it ended eight of ten, where seven can be
//! needed to tell it from one that is harmless and was at the same replicas.
//!
//! How it came about: beside load, the parts of one report reached the control group some milliseconds
//! apart, in any order. The part that named only one of both requests had that one quarantined, and the next
//! part took it back.
//!
//! Cause: each part is judged as it comes, and routers sent on what a judgement allowed that was about to
//! change. A late part has to be able to change it, so a suspected request waits until all parts are in.
//!
//! Proof: without that wait, 626 of these 2,000 runs end more replicas than that, up to sixteen.

use std::{collections::BTreeMap, time::Duration};

use railtack_control::serving_state::quarantine::{CRASHES_DESPITE_RIVAL, Quarantine};
use railtack_proxy::quarantine::QuarantineState;
use railtack_rpc::serving::QuarantineUpdate;
use railtack_serving::{ContentKey, ReplicaKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const FATAL: ContentKey = ContentKey(1);
const HARMLESS: ContentKey = ContentKey(2);
const SEEDS: u64 = 2_000;
const ROUTERS: usize = 2;
/// Ends at which both are quarantined, and the copy that the other router has on its way by then.
const MAX_CRASHES: u32 = CRASHES_DESPITE_RIVAL as u32 + ROUTERS as u32 - 1;
/// Time from the end of a replica until a router's report of it is recorded, milliseconds: gathering, a look
/// at the port, a commit.
const REPORT_DELAY_MS: std::ops::Range<u64> = 15..90;
/// Time until a router that did not report is told, milliseconds.
const UPDATE_DELAY_MS: std::ops::Range<u64> = 0..60;
/// Longest time for which a router has a request wait for the report of an end under it, and one that is
/// suspected for all reports, milliseconds: an eighth and half of an objective of 600 ms.
const MAX_WAIT_MS: u64 = 75;
const MAX_SUSPECT_WAIT_MS: u64 = 300;

/// A report on its way to the control group.
struct Report {
    router: usize,
    replica: ReplicaKey,
    contents: Vec<ContentKey>,
}

/// What a router is told, on its way.
struct UpdateDelivery {
    router: usize,
    update: QuarantineUpdate,
}

struct World {
    random: ChaCha8Rng,
    start: Instant,
    now_ms: u64,
    crashes: u32,
    quarantine: Quarantine,
    recorded: u64,
    routers: Vec<QuarantineState>,
    /// Until when each router has the fatal request wait.
    waits_until_ms: [u64; ROUTERS],
    reports: BTreeMap<u64, Vec<Report>>,
    deliveries: BTreeMap<u64, Vec<UpdateDelivery>>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now_ms: 0,
            crashes: 0,
            quarantine: Quarantine::default(),
            recorded: 0,
            routers: (0..ROUTERS).map(|_| QuarantineState::default()).collect(),
            waits_until_ms: [0; ROUTERS],
            reports: BTreeMap::new(),
            deliveries: BTreeMap::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn advance_to(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            for report in self.reports.remove(&self.now_ms).unwrap_or_default() {
                self.record(&report);
            }
            let now = self.now();
            for delivery in self.deliveries.remove(&self.now_ms).unwrap_or_default() {
                self.routers[delivery.router].apply(&delivery.update, now);
            }
        }
    }

    fn record(&mut self, report: &Report) {
        self.recorded += 1;
        let contents = &report.contents;
        self.quarantine
            .record_crash(self.recorded, report.replica, contents);
        for router in 0..ROUTERS {
            let update = self.quarantine.update().clone();
            // Its own report is answered with what it led to.
            let delay_ms = if router == report.router {
                1
            } else {
                1 + self.random.random_range(UPDATE_DELAY_MS)
            };
            let deliveries = self.deliveries.entry(self.now_ms + delay_ms).or_default();
            deliveries.push(UpdateDelivery { router, update });
        }
        if contents.contains(&FATAL) {
            self.waits_until_ms[report.router] = self.now_ms + 1;
        }
    }

    /// Whether the fatal request waits on at a router where it has waited that long.
    fn must_wait(&self, router: usize, waited_ms: u64) -> bool {
        let state = &self.routers[router];
        let max_wait_ms = if state.is_suspected(FATAL) {
            MAX_SUSPECT_WAIT_MS
        } else {
            MAX_WAIT_MS
        };
        let reports_complete = state.reports_complete_at(FATAL, self.now()).is_none();
        waited_ms < max_wait_ms && (!reports_complete || self.now_ms < self.waits_until_ms[router])
    }

    /// The fatal request comes to a router; false if it is refused.
    fn send_fatal(&mut self, router: usize) -> bool {
        let arrived_ms = self.now_ms;
        self.advance_to(arrived_ms + 1);
        while self.must_wait(router, self.now_ms - arrived_ms) {
            self.advance_to(self.now_ms + 1);
        }
        if self.routers[router]
            .retry_after(FATAL, self.now())
            .is_some()
        {
            return false;
        }
        self.crashes += 1;
        for reporter in 0..ROUTERS {
            // Both have the harmless request open there.
            let mut contents = vec![HARMLESS];
            if reporter == router {
                contents.push(FATAL);
            }
            let recorded_ms = self.now_ms + self.random.random_range(REPORT_DELAY_MS);
            if reporter == router {
                self.waits_until_ms[router] = recorded_ms + 1;
            }
            self.reports.entry(recorded_ms).or_default().push(Report {
                router: reporter,
                replica: ReplicaKey(self.crashes),
                contents,
            });
        }
        true
    }

    /// Replicas that ended before each router had refused the request.
    fn run(mut self) -> u32 {
        let mut refused_in_a_row = 0;
        let mut round = 0;
        while refused_in_a_row < ROUTERS && round < 1_000 {
            let is_sent = self.send_fatal(round % ROUTERS);
            refused_in_a_row = if is_sent { 0 } else { refused_in_a_row + 1 };
            round += 1;
        }
        self.crashes
    }
}

#[test]
fn partial_crash_reports_cost_no_additional_replicas() {
    for seed in 0..SEEDS {
        let crashes = World::new(seed).run();
        assert!(
            crashes <= MAX_CRASHES,
            "seed {seed}: {crashes} replicas ended"
        );
    }
}
