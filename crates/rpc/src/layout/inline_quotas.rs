//! Former layout of a document, in which each tenant is followed by its quota.
//!
//! Some builds wrote it to the log and to snapshots. It carries no marker that distinguishes it from the layout
//! of the first build. That layout is therefore tried first, and this one if bytes are left over or missing.

use railtack_serving::{
    CallerLimits, Route, ServiceConfig, ServingConfiguration, TenantConfig, TenantQuota,
};
use speedy::Readable;
use thiserror::Error;

use crate::{
    protocol::{Command, Proposal, UnixMillis},
    serving::{ConfigurationDocument, ServingCommand},
};

/// Error in reading stored bytes.
#[derive(Debug, Error)]
pub enum LayoutError {
    /// The bytes match no known layout.
    #[error("the bytes have no known layout: {0}")]
    Unknown(#[from] speedy::Error),
    /// Bytes follow the known layout, so a newer build wrote them.
    #[error("{unread} bytes follow the known layout")]
    Longer {
        /// Number of the following bytes.
        unread: usize,
    },
}

/// Reads a value that must span all of the bytes.
pub fn read_exactly<'a, T>(bytes: &'a [u8]) -> Result<T, LayoutError>
where
    T: Readable<'a, speedy::LittleEndian>,
{
    let (value, length) = T::read_with_length_from_buffer(bytes);
    let value = value?;
    match bytes.len() - length {
        0 => Ok(value),
        unread => Err(LayoutError::Longer { unread }),
    }
}

/// Reads a proposal of the log in any released layout.
pub fn read_proposal(bytes: &[u8]) -> Result<Proposal, LayoutError> {
    read_exactly::<Proposal>(bytes).or_else(|first| {
        read_exactly::<InlineProposal>(bytes)
            .map(Proposal::from)
            .map_err(|_| first)
    })
}

#[derive(Readable)]
struct InlineProposal {
    at: UnixMillis,
    command: InlineCommand,
}

/// Commands that contain a document.
#[derive(Readable)]
enum InlineCommand {
    #[speedy(tag = 4)]
    Serving(InlineServingCommand),
}

#[derive(Readable)]
enum InlineServingCommand {
    #[speedy(tag = 0)]
    PutDocument(InlineDocument),
}

#[derive(Readable)]
struct InlineDocument {
    revision: u64,
    content: Vec<u8>,
    configuration: InlineConfiguration,
}

/// A configuration in this layout.
#[derive(Readable)]
pub struct InlineConfiguration {
    revision: u64,
    routes: Vec<Route>,
    services: Vec<ServiceConfig>,
    tenants: Vec<InlineTenant>,
    limits: CallerLimits,
}

#[derive(Readable)]
struct InlineTenant {
    name: String,
    api_keys: Vec<String>,
    priority: Option<u8>,
    isolated: bool,
    quota: Option<TenantQuota>,
}

impl From<InlineProposal> for Proposal {
    fn from(stored: InlineProposal) -> Self {
        let InlineCommand::Serving(InlineServingCommand::PutDocument(document)) = stored.command;
        let configuration = ServingConfiguration::from(document.configuration);
        let quotas = configuration.quotas();
        let document = ConfigurationDocument {
            revision: document.revision,
            content: document.content,
            configuration,
        };
        Self {
            at: stored.at,
            command: Command::Serving(ServingCommand::PutDocumentWithQuotas { document, quotas }),
        }
    }
}

impl From<InlineConfiguration> for ServingConfiguration {
    fn from(stored: InlineConfiguration) -> Self {
        Self {
            revision: stored.revision,
            routes: stored.routes,
            services: stored.services,
            tenants: stored.tenants.into_iter().map(TenantConfig::from).collect(),
            limits: stored.limits,
        }
    }
}

impl From<InlineTenant> for TenantConfig {
    fn from(stored: InlineTenant) -> Self {
        Self {
            name: stored.name,
            api_keys: stored.api_keys,
            priority: stored.priority,
            isolated: stored.isolated,
            quota: stored.quota,
        }
    }
}
