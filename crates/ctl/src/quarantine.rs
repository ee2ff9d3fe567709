//! Subcommands on requests under which back-end replicas crashed.

use std::cmp::Reverse;

use clap::ArgMatches;
use error_stack::Report;
use railtack_rpc::{protocol::Command, serving::ServingCommand};
use railtack_serving::ContentKey;

use crate::{
    client::ControlClient,
    errors::CtlError,
    output::{OutputFormat, Table},
};

/// Runs `quarantine list` or `quarantine release`.
pub async fn run(
    client: &ControlClient,
    format: OutputFormat,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    match matches.subcommand() {
        Some(("release", matches)) => {
            let content = matches.get_one::<ContentKey>("content").copied();
            release(client, content.unwrap_or_default()).await
        }
        _ => list(client, format).await,
    }
}

async fn list(client: &ControlClient, format: OutputFormat) -> Result<(), Report<CtlError>> {
    let mut suspects = client.suspects().await?;
    suspects.sort_by_key(|suspect| Reverse((suspect.is_quarantined, suspect.crashes)));
    let mut table = Table::new(["content", "quarantined", "ends", "changed_at"]);
    for suspect in suspects {
        table.add_row([
            suspect.content.to_string(),
            suspect.is_quarantined.to_string(),
            suspect.crashes.to_string(),
            suspect.changed_at.to_string(),
        ]);
    }
    table.print(format);
    Ok(())
}

async fn release(client: &ControlClient, content: ContentKey) -> Result<(), Report<CtlError>> {
    let suspects = client.suspects().await?;
    if !suspects.iter().any(|suspect| suspect.content == content) {
        let name = format!("request {content}");
        return Err(Report::new(CtlError::NotFound { name }));
    }
    let contents = vec![content];
    let command = Command::Serving(ServingCommand::ClearSuspects { contents });
    client.propose(command, "").await?;
    println!("request {content} is released");
    Ok(())
}
