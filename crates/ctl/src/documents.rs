//! Subcommands on templates, tenants and models.

use std::{fs, path::Path};

use clap::ArgMatches;
use error_stack::Report;
use railtack_core::Revision;
use railtack_rpc::protocol::{Configuration, ConfigurationChange};
use railtack_settings::documents::Document;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    client::ControlClient,
    commands::{accepted_revision, operation_id},
    errors::CtlError,
    output::{OutputFormat, Table, print_json},
};

/// Kind of document. All kinds have the same subcommands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Template.
    Template,
    /// Tenant.
    Tenant,
    /// Target weights of a model.
    Model,
}

/// Stored document as printed by `show`.
#[derive(Clone, Debug, Serialize)]
pub struct StoredDocument {
    name: String,
    revision: Revision,
    document: Document,
}

/// Runs a subcommand on documents of one kind.
pub async fn run(
    client: &ControlClient,
    format: OutputFormat,
    kind: DocumentKind,
    matches: &ArgMatches,
) -> Result<(), Report<CtlError>> {
    match matches.subcommand() {
        Some(("submit", matches)) => put_document(client, kind, matches, Some(Revision(0))).await,
        Some(("revise", matches)) => put_document(client, kind, matches, None).await,
        Some(("show", matches)) => show(client, kind, matches).await,
        Some(("list", _)) => list(client, format, kind).await,
        Some(("diff", matches)) => diff(client, kind, matches).await,
        _ => Ok(()),
    }
}

async fn put_document(
    client: &ControlClient,
    kind: DocumentKind,
    matches: &ArgMatches,
    default_expected: Option<Revision>,
) -> Result<(), Report<CtlError>> {
    let document = read_document(kind, matches)?;
    let explicit = matches.get_one::<u64>("expect-revision").copied();
    let expected = match explicit.map(Revision).or(default_expected) {
        Some(expected) => expected,
        None => current_revision(client, &document).await?,
    };
    let operation = operation_id(matches);
    let change = ConfigurationChange::Put { expected, document };
    let outcome = client.configure(&operation, change).await?;
    let revision = accepted_revision(outcome)?;
    println!("accepted at revision {revision} (operation {operation})");
    Ok(())
}

async fn current_revision(
    client: &ControlClient,
    document: &Document,
) -> Result<Revision, Report<CtlError>> {
    let name = document_name(document);
    let kind = document_kind(document);
    let configuration = client.configuration().await?;
    let documents = stored_documents(&configuration, kind).into_iter();
    let stored = documents.into_iter().find(|stored| stored.name == name);
    stored
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
    let found = stored_documents(&configuration, kind)
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
    for stored in stored_documents(&configuration, kind) {
        table.add_row([stored.name, stored.revision.to_string()]);
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
    let name = document_name(&document);
    let configuration = client.configuration().await?;
    let stored = stored_documents(&configuration, kind)
        .into_iter()
        .find(|stored| stored.name == name);
    let old = stored
        .map(|stored| to_pretty_json(&stored.document))
        .unwrap_or_default();
    let new = to_pretty_json(&document);
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
    let file_error = |reason: String| CtlError::InvalidFile {
        file: name.clone(),
        reason,
    };
    let text = fs::read_to_string(file).map_err(|error| {
        let context = file_error(error.to_string());
        Report::new(error).change_context(context)
    })?;
    toml::from_str(&text).map_err(|error| Report::new(file_error(error.to_string())))
}

fn stored_documents(configuration: &Configuration, kind: DocumentKind) -> Vec<StoredDocument> {
    match kind {
        DocumentKind::Template => configuration
            .templates
            .values()
            .map(|entry| {
                stored_document(entry.revision, Document::Template(entry.document.clone()))
            })
            .collect(),
        DocumentKind::Tenant => configuration
            .tenants
            .values()
            .map(|entry| stored_document(entry.revision, Document::Tenant(entry.document.clone())))
            .collect(),
        DocumentKind::Model => configuration
            .models
            .values()
            .map(|entry| stored_document(entry.revision, Document::Model(entry.document.clone())))
            .collect(),
    }
}

fn stored_document(revision: Revision, document: Document) -> StoredDocument {
    StoredDocument {
        name: document_name(&document),
        revision,
        document,
    }
}

fn document_name(document: &Document) -> String {
    match document {
        Document::Template(template) => template.name.0.clone(),
        Document::Tenant(tenant) => tenant.name.0.clone(),
        Document::Model(target) => target.name.0.clone(),
    }
}

fn document_kind(document: &Document) -> DocumentKind {
    match document {
        Document::Template(_) => DocumentKind::Template,
        Document::Tenant(_) => DocumentKind::Tenant,
        Document::Model(_) => DocumentKind::Model,
    }
}

fn to_pretty_json(document: &Document) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default()
}
