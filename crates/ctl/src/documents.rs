//! Commands on templates, tenants and models.

use std::{fs, path::Path};

use clap::ArgMatches;
use error_stack::Report;
use railtack_core::Revision;
use railtack_rpc::protocol::{Configuration, ConfigurationChange};
use railtack_settings::documents::Document;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    client::ControlClient,
    commands::{accepted, operation_id},
    errors::CtlError,
    output::{OutputFormat, Table, print_json},
};

/// The kinds of document that have the same commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Templates.
    Template,
    /// Tenants.
    Tenant,
    /// Weights wanted for a model.
    Model,
}

/// A stored document, for printing.
#[derive(Clone, Debug, Serialize)]
pub struct StoredDocument {
    name: String,
    revision: Revision,
    document: Document,
}

/// Runs a command on documents.
pub async fn documents(
    client: &ControlClient,
    format: OutputFormat,
    kind: DocumentKind,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    match matches.subcommand() {
        Some(("submit", matches)) => put(client, kind, matches, Some(Revision(0))).await,
        Some(("revise", matches)) => put(client, kind, matches, None).await,
        Some(("show", matches)) => show(client, kind, matches).await,
        Some(("list", _)) => list(client, format, kind).await,
        Some(("diff", matches)) => diff(client, kind, matches).await,
        _ => Ok(()),
    }
}

async fn put(
    client: &ControlClient,
    kind: DocumentKind,
    matches: &ArgMatches,
    default_expected: Option<Revision>,
) -> Result<(), Report<CtlError>> {
    let document = read_document(kind, matches)?;
    let named = matches.get_one::<u64>("expect-revision").copied();
    let expected = match named.map(Revision).or(default_expected) {
        Some(expected) => expected,
        None => present_revision(client, &document).await?,
    };
    let operation = operation_id(matches);
    let change = ConfigurationChange::Put { expected, document };
    let outcome = client.configure(&operation, change).await?;
    let revision = accepted(outcome)?;
    println!("accepted at revision {revision} (operation {operation})");
    Ok(())
}

async fn present_revision(
    client: &ControlClient,
    document: &Document,
) -> Result<Revision, Report<CtlError>> {
    let name = name_of(document);
    let kind = kind_of(document);
    let configuration = client.configuration().await?;
    let stored = stored(&configuration, kind).into_iter();
    let known = stored.into_iter().find(|stored| stored.name == name);
    known
        .map(|stored| stored.revision)
        .ok_or_else(|| Report::new(CtlError::NotFound { name }))
}

async fn show(
    client: &ControlClient,
    kind: DocumentKind,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    let name = matches
        .get_one::<String>("name")
        .cloned()
        .unwrap_or_default();
    let configuration = client.configuration().await?;
    let found = stored(&configuration, kind)
        .into_iter()
        .find(|stored| stored.name == name)
        .ok_or_else(|| Report::new(CtlError::NotFound { name }))?;
    print_json(&found);
    Ok(())
}

async fn list(
    client: &ControlClient,
    format: OutputFormat,
    kind: DocumentKind,
) -> Result<(), Report<CtlError>> {
    let configuration = client.configuration().await?;
    let mut table = Table::new(["name", "revision"]);
    for stored in stored(&configuration, kind) {
        table.row([stored.name, stored.revision.to_string()]);
    }
    table.print(format);
    Ok(())
}

async fn diff(
    client: &ControlClient,
    kind: DocumentKind,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    let document = read_document(kind, matches)?;
    let name = name_of(&document);
    let configuration = client.configuration().await?;
    let known = stored(&configuration, kind)
        .into_iter()
        .find(|stored| stored.name == name);
    let old = known
        .map(|stored| pretty(&stored.document))
        .unwrap_or_default();
    let new = pretty(&document);
    for line in old
        .lines()
        .filter(|line| !new.lines().any(|other| other == *line))
    {
        println!("- {line}");
    }
    for line in new
        .lines()
        .filter(|line| !old.lines().any(|other| other == *line))
    {
        println!("+ {line}");
    }
    Ok(())
}

fn read_document(kind: DocumentKind, matches: &ArgMatches) -> Result<Document, Report<CtlError>> {
    let file = matches
        .get_one::<std::path::PathBuf>("file")
        .cloned()
        .unwrap_or_default();
    match kind {
        DocumentKind::Template => parse_file(&file).map(Document::Template),
        DocumentKind::Tenant => parse_file(&file).map(Document::Tenant),
        DocumentKind::Model => parse_file(&file).map(Document::Model),
    }
}

fn parse_file<T: DeserializeOwned>(file: &Path) -> Result<T, Report<CtlError>> {
    let name = file.display().to_string();
    let bad_file = |reason: String| CtlError::BadFile {
        file: name.clone(),
        reason,
    };
    let text = fs::read_to_string(file).map_err(|error| {
        let reason = bad_file(error.to_string());
        Report::new(error).change_context(reason)
    })?;
    toml::from_str(&text).map_err(|error| Report::new(bad_file(error.to_string())))
}

fn stored(configuration: &Configuration, kind: DocumentKind) -> Vec<StoredDocument> {
    match kind {
        DocumentKind::Template => configuration
            .templates
            .values()
            .map(|known| {
                stored_document(known.revision, Document::Template(known.document.clone()))
            })
            .collect(),
        DocumentKind::Tenant => configuration
            .tenants
            .values()
            .map(|known| stored_document(known.revision, Document::Tenant(known.document.clone())))
            .collect(),
        DocumentKind::Model => configuration
            .models
            .values()
            .map(|known| stored_document(known.revision, Document::Model(known.document.clone())))
            .collect(),
    }
}

fn stored_document(revision: Revision, document: Document) -> StoredDocument {
    StoredDocument {
        name: name_of(&document),
        revision,
        document,
    }
}

fn name_of(document: &Document) -> String {
    match document {
        Document::Template(template) => template.name.0.clone(),
        Document::Tenant(tenant) => tenant.name.0.clone(),
        Document::Model(target) => target.name.0.clone(),
    }
}

fn kind_of(document: &Document) -> DocumentKind {
    match document {
        Document::Template(_) => DocumentKind::Template,
        Document::Tenant(_) => DocumentKind::Tenant,
        Document::Model(_) => DocumentKind::Model,
    }
}

fn pretty(document: &Document) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default()
}
