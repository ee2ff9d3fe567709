//! Configuration as requests look it up.

use std::collections::HashMap;

use railtack_consensus::LogIndex;
use railtack_control::configuration::apply_accepted;
use railtack_core::{ModelName, RefusalCode, TemplateName, TenantName, WeightsVersion};
use railtack_rpc::protocol::{Configuration, ConfigurationUpdate};
use railtack_settings::documents::{Service, Template, Tenant};
use sha2::{Digest, Sha256};

use crate::refusal::Refusal;

/// Weights of a model that no document mentions.
const FIRST_WEIGHTS: WeightsVersion = WeightsVersion(1);

/// Configuration with the look-ups that requests need. Replaced as a whole, never changed.
#[derive(Clone, Debug, Default)]
pub struct Resolved {
    /// Log position that is applied.
    pub applied: LogIndex,
    /// The documents.
    pub configuration: Configuration,
    tenants_by_key: HashMap<String, TenantName>,
}

/// A tenant's use of a template.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedService<'a> {
    /// The tenant.
    pub tenant: &'a Tenant,
    /// Its values.
    pub service: &'a Service,
    /// The template.
    pub template: &'a Template,
}

impl Resolved {
    /// This configuration with an update applied. It never moves back.
    pub fn updated(&self, update: ConfigurationUpdate) -> Option<Self> {
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
        let tenants = configuration.tenants.values().map(|known| &known.document);
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

    /// The tenant that holds a bearer key.
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

    /// The tenant's service made from a template. Another tenant's template is as unknown as one
    /// that does not exist.
    pub fn service<'a>(
        &'a self,
        tenant: &'a Tenant,
        template: &TemplateName,
    ) -> Result<ResolvedService<'a>, Refusal> {
        let unknown = || Refusal::not_run(RefusalCode::UnknownTemplate, template.as_str());
        let service = tenant.service(template).ok_or_else(unknown)?;
        let known = self
            .configuration
            .templates
            .get(template)
            .ok_or_else(unknown)?;
        Ok(ResolvedService {
            tenant,
            service,
            template: &known.document,
        })
    }

    /// The weights that a model is to run.
    pub fn weights_version(&self, model: &ModelName) -> WeightsVersion {
        let target = self.configuration.models.get(model);
        target.map_or(FIRST_WEIGHTS, |known| known.document.weights_version)
    }
}

/// SHA-256 of a bearer key in lower-case hexadecimal.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
