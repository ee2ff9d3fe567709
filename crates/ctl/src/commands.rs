//! Cluster subcommands: status, members, engines, drain, explain, outcomes, snapshot.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use railtack_backend_api::{EngineStatus, MachineKind, MachineList};
use railtack_consensus::{Member, ReplicaId};
use railtack_core::{EngineId, OperationId, Revision};
use railtack_http::HttpClient;
use railtack_router::decisions::DecisionRecord;
use railtack_rpc::{
    FeatureLevel,
    protocol::{ConfigurationChange, MembershipChange, Outcome},
};

use crate::{
    client::ControlClient,
    errors::CtlError,
    logs,
    output::{OutputFormat, Table, print_json},
};

/// Timeout of one call to the platform, an engine or a router.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the state of the control replicas and routers.
pub async fn status(client: &ControlClient, format: OutputFormat) -> Result<(), Report<CtlError>> {
    let statuses = client.statuses().await;
    let mut table = Table::new([
        "address", "replica", "term", "leader", "commit", "log", "revision", "claims", "routers",
        "level", "builds",
    ]);
    let mut reachable = 0;
    for (address, status) in statuses {
        let Some(status) = status else {
            table.add_row([address.to_string(), "unreachable".to_owned()]);
            continue;
        };
        reachable += 1;
        let leader = status
            .leader
            .map_or("none".to_owned(), |leader| leader.to_string());
        table.add_row([
            address.to_string(),
            status.identity.replica.to_string(),
            status.term.to_string(),
            leader,
            status.commit.to_string(),
            status.log_entries.to_string(),
            status.revision.to_string(),
            status.claims.to_string(),
            status.routers.len().to_string(),
            status.group_level.0.to_string(),
            format_member_levels(&status.member_levels),
        ]);
    }
    table.print(format);
    if reachable == 0 {
        return Err(Report::new(CtlError::Unavailable));
    }
    Ok(())
}

/// Formats the feature level of each member's build, as reported by one replica.
fn format_member_levels(levels: &[(ReplicaId, FeatureLevel)]) -> String {
    let levels = levels.iter();
    let levels = levels.map(|(member, level)| format!("{member}:{}", level.0));
    levels.collect::<Vec<_>>().join(",")
}

/// Runs `members list`, `members add` or `members remove`.
pub async fn members(
    client: &ControlClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    match matches.subcommand() {
        Some(("add", matches)) => {
            let address = matches.get_one::<SocketAddr>("address").copied();
            add_member(client, address).await
        }
        Some(("remove", matches)) => {
            let replica = matches
                .get_one::<u32>("replica")
                .copied()
                .unwrap_or_default();
            let change = MembershipChange::Remove(ReplicaId(replica));
            client.change_membership(&change).await?;
            println!("replica {replica} is removed");
            Ok(())
        }
        _ => list_members(client, format).await,
    }
}

/// Adds a replica as a learner, then promotes it: a voter that lacks log entries could not replace
/// another voter that fails.
async fn add_member(
    client: &ControlClient,
    address: Option<SocketAddr>,
) -> Result<(), Report<CtlError>> {
    let Some(address) = address else {
        return Ok(());
    };
    let identity = ControlClient::identify(address).await?;
    let members = client.newest_members().await?;
    let existing = members
        .iter()
        .find(|member| member.replica == identity.replica && member.disk == identity.disk);
    let member = Member {
        replica: identity.replica,
        disk: identity.disk,
        address: address.to_string(),
        voter: false,
    };
    // Skips each step that an earlier, interrupted command has completed.
    if existing.is_none() {
        let add = MembershipChange::AddLearner(member);
        client.change_membership(&add).await?;
    }
    if existing.is_none_or(|member| !member.voter) {
        let promote = MembershipChange::Promote(identity.replica);
        client.change_membership(&promote).await?;
    }
    println!("replica {} at {address} is a voter", identity.replica);
    Ok(())
}

async fn list_members(
    client: &ControlClient,
    format: OutputFormat,
) -> Result<(), Report<CtlError>> {
    let mut table = Table::new(["replica", "address", "role", "disk"]);
    for member in client.newest_members().await? {
        let role = if member.voter { "voter" } else { "learner" };
        table.add_row([
            member.replica.to_string(),
            member.address,
            role.to_owned(),
            format!("{:016x}", member.disk.0),
        ]);
    }
    table.print(format);
    Ok(())
}

