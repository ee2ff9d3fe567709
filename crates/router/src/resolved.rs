//! Configuration with the indexes that request handling needs.

use std::collections::HashMap;

use railtack_consensus::LogIndex;
use railtack_control::configuration::apply_accepted;
use railtack_core::{ModelName, RefusalCode, TemplateName, TenantName, WeightsVersion};
use railtack_rpc::protocol::{Configuration, ConfigurationUpdate};
use railtack_settings::documents::{Service, Template, Tenant};
use sha2::{Digest, Sha256};

use crate::refusal::Refusal;

/// Weights version of a model that no document sets.
const FIRST_WEIGHTS: WeightsVersion = WeightsVersion(1);

/// Immutable configuration with indexes; an update creates a new value.
#[derive(Clone, Debug, Default)]
pub struct ResolvedConfiguration {
    /// Index of the last applied log entry.
    pub applied: LogIndex,
    /// Operator documents.
    pub configuration: Configuration,
    tenants_by_key: HashMap<String, TenantName>,
}

/// A tenant's service with its template.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedService<'a> {
    /// Tenant that owns the service.
    pub tenant: &'a Tenant,
    /// Service, with the tenant's parameter values.
    pub service: &'a Service,
    /// Template of the service.
    pub template: &'a Template,
}

impl ResolvedConfiguration {
    /// Returns this configuration with `update` applied; `None` if the update is not newer.
    pub fn with_update(&self, update: ConfigurationUpdate) -> Option<Self> {
        let (through, configuration) = match update {
            ConfigurationUpdate::Snapshot {
                through,
                configuration,
            } => (through, configuration),
            ConfigurationUpdate::Changes { through, changes } => {
                let mut configuration = self.configuration.clone();
                for accepted in changes {
                    if accepted.index > self.applied {
                        apply_accepted(&mut configuration, accepted.change, accepted.revision);
                    }
                }
                (through, configuration)
            }
        };
        (through > self.applied).then(|| Self::new(through, configuration))
    }

    fn new(applied: LogIndex, configuration: Configuration) -> Self {
        let tenants = configuration
            .tenants
            .values()
            .map(|tenant| &tenant.document);
        let tenants_by_key = tenants
            .flat_map(|tenant| {
                let keys = tenant.key_hashes.iter();
                keys.map(|key| (key.clone(), tenant.name.clone()))
            })
            .collect();
        Self {
            applied,
            configuration,
            tenants_by_key,
        }
    }

    /// Returns the tenant to which a bearer key belongs.
    pub fn authenticate(&self, bearer: Option<&str>) -> Result<&Tenant, Refusal> {
        let refused = || Refusal::not_run(RefusalCode::Unauthorized, "no tenant holds this key");
        let key = bearer.ok_or_else(refused)?;
        let name = self
            .tenants_by_key
            .get(&key_hash(key))
            .ok_or_else(refused)?;
        let tenant = self.configuration.tenants.get(name).ok_or_else(refused)?;
        Ok(&tenant.document)
    }

    /// Returns the tenant's service for a template. A template that only other tenants use gives the
    /// same error as one that does not exist, so that its existence is not revealed.
    pub fn service<'a>(
        &'a self,
        tenant: &'a Tenant,
        template: &TemplateName,
    ) -> Result<ResolvedService<'a>, Refusal> {
        let unknown = || Refusal::not_run(RefusalCode::UnknownTemplate, template.as_str());
        let service = tenant.service(template).ok_or_else(unknown)?;
        let definition = self
            .configuration
            .templates
            .get(template)
            .ok_or_else(unknown)?;
        Ok(ResolvedService {
            tenant,
            service,
            template: &definition.document,
        })
    }

    /// Returns the target weights version of a model.
    pub fn weights_version(&self, model: &ModelName) -> WeightsVersion {
        let target = self.configuration.models.get(model);
        target.map_or(FIRST_WEIGHTS, |target| target.document.weights_version)
    }
}

/// Returns the SHA-256 of a bearer key in lower-case hexadecimal.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
