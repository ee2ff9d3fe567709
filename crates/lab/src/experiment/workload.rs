//! Random workloads of the two kinds of fleet. Their shapes are assumptions; no recorded traffic is used.

use railtack_settings::documents::Priority;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    experiment::trace::{Segment, TraceRequest},
    fleet::FleetKind,
};

/// Number of tenants of each fleet.
pub const TENANTS: u32 = 8;

/// Zipf exponent of the tenants: the largest of eight sends 37% of the requests.
const TENANT_SKEW: f64 = 1.0;
/// Zipf exponent of the documents: the hottest of twenty is used by 34% of the requests.
const DOCUMENT_SKEW: f64 = 1.2;

/// A kind of request.
#[derive(Clone, Debug)]
struct Job {
    template: &'static str,
    class: Priority,
    /// Share of all requests, 0 to 1.
    share: f64,
    opening_tokens: u32,
    tenant_tokens: u32,
    /// Length of a document, tokens; 0 if the prompt has none.
    document_tokens: u32,
    question_tokens: (u32, u32),
    output_tokens: (u32, u32),
    deadline_ms: u64,
}

/// Parameters of a random workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Kind of fleet.
    pub kind: FleetKind,
    /// Arrivals per second, over all tenants.
    pub rate: f64,
    /// Length of the workload, seconds.
    pub seconds: f64,
    /// Number of documents of each tenant in use at a time.
    pub documents: u32,
    /// Time at which all documents are replaced by others, seconds.
    pub shift_at: Option<f64>,
    /// Time from which a third of all requests with a document use one new document of
    /// the tenant, seconds.
    pub flash_at: Option<f64>,
}

impl Workload {
    /// Returns a workload whose document popularity does not change abruptly.
    pub fn ordinary(kind: FleetKind, rate: f64, seconds: f64) -> Self {
        let documents = match kind {
            FleetKind::Brasov => 20,
            FleetKind::Quarrybrook => 16,
        };
        Self {
            kind,
            rate,
            seconds,
            documents,
            shift_at: None,
            flash_at: None,
        }
    }

    /// Returns the number of engines of the fleet.
    pub fn engines(&self) -> u32 {
        match self.kind {
            FleetKind::Brasov => 20,
            FleetKind::Quarrybrook => 12,
        }
    }

    /// Generates the requests, in order of arrival.
    pub fn draw(&self, seed: u64) -> Vec<TraceRequest> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let jobs = jobs(self.kind);
        let mut requests = Vec::new();
        let mut now = 0.0;
        loop {
            // Poisson arrivals, as from many independent callers.
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            now -= uniform.ln() / self.rate;
            if now >= self.seconds {
                return requests;
            }
            requests.push(self.draw_request(&jobs, now, &mut random));
        }
    }

    fn draw_request(&self, jobs: &[Job], now: f64, random: &mut ChaCha8Rng) -> TraceRequest {
        let job = draw_job(jobs, random);
        let tenant = zipf(TENANTS, TENANT_SKEW, random);
        let mut segments = vec![Segment {
            id: xxh3_64(job.template.as_bytes()),
            tokens: job.opening_tokens,
        }];
        segments.push(Segment {
            id: segment_id(&[2, u64::from(tenant)]),
            tokens: job.tenant_tokens,
        });
        if job.document_tokens > 0 {
            let document = self.draw_document(now, random);
            segments.push(Segment {
                id: segment_id(&[3, u64::from(tenant), document]),
                tokens: job.document_tokens,
            });
        }
        segments.push(Segment {
            id: random.random(),
            tokens: draw_range(job.question_tokens, random),
        });
        TraceRequest {
            arrival_us: (now * 1e6) as u64,
            tenant,
            template: job.template.to_owned(),
            class: job.class,
            segments,
            output_tokens: draw_range(job.output_tokens, random),
            deadline_ms: job.deadline_ms,
        }
    }

    /// Draws a document by popularity.
    fn draw_document(&self, now: f64, random: &mut ChaCha8Rng) -> u64 {
        let is_flash = self.flash_at.is_some_and(|at| now >= at);
        if is_flash && random.random_bool(1.0 / 3.0) {
            return u64::MAX;
        }
        let rank = u64::from(zipf(self.documents, DOCUMENT_SKEW, random));
        let generation = u64::from(self.shift_at.is_some_and(|at| now >= at));
        let rotation = (now / 30.0) as u64;
        // In each period of 30 seconds, new documents replace another quarter of them.
        let position = rank + u64::from(rank % 4 == rotation % 4) * rotation * 1_000;
        generation * 1_000_000_000 + position
    }
}

fn jobs(kind: FleetKind) -> Vec<Job> {
    match kind {
        FleetKind::Brasov => vec![
            Job {
                template: "valuation-opinion",
                class: Priority::Batch,
                share: 0.4,
                opening_tokens: 2_048,
                tenant_tokens: 1_024,
                document_tokens: 8_192,
                question_tokens: (48, 240),
                output_tokens: (100, 300),
                deadline_ms: 60_000,
            },
            Job {
                template: "land-use-code",
                class: Priority::Interactive,
                share: 0.6,
                opening_tokens: 512,
                tenant_tokens: 1_024,
                document_tokens: 0,
                question_tokens: (32, 96),
                output_tokens: (8, 32),
                deadline_ms: 4_000,
            },
        ],
        FleetKind::Quarrybrook => vec![
            Job {
                template: "chargeback-review",
                class: Priority::Batch,
                share: 0.25,
                opening_tokens: 1_024,
                tenant_tokens: 1_024,
                document_tokens: 6_144,
                question_tokens: (48, 240),
                output_tokens: (60, 200),
                deadline_ms: 60_000,
            },
            Job {
                template: "sale-stands",
                class: Priority::Interactive,
                share: 0.75,
                opening_tokens: 512,
                tenant_tokens: 512,
                document_tokens: 1_024,
                question_tokens: (32, 96),
                output_tokens: (8, 24),
                deadline_ms: 4_000,
            },
        ],
    }
}

fn draw_job<'a>(jobs: &'a [Job], random: &mut ChaCha8Rng) -> &'a Job {
    let mut point: f64 = random.random_range(0.0..1.0);
    for job in jobs {
        point -= job.share;
        if point < 0.0 {
            return job;
        }
    }
    &jobs[0]
}

fn draw_range((low, high): (u32, u32), random: &mut ChaCha8Rng) -> u32 {
    random.random_range(low..=high)
}

/// Draws a rank below `count`; rank r has weight 1 / (r + 1)^exponent.
fn zipf(count: u32, exponent: f64, random: &mut ChaCha8Rng) -> u32 {
    let weight = |rank: u32| f64::from(rank + 1).powf(-exponent);
    let total: f64 = (0..count).map(weight).sum();
    let mut point = random.random_range(0.0..total);
    for rank in 0..count {
        point -= weight(rank);
        if point < 0.0 {
            return rank;
        }
    }
    count - 1
}

fn segment_id(parts: &[u64]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxh3_64(&bytes)
}
