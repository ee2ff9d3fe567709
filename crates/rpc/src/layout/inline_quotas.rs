//! The layout of a document in which each tenant's quota follows the tenant itself.
//!
//! Some builds wrote it into the log and into snapshots. It begins like that of the first build and does not say
//! which of both it is: that one is read first, and this one where the other leaves bytes over or ends too early.

use railtack_serving::{
    CallerLimits, Route, ServiceConfig, ServingConfiguration, TenantConfig, TenantQuota,
};
use speedy::Readable;
use thiserror::Error;

use crate::{
    protocol::{Command, Proposal, UnixMillis},
    serving::{ConfigurationDocument, ServingCommand},
};

/// Why stored bytes were not read.
#[derive(Debug, Error)]
pub enum LayoutError {
    /// They have none of the layouts that are known.
    #[error("the bytes have no known layout: {0}")]
    Unknown(#[from] speedy::Error),
    /// More follows what is known. A newer build wrote it.
    #[error("{unread} bytes follow the known layout")]
    Longer {
        /// Their number.
        unread: usize,
    },
}

/// Reads bytes that hold exactly one value.
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

/// Reads a command as the log holds it, in any layout that a build has written.
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

/// The commands that hold a document.
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
