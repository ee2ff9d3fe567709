//! Starts a fleet, sends mixed load and checks every response.

use std::{collections::HashSet, path::PathBuf, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use futures::{StreamExt, stream};
use railtack_core::{BlockHash, EngineId, OperationId, RefusalCode};
use railtack_ctl::client::ControlClient;
use railtack_http::HttpClient;
use railtack_rpc::protocol::{ConfigurationChange, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::{
    LabError,
    fleet::{Fleet, FleetKind, FleetShape},
    load::{
        CallOutcome, Caller, LoadDocuments, ModelRequest, Summary, caller::ResponseMode,
        documents::LONG_TEMPLATE,
    },
};

/// Number of requests.
const REQUESTS: usize = 300;
/// Most requests open at a time.
const CONCURRENCY: usize = 16;
/// Number of tenants.
const TENANTS: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of the commands that start a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Kind of fleet.
    pub kind: FleetKind,
    /// Seed of all random choices.
    pub seed: u64,
    /// Folder for settings, logs and data; a temporary one if absent.
    pub folder: Option<PathBuf>,
}

impl FleetOptions {
    /// Returns the configured folder, or a temporary one for this process.
    pub fn folder(&self) -> PathBuf {
        let temporary =
            || std::env::temp_dir().join(format!("railtack-lab-{}", std::process::id()));
        self.folder.clone().unwrap_or_else(temporary)
    }
}

/// A running fleet whose documents have been applied.
pub struct PreparedFleet {
    /// The fleet.
    pub fleet: Fleet,
    /// Documents that were submitted.
    pub documents: LoadDocuments,
}

impl PreparedFleet {
    /// Submits `count` configuration changes through one client. Returns how many were accepted.
    pub async fn submit_many_changes(&self, count: u64) -> Result<u64, Report<LabError>> {
        let addresses = self
            .fleet
            .endpoints
            .control
            .iter()
            .map(|endpoint| endpoint.listen);
        let client = ControlClient::new(addresses);
        let mut accepted = 0;
        for number in 0..count {
            let engine = EngineId(1_000_000 + number as u32 / 2);
            let drained = number.is_multiple_of(2);
            let change = ConfigurationChange::SetDrain { engine, drained };
            let operation = OperationId(format!("many-{number}"));
            let outcome = client
                .configure(&operation, change)
                .await
                .change_context(LabError::Runtime)?;
            accepted += u64::from(matches!(outcome, Outcome::Accepted { .. }));
        }
        Ok(accepted)
    }

    /// Returns the number of voters whose disk identity is the one that a replica reports now.
    pub async fn voters_on_current_disk(&self, replica: u32) -> Result<usize, Report<LabError>> {
        let addresses = self
            .fleet
            .endpoints
            .control
            .iter()
            .map(|endpoint| endpoint.listen);
        let client = ControlClient::new(addresses);
        let statuses: Vec<_> = client
            .statuses()
            .await
            .into_iter()
            .filter_map(|(_, status)| status)
            .collect();
        let present = statuses
            .iter()
            .find(|status| status.identity.replica.0 == replica)
            .map(|status| status.identity.disk);
        let newest = statuses
            .iter()
            .max_by_key(|status| (status.term, status.commit));
        let members = newest.map_or(&[][..], |status| &status.members);
        let matching = members
            .iter()
            .filter(|member| member.voter && Some(member.disk) == present);
        Ok(matching.count())
    }
}

/// Starts a fleet and submits the documents with `railtackctl`.
pub async fn prepare(
    shape: FleetShape,
    options: &FleetOptions,
    random: &mut ChaCha8Rng,
) -> Result<PreparedFleet, Report<LabError>> {
    let folder = options.folder();
    let documents = LoadDocuments::draw(&shape, TENANTS, random);
    let fleet = Fleet::start(shape, &folder).await?;
    for [kind, verb, file] in documents.write(&folder)? {
        fleet.run_ctl(&[&kind, &verb, &file]).await?;
    }
    fleet.wait_for_routers().await?;
    wait_for_engines(&fleet, &documents).await?;
    Ok(PreparedFleet { fleet, documents })
}

/// Waits until every router completes a model request, which needs registered engines and the documents.
async fn wait_for_engines(
    fleet: &Fleet,
    documents: &LoadDocuments,
) -> Result<(), Report<LabError>> {
    let timeout = Duration::from_secs(20);
    let started = Instant::now();
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let caller = Caller::new(client, &documents.tenants[0].key);
    let mut random = ChaCha8Rng::seed_from_u64(0);
    let request = documents.model_request(0, &mut random);
    for endpoint in &fleet.endpoints.routers {
        while !is_served(&caller, endpoint.listen, &request).await {
            if started.elapsed() > timeout {
                return Err(Report::new(LabError::NotReady {
                    name: format!("router-{}", endpoint.router),
                    limit_ms: timeout.as_millis() as u64,
                }));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn is_served(caller: &Caller, router: std::net::SocketAddr, request: &ModelRequest) -> bool {
    let outcome = caller.generate(router, request, ResponseMode::Stream).await;
    matches!(outcome, CallOutcome::Complete { .. })
}

/// One request of the mixed load.
#[derive(Clone, Debug)]
enum MixedRequest {
    Model(usize, Box<ModelRequest>, ResponseMode),
    Lookup(usize, u64),
    Keyed(usize, u64),
    WrongKey(Box<ModelRequest>),
    UnknownTemplate(usize),
}

impl MixedRequest {
    fn draw(documents: &LoadDocuments, random: &mut ChaCha8Rng) -> Self {
        let tenant = random.random_range(0..documents.tenants.len());
        match random.random_range(0..100) {
            0..80 => {
                let mode = if random.random_bool(0.75) {
                    ResponseMode::Stream
                } else {
                    ResponseMode::Unary
                };
                let request = documents.model_request(tenant, random);
                Self::Model(tenant, Box::new(request), mode)
            }
            80..88 => Self::Lookup(tenant, random.random()),
            88..96 => Self::Keyed(tenant, random.random()),
            96..98 => Self::WrongKey(Box::new(documents.model_request(tenant, random))),
            _ => Self::UnknownTemplate(tenant),
        }
    }

    /// Returns the refusal code that this request must get, or `None` if it must succeed.
    fn expected_refusal(&self) -> Option<RefusalCode> {
        match self {
            Self::WrongKey(_) => Some(RefusalCode::Unauthorized),
            Self::UnknownTemplate(_) => Some(RefusalCode::UnknownTemplate),
            _ => None,
        }
    }
}

/// Runs the demonstration.
pub async fn run(options: FleetOptions) -> Result<(), Report<LabError>> {
    let started = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let shape = FleetShape::demonstration(options.kind);
    println!(
        "starting {} routers, {} control replicas, {} engines, {} services in {} (seed {})",
        shape.routers,
        shape.control,
        shape.engines,
        shape.services.len(),
        shape.zones.join(", "),
        options.seed,
    );
    let prepared = prepare(shape, &options, &mut random).await?;
    println!(
        "fleet is ready after {:.1} s; templates and {TENANTS} tenants submitted",
        started.elapsed().as_secs_f64()
    );
    let before = EngineWork::read(&prepared.fleet).await;
    let requests: Vec<MixedRequest> = (0..REQUESTS)
        .map(|_| MixedRequest::draw(&prepared.documents, &mut random))
        .collect();
    let blocks = distinct_prompt_tokens(&prepared.documents, &requests);
    let (summary, unexpected) = run_load(&prepared, requests).await;
    let work = EngineWork::read(&prepared.fleet).await.since(before);
    let executions = prepared.fleet.executions().await?;
    let repeated = executions
        .by_key
        .values()
        .filter(|count| **count > 1)
        .count();
    println!("{summary}");
    work.print(blocks);
    println!("keys executed twice    {repeated}");
    println!("unexpected refusals    {unexpected}");
    println!("took {:.1} s", started.elapsed().as_secs_f64());
    let wrong = summary.wrong.len() as u64;
    let violations =
        wrong + summary.lost + summary.broken + summary.unreachable + repeated as u64 + unexpected;
    stop_fleet(prepared.fleet, &options, violations)
}

fn stop_fleet(
    fleet: Fleet,
    options: &FleetOptions,
    violations: u64,
) -> Result<(), Report<LabError>> {
    let folder = fleet.folder.clone();
    drop(fleet);
    if violations > 0 {
        eprintln!("logs are in {}", folder.display());
        return Err(Report::new(LabError::Violations { violations }));
    }
    if options.folder.is_none() {
        // A temporary folder that cannot be removed is harmless.
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(())
}

async fn run_load(prepared: &PreparedFleet, requests: Vec<MixedRequest>) -> (Summary, u64) {
    let client = HttpClient::new(CONNECT_TIMEOUT);
    let callers = prepared
        .documents
        .tenants
        .iter()
        .map(|tenant| Caller::new(client.clone(), &tenant.key))
        .collect::<Vec<_>>();
    let callers = Arc::new(callers);
    let unknown_caller = Caller::new(client, "nobody's key");
    let routers = &prepared.fleet.endpoints.routers;
    let documents = &prepared.documents;
    let total = requests.len();
    let mut outcomes = stream::iter(requests.into_iter().enumerate())
        .map(|(number, request)| {
            let router = routers[number % routers.len()].listen;
            let callers = Arc::clone(&callers);
            let unknown_caller = unknown_caller.clone();
            async move {
                let outcome = send(&callers, &unknown_caller, documents, router, &request).await;
                (request.expected_refusal(), outcome)
            }
        })
        .buffer_unordered(CONCURRENCY);
    let mut summary = Summary::default();
    let mut unexpected = 0;
    while let Some((expected, outcome)) = outcomes.next().await {
        summary.add(&outcome);
        let refused = match outcome {
            CallOutcome::Refused { code, .. } => Some(code),
            _ => None,
        };
        unexpected += u64::from(refused != expected);
        if summary.total().is_multiple_of(100) {
            println!("{} of {total} requests answered", summary.total());
        }
    }
    (summary, unexpected)
}

async fn send(
    callers: &[Caller],
    unknown_caller: &Caller,
    documents: &LoadDocuments,
    router: std::net::SocketAddr,
    request: &MixedRequest,
) -> CallOutcome {
    let (lookup, keyed) = documents.service_names();
    match request {
        MixedRequest::Model(tenant, request, mode) => {
            callers[*tenant].generate(router, request, *mode).await
        }
        MixedRequest::Lookup(tenant, number) => {
            let path = format!("parcel/{number:x}");
            callers[*tenant].call(router, lookup, &path, None).await
        }
        MixedRequest::Keyed(tenant, number) => {
            let key = format!("{number:016x}");
            let path = format!("notice/{number:x}");
            callers[*tenant]
                .call(router, keyed, &path, Some(&key))
                .await
        }
        MixedRequest::WrongKey(request) => {
            unknown_caller
                .generate(router, request, ResponseMode::Unary)
                .await
        }
        MixedRequest::UnknownTemplate(tenant) => {
            let request = ModelRequest {
                template: "no-such-template",
                file: None,
                prompt_suffix: String::new(),
                max_tokens: 1,
                prompt: String::new(),
            };
            callers[*tenant]
                .generate(router, &request, ResponseMode::Unary)
                .await
        }
    }
}

/// Tokens of the distinct blocks of all prompts, and tokens after the last complete blocks.
#[derive(Clone, Copy, Debug, Default)]
struct DistinctTokens {
    block_tokens: u64,
    tail_tokens: u64,
}

fn distinct_prompt_tokens(documents: &LoadDocuments, requests: &[MixedRequest]) -> DistinctTokens {
    let mut seen: HashSet<BlockHash> = HashSet::new();
    let mut distinct = DistinctTokens::default();
    for request in requests {
        let MixedRequest::Model(tenant, request, _) = request else {
            continue;
        };
        let chain = documents.chain(*tenant, &request.prompt);
        let new = chain.blocks.iter().filter(|block| seen.insert(**block));
        distinct.block_tokens += new.count() as u64 * u64::from(chain.block_tokens);
        let covered = chain.tokens_at(chain.blocks.len());
        distinct.tail_tokens += u64::from(chain.total_tokens - covered);
    }
    distinct
}

/// Token counts of all engines.
#[derive(Clone, Copy, Debug, Default)]
struct EngineWork {
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl EngineWork {
    async fn read(fleet: &Fleet) -> Self {
        let statuses = fleet.engine_statuses().await;
        Self {
            prompt_tokens: statuses.iter().map(|s| s.totals.prompt_tokens).sum(),
            cached_tokens: statuses.iter().map(|s| s.totals.cached_tokens).sum(),
        }
    }

    fn since(self, before: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens - before.prompt_tokens,
            cached_tokens: self.cached_tokens - before.cached_tokens,
        }
    }

    /// Prints the hit rate and the wasted recomputation. The first computation of a block is not waste.
    fn print(self, distinct: DistinctTokens) {
        let computed = self.prompt_tokens - self.cached_tokens;
        let needed = distinct.block_tokens + distinct.tail_tokens;
        let wasted = computed.saturating_sub(needed);
        let share = |part: u64| part as f64 / self.prompt_tokens.max(1) as f64;
        println!("prompt tokens          {}", self.prompt_tokens);
        println!("prefix hit rate        {:.3}", share(self.cached_tokens));
        println!(
            "wasted recomputation   {wasted} tokens, {:.3} of all prompt tokens",
            share(wasted)
        );
    }
}

/// Starts a fleet and keeps it running until interrupted.
pub async fn up(options: FleetOptions) -> Result<(), Report<LabError>> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let shape = FleetShape::demonstration(options.kind);
    let prepared = prepare(shape, &options, &mut random).await?;
    print_usage(&prepared);
    tokio::signal::ctrl_c()
        .await
        .change_context(LabError::Runtime)?;
    println!("stopping");
    stop_fleet(prepared.fleet, &options, 0)
}

fn print_usage(prepared: &PreparedFleet) {
    let endpoints = &prepared.fleet.endpoints;
    let (lookup, keyed) = prepared.documents.service_names();
    for endpoint in &endpoints.routers {
        println!(
            "router {}: http://{} (operators: http://{})",
            endpoint.router, endpoint.listen, endpoint.admin
        );
    }
    println!("control replicas: {}", endpoints.control_list());
    println!("platform: http://{}", endpoints.platform);
    for tenant in &prepared.documents.tenants {
        println!("bearer key of {}: {}", tenant.name, tenant.key);
    }
    println!("model templates: {LONG_TEMPLATE} (parameter file), counter-answer");
    println!("service templates: {lookup}, and {keyed}, which needs an Idempotency-Key");
    println!(
        "settings, logs and data: {}",
        prepared.fleet.folder.display()
    );
    println!("interrupt with Ctrl-C");
}