/// Prints the engines in the platform's machine list with their state and load.
pub async fn engines(
    client: &ControlClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    let Some(platform) = matches.get_one::<SocketAddr>("platform").copied() else {
        return Ok(());
    };
    let http = HttpClient::new(HTTP_TIMEOUT);
    let list: MachineList = http
        .get_json(platform, "/machines", HTTP_TIMEOUT)
        .await
        .change_context(CtlError::Unavailable)?;
    let drained = client.configuration().await?.drained;
    let mut table = Table::new([
        "engine", "address", "zone", "model", "weights", "state", "running", "waiting",
    ]);
    for machine in list.machines {
        let MachineKind::Engine { engine, model } = machine.kind else {
            continue;
        };
        let status = http
            .get_json::<EngineStatus>(machine.address, "/status", HTTP_TIMEOUT)
            .await
            .ok();
        let state = engine_state(machine.leaving, drained.contains(&engine), status.as_ref());
        let format_field = |field: fn(&EngineStatus) -> u32| {
            status
                .as_ref()
                .map_or("-".to_owned(), |status| field(status).to_string())
        };
        table.add_row([
            engine.to_string(),
            machine.address.to_string(),
            machine.zone.to_string(),
            model.to_string(),
            format_field(|status| status.weights_version.0),
            state.to_owned(),
            format_field(|status| status.load.running),
            format_field(|status| status.load.waiting),
        ]);
    }
    table.print(format);
    Ok(())
}

fn engine_state(leaving: bool, drained: bool, status: Option<&EngineStatus>) -> &'static str {
    match status {
        None => "unreachable",
        Some(status) if status.draining => "draining",
        Some(status) if status.loading => "loading",
        Some(_) if drained => "drained",
        Some(_) if leaving => "leaving",
        Some(_) => "live",
    }
}

/// Sets or clears the drain mark of an engine.
pub async fn drain(client: &ControlClient, matches: &ArgMatches) -> Result<(), Report<CtlError>> {
    let engine = matches
        .get_one::<u32>("engine")
        .copied()
        .unwrap_or_default();
    let drained = !matches.get_flag("undo");
    let operation = operation_id(matches);
    let change = ConfigurationChange::SetDrain {
        engine: EngineId(engine),
        drained,
    };
    let outcome = client.configure(&operation, change).await?;
    let revision = accepted_revision(outcome)?;
    println!("accepted at revision {revision} (operation {operation})");
    Ok(())
}

/// Prints the outcomes of the requests in log files, grouped by cause.
pub fn outcomes(format: OutputFormat, matches: &ArgMatches) -> Result<(), Report<CtlError>> {
    let files = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let files: Vec<PathBuf> = files.cloned().collect();
    logs::print_outcomes(format, &files)
}

/// Prints the routing decisions of a request, from log files or from the routers.
pub async fn explain(format: OutputFormat, matches: &ArgMatches) -> Result<(), Report<CtlError>> {
    let request = matches
        .get_one::<String>("request")
        .cloned()
        .unwrap_or_default();
    if let Some(files) = matches.get_many::<PathBuf>("logs") {
        let files: Vec<PathBuf> = files.cloned().collect();
        return logs::print_explanation(format, &request, &files);
    }
    let routers = matches.get_many::<SocketAddr>("router").unwrap_or_default();
    let http = HttpClient::new(HTTP_TIMEOUT);
    for router in routers.copied() {
        let path = format!("/explain/{request}");
        let response = http
            .get_json::<Vec<DecisionRecord>>(router, &path, HTTP_TIMEOUT)
            .await;
        if let Ok(records) = response {
            print_decisions(format, &records);
            return Ok(());
        }
    }
    Err(Report::new(CtlError::NotFound { name: request }))
}

fn print_decisions(format: OutputFormat, records: &[DecisionRecord]) {
    if format == OutputFormat::Json {
        print_json(&records);
        return;
    }
    let mut table = Table::new([
        "attempt",
        "engine",
        "chosen",
        "held",
        "uncached",
        "expected_ms",
        "running",
        "waiting",
    ]);
    for record in records {
        for candidate in &record.candidates {
            let chosen = candidate.engine == record.engine;
            table.add_row([
                record.attempt.to_string(),
                candidate.engine.to_string(),
                if chosen { "yes" } else { "" }.to_owned(),
                candidate.cached_tokens.to_string(),
                candidate.uncached_tokens.to_string(),
                (candidate.first_token_us / 1_000).to_string(),
                candidate.running.to_string(),
                candidate.waiting.to_string(),
            ]);
        }
    }
    table.print(format);
}

/// Makes the control replicas write snapshots.
pub async fn snapshot(
    client: &ControlClient,
    format: OutputFormat,
) -> Result<(), Report<CtlError>> {
    let mut table = Table::new(["address", "position"]);
    for (address, position) in client.snapshots().await {
        let position = position.map_or("unreachable".to_owned(), |position| position.to_string());
        table.add_row([address.to_string(), position]);
    }
    table.print(format);
    Ok(())
}

/// Returns the revision of an accepted change, or the error that the outcome stands for.
pub fn accepted_revision(outcome: Outcome) -> Result<Revision, Report<CtlError>> {
    match outcome {
        Outcome::Accepted { revision } => Ok(revision),
        Outcome::Conflict { current } => Err(Report::new(CtlError::Conflict { current })),
        Outcome::Rejected(error) => Err(Report::new(CtlError::Rejected(error))),
        _ => Err(Report::new(CtlError::OperationIdReused)),
    }
}

/// Returns the operation id of the command line, or a new random one.
pub fn operation_id(matches: &ArgMatches) -> OperationId {
    let provided = matches.get_one::<String>("operation-id").cloned();
    OperationId(provided.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())))
}
