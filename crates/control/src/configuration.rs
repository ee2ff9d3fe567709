//! Changes of the configuration by operators, applied atomically with compare-and-set on revisions.

use railtack_core::{Revision, TenantName};
use railtack_rpc::protocol::{Configuration, ConfigurationChange, Versioned};
use railtack_settings::documents::{Document, DocumentError, Template, Tenant};

/// Reason for which a change was rejected. The configuration is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The stored document has another revision than expected.
    Conflict {
        /// Stored revision; 0 if the document does not exist.
        current: Revision,
    },
    /// The document is invalid, by itself or with the rest of the configuration.
    Invalid(DocumentError),
}

/// Whether expected revisions are enforced. Disabled only in simulations that check that the fault is
/// found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevisionCheck {
    /// Rejects changes whose expected revision differs from the stored one.
    Enforced,
    /// Accepts changes with any expected revision.
    Skipped,
}

/// Validates a change against the configuration and applies it. Returns the new revision.
pub fn apply_change(
    configuration: &mut Configuration,
    change: &ConfigurationChange,
    check: RevisionCheck,
) -> Result<Revision, ChangeError> {
    let next = Revision(configuration.revision.0 + 1);
    match change {
        ConfigurationChange::Put { expected, document } => {
            document.validate().map_err(ChangeError::Invalid)?;
            let current = revision_of(configuration, document);
            if check == RevisionCheck::Enforced && current != *expected {
                return Err(ChangeError::Conflict { current });
            }
            validate_references(configuration, document).map_err(ChangeError::Invalid)?;
            insert_document(configuration, document.clone(), next);
        }
        ConfigurationChange::SetDrain {
            engine,
            drained: true,
        } => {
            configuration.drained.insert(*engine);
        }
        ConfigurationChange::SetDrain {
            engine,
            drained: false,
        } => {
            configuration.drained.remove(engine);
        }
    }
    configuration.revision = next;
    Ok(next)
}

/// Applies a change that the control state has accepted, without validation. Used by routers.
pub fn apply_accepted(
    configuration: &mut Configuration,
    change: ConfigurationChange,
    revision: Revision,
) {
    match change {
        ConfigurationChange::Put { document, .. } => {
            insert_document(configuration, document, revision)
        }
        ConfigurationChange::SetDrain {
            engine,
            drained: true,
        } => {
            configuration.drained.insert(engine);
        }
        ConfigurationChange::SetDrain {
            engine,
            drained: false,
        } => {
            configuration.drained.remove(&engine);
        }
    }
    configuration.revision = revision;
}

fn revision_of(configuration: &Configuration, document: &Document) -> Revision {
    let stored = match document {
        Document::Template(new) => configuration
            .templates
            .get(&new.name)
            .map(|old| old.revision),
        Document::Tenant(new) => configuration.tenants.get(&new.name).map(|old| old.revision),
        Document::Model(new) => configuration.models.get(&new.name).map(|old| old.revision),
    };
    stored.unwrap_or_default()
}

fn insert_document(configuration: &mut Configuration, document: Document, revision: Revision) {
    match document {
        Document::Template(document) => {
            let name = document.name.clone();
            configuration
                .templates
                .insert(name, Versioned { revision, document });
        }
        Document::Tenant(document) => {
            let name = document.name.clone();
            configuration
                .tenants
                .insert(name, Versioned { revision, document });
        }
        Document::Model(document) => {
            let name = document.name.clone();
            configuration
                .models
                .insert(name, Versioned { revision, document });
        }
    }
}

fn validate_references(
    configuration: &Configuration,
    document: &Document,
) -> Result<(), DocumentError> {
    match document {
        Document::Template(template) => validate_dependent_tenants(configuration, template),
        Document::Tenant(tenant) => validate_tenant(configuration, tenant),
        Document::Model(_) => Ok(()),
    }
}

/// Checks that the new template is valid for every tenant that uses it.
fn validate_dependent_tenants(
    configuration: &Configuration,
    template: &Template,
) -> Result<(), DocumentError> {
    for tenant in configuration
        .tenants
        .values()
        .map(|versioned| &versioned.document)
    {
        if let Some(service) = tenant.service(&template.name) {
            tenant.validate_service(service, template)?;
        }
    }
    Ok(())
}

fn validate_tenant(configuration: &Configuration, tenant: &Tenant) -> Result<(), DocumentError> {
    for service in &tenant.services {
        let template = configuration
            .templates
            .get(&service.template)
            .ok_or_else(|| DocumentError::UnknownTemplate {
                tenant: tenant.name.clone(),
                template: service.template.clone(),
            })?;
        tenant.validate_service(service, &template.document)?;
    }
    let key_taken = configuration
        .tenants
        .values()
        .any(|other| other.document.name != tenant.name && shares_key(&other.document, tenant));
    if key_taken {
        return Err(DocumentError::KeyTaken {
            tenant: TenantName(tenant.name.0.clone()),
        });
    }
    Ok(())
}

fn shares_key(left: &Tenant, right: &Tenant) -> bool {
    left.key_hashes
        .iter()
        .any(|hash| right.key_hashes.contains(hash))
}
