//! Background load during fault injection.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use railtack_core::Execution;
use railtack_http::HttpClient;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    demo::PreparedFleet,
    load::{CallOutcome, Caller, ModelRequest, Summary, caller::ResponseMode},
};

/// Pause of a caller after a router was unreachable or refused the request.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Timeout for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of requests drawn in advance; callers send them in turn.
const REQUESTS: usize = 600;

/// Results of a background load.
#[derive(Clone, Debug, Default)]
pub struct BackgroundReport {
    /// Totals over all requests.
    pub summary: Summary,
    /// Completion times of complete responses, in order.
    pub completed_at: Vec<Instant>,
}

impl BackgroundReport {
    /// Longest time without a complete response from `start` to the last one, seconds.
    pub fn longest_gap_after(&self, start: Instant) -> f64 {
        let mut previous = start;
        let mut longest = Duration::ZERO;
        for at in self.completed_at.iter().filter(|at| **at >= start) {
            longest = longest.max(*at - previous);
            previous = *at;
        }
        longest.as_secs_f64()
    }

    /// Number of wrong responses, and of requests without any response.
    pub fn wrong_or_lost(&self) -> f64 {
        (self.summary.wrong.len() as u64 + self.summary.lost) as f64
    }

    /// Number of broken streams, and of errors after which the request may have run.
    pub fn interrupted(&self) -> f64 {
        let unknown: u64 = self
            .summary
            .refusals
            .iter()
            .filter(|((_, execution), _)| *execution != "not_run")
            .map(|(_, count)| *count)
            .sum();
        (self.summary.broken + unknown) as f64
    }
}

/// Callers that send model requests until stopped. If a router is unreachable, or refuses a request
/// before running it, the caller moves on to the next router, as a client with several addresses does.
pub struct BackgroundLoad {
    stop: Arc<AtomicBool>,
    report: Arc<Mutex<BackgroundReport>>,
    callers: Vec<JoinHandle<()>>,
}

struct Shared {
    stop: Arc<AtomicBool>,
    report: Arc<Mutex<BackgroundReport>>,
    requests: Vec<(usize, ModelRequest)>,
    next: AtomicUsize,
    routers: Vec<std::net::SocketAddr>,
    callers: Vec<Caller>,
}

impl BackgroundLoad {
    /// Starts `concurrency` callers, with requests drawn from `seed`.
    pub fn start(prepared: &PreparedFleet, concurrency: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let tenants = prepared.documents.tenants.len();
        let requests = (0..REQUESTS).map(|_| {
            let tenant = random.random_range(0..tenants);
            (
                tenant,
                prepared.documents.model_request(tenant, &mut random),
            )
        });
        let client = HttpClient::new(CONNECT_TIMEOUT);
        let shared = Arc::new(Shared {
            stop: Arc::new(AtomicBool::new(false)),
            report: Arc::default(),
            requests: requests.collect(),
            next: AtomicUsize::new(0),
            routers: prepared
                .fleet
                .endpoints
                .routers
                .iter()
                .map(|endpoints| endpoints.listen)
                .collect(),
            callers: prepared
                .documents
                .tenants
                .iter()
                .map(|tenant| Caller::new(client.clone(), &tenant.key))
                .collect(),
        });
        let callers = (0..concurrency)
            .map(|number| tokio::spawn(call_until_stopped(Arc::clone(&shared), number)))
            .collect();
        Self {
            stop: Arc::clone(&shared.stop),
            report: Arc::clone(&shared.report),
            callers,
        }
    }

    /// Stops the callers after their open requests, and returns the results.
    pub async fn finish(self) -> BackgroundReport {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            // A caller that panicked counts no further requests; the totals show it.
            let _ = caller.await;
        }
        let report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }
}

async fn call_until_stopped(shared: Arc<Shared>, number: usize) {
    let mut router = number;
    while !shared.stop.load(Ordering::Relaxed) {
        let position = shared.next.fetch_add(1, Ordering::Relaxed) % shared.requests.len();
        let (tenant, request) = &shared.requests[position];
        let mode = if position.is_multiple_of(4) {
            ResponseMode::Unary
        } else {
            ResponseMode::Stream
        };
        let address = shared.routers[router % shared.routers.len()];
        let outcome = shared.callers[*tenant]
            .generate(address, request, mode)
            .await;
        let try_next_router = matches!(
            outcome,
            CallOutcome::Unreachable
                | CallOutcome::Refused {
                    execution: Execution::NotRun,
                    ..
                }
        );
        {
            let mut report = shared.report.lock().unwrap_or_else(PoisonError::into_inner);
            if matches!(outcome, CallOutcome::Complete { .. }) {
                report.completed_at.push(Instant::now());
            }
            report.summary.add(&outcome);
        }
        if try_next_router {
            router += 1;
            sleep(RETRY_PAUSE).await;
        }
    }
}
