//! Operator documents: templates, tenants and model targets.
//!
//! A template describes one kind of service; each tenant supplies its own parameter values. Services
//! refer to templates by name, so a revision of a template affects all services that use it.

use std::collections::{BTreeMap, BTreeSet};

use railtack_core::{ModelName, TemplateName, TenantName, WeightsVersion};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use thiserror::Error;

const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a template segment, bytes.
const MAX_TEXT_BYTES: usize = 1024 * 1024;
/// Upper bound of the configurable prompt and response lengths, tokens.
const MAX_TOKENS: u32 = 2_000_000;

/// One operator document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// A template.
    Template(Template),
    /// A tenant with its services.
    Tenant(Tenant),
    /// Target weights version of a model.
    Model(ModelTarget),
}

/// Target weights version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct ModelTarget {
    /// Name of the model.
    pub name: ModelName,
    /// Version that all replicas of the model should run.
    pub weights_version: WeightsVersion,
}

/// Description of one kind of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Unique name of the template.
    pub name: TemplateName,
    /// Engines or service that run the requests.
    pub target: Target,
    /// Scheduling class of the requests.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request may run more than once. Must be true for model templates.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Parts of the prompt prefix with `{{parameter}}` placeholders, ordered from the most to the
    /// least shared. The caller's prompt is appended to them.
    #[serde(default)]
    pub segments: Vec<String>,
    /// Parameters used in the segments.
    #[serde(default)]
    pub parameters: Vec<Parameter>,
    /// Maximum length of the rendered prompt, tokens.
    #[serde(default = "default_prompt_tokens")]
    pub max_prompt_tokens: u32,
    /// Maximum length of the response, tokens.
    #[serde(default = "default_output_tokens")]
    pub max_output_tokens: u32,
}

/// Target of a template's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Engines that run a model.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Optional adapter to apply to the model.
        #[serde(default)]
        adapter: Option<String>,
    },
    /// An HTTP service.
    Service {
        /// Name of the service in the platform's machine list.
        service: String,
    },
}

/// Scheduling class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Readable,
    Writable,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A user is waiting for the response.
    #[default]
    Interactive,
    /// Background work, scheduled after interactive requests.
    Batch,
}

/// Declaration of a template parameter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Name as used in placeholders.
    pub name: String,
    /// Source of the value.
    pub scope: ParameterScope,
    /// Maximum length of the value, bytes.
    pub max_bytes: u32,
}

/// Source of a parameter's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum ParameterScope {
    /// The tenant's document.
    Tenant,
    /// Each request.
    Request,
}

/// A tenant with its services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name of the tenant.
    pub name: TenantName,
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<String>,
    /// Relative share of the fleet under contention.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits over all services of the tenant.
    #[serde(default)]
    pub limits: TenantLimits,
    /// Services of the tenant.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Limits over all services of a tenant and the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Sustained rate of prompt and response tokens per second.
    pub tokens_per_second: u64,
    /// Maximum burst after idle time, tokens.
    pub burst_tokens: u64,
    /// Maximum number of concurrent requests.
    pub concurrent_requests: u32,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self {
            tokens_per_second: 1_000_000,
            burst_tokens: 4_000_000,
            concurrent_requests: 10_000,
        }
    }
}

/// A tenant's use of one template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the template.
    pub template: TemplateName,
    /// Values of the template's tenant parameters.
    #[serde(default)]
    pub values: BTreeMap<String, String>,
}

fn default_repeatable() -> bool {
    true
}

fn default_prompt_tokens() -> u32 {
    131_072
}

fn default_output_tokens() -> u32 {
    4_096
}

fn default_weight() -> u32 {
    1
}

/// Validation error of a document. A refused document has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum DocumentError {
    /// A name is empty, too long or contains characters other than letters, digits, `-`, `_` and `.`.
    #[error("name {name:?} is not 1 to 128 letters, digits, '-', '_' or '.'")]
    InvalidName {
        /// Rejected name, truncated to 128 characters.
        name: String,
    },
    /// A number is out of range.
    #[error("{field} = {value} is not in the range {lowest} to {highest}")]
    OutOfRange {
        /// Dotted name of the field.
        field: String,
        /// Rejected value.
        value: u64,
        /// Minimum allowed value.
        lowest: u64,
        /// Maximum allowed value.
        highest: u64,
    },
    /// A text is too long.
    #[error("{field} has more than {limit} bytes")]
    TooLong {
        /// Name of the field.
        field: String,
        /// Maximum length, bytes.
        limit: u64,
    },
    /// A name occurs twice.
    #[error("{name:?} is declared twice")]
    Duplicate {
        /// Duplicate name.
        name: String,
    },
    /// A segment uses an undeclared parameter or has an unclosed placeholder.
    #[error("segment placeholder {placeholder:?} is not a declared parameter")]
    UnknownPlaceholder {
        /// Text between the braces.
        placeholder: String,
    },
    /// A model template is declared non-repeatable, although engines have no side effects.
    #[error("a model template must be repeatable")]
    ModelNotRepeatable,
    /// A key hash is not 64 lower-case hexadecimal digits.
    #[error("a key hash is not 64 lower-case hexadecimal digits")]
    InvalidKeyHash,
    /// A tenant uses a template that does not exist.
    #[error("tenant {tenant} uses template {template}, which does not exist")]
    UnknownTemplate {
        /// Tenant with the service.
        tenant: TenantName,
        /// Missing template.
        template: TemplateName,
    },
    /// A service has no value for a tenant parameter of its template.
    #[error("tenant {tenant} sets no value for {parameter} of template {template}")]
    MissingValue {
        /// Tenant with the service.
        tenant: TenantName,
        /// Template that declares the parameter.
        template: TemplateName,
        /// Parameter without a value.
        parameter: String,
    },
    /// A service has a value that is too long or that its template does not declare as a tenant
    /// parameter.
    #[error(
        "tenant {tenant} sets {parameter} of template {template}, which does not accept the value"
    )]
    UnexpectedValue {
        /// Tenant with the service.
        tenant: TenantName,
        /// Template of the service.
        template: TemplateName,
        /// Parameter whose value was rejected.
        parameter: String,
    },
    /// The key belongs to another tenant.
    #[error("a key of tenant {tenant} already belongs to another tenant")]
    KeyTaken {
        /// Tenant whose document was refused.
        tenant: TenantName,
    },
}

impl Document {
    /// Validates the document without regard to other documents.
    pub fn validate(&self) -> Result<(), DocumentError> {
        match self {
            Self::Template(template) => template.validate(),
            Self::Tenant(tenant) => tenant.validate(),
            Self::Model(target) => require_name(target.name.as_str()),
        }
    }
}

impl Template {
    /// Validates the template.
    pub fn validate(&self) -> Result<(), DocumentError> {
        require_name(self.name.as_str())?;
        match &self.target {
            Target::Model { model, .. } => {
                require_name(model.as_str())?;
                if !self.repeatable {
                    return Err(DocumentError::ModelNotRepeatable);
                }
            }
            Target::Service { service } => require_name(service)?,
        }
        require_tokens("max_prompt_tokens", self.max_prompt_tokens)?;
        require_tokens("max_output_tokens", self.max_output_tokens)?;
        self.validate_parameters()?;
        self.segments
            .iter()
            .try_for_each(|segment| self.validate_segment(segment))
    }

    /// Returns the declared parameter with this name.
    pub fn parameter(&self, name: &str) -> Option<&Parameter> {
        self.parameters
            .iter()
            .find(|parameter| parameter.name == name)
    }

    fn validate_parameters(&self) -> Result<(), DocumentError> {
        let mut names = BTreeSet::new();
        for parameter in &self.parameters {
            require_name(&parameter.name)?;
            if !names.insert(&parameter.name) {
                return Err(DocumentError::Duplicate {
                    name: parameter.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn validate_segment(&self, segment: &str) -> Result<(), DocumentError> {
        require_length("segments", segment)?;
        let unknown = placeholders(segment).find(|name| self.parameter(name).is_none());
        match unknown {
            Some(name) => Err(DocumentError::UnknownPlaceholder {
                placeholder: name.to_owned(),
            }),
            None => Ok(()),
        }
    }
}

impl Tenant {
    /// Validates the tenant without regard to templates.
    pub fn validate(&self) -> Result<(), DocumentError> {
        require_name(self.name.as_str())?;
        require_in_range("weight", u64::from(self.weight), 1, 1_000_000)?;
        require_in_range("limits.burst_tokens", self.limits.burst_tokens, 1, u64::MAX)?;
        if !self.key_hashes.iter().all(|hash| is_key_hash(hash)) {
            return Err(DocumentError::InvalidKeyHash);
        }
        let mut templates = BTreeSet::new();
        for service in &self.services {
            if !templates.insert(&service.template) {
                return Err(DocumentError::Duplicate {
                    name: service.template.0.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the tenant's service for a template.
    pub fn service(&self, template: &TemplateName) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.template == *template)
    }

    /// Validates a service against its template.
    pub fn validate_service(
        &self,
        service: &Service,
        template: &Template,
    ) -> Result<(), DocumentError> {
        let wanted = template
            .parameters
            .iter()
            .filter(|parameter| parameter.scope == ParameterScope::Tenant);
        for parameter in wanted {
            if !service.values.contains_key(&parameter.name) {
                return Err(DocumentError::MissingValue {
                    tenant: self.name.clone(),
                    template: template.name.clone(),
                    parameter: parameter.name.clone(),
                });
            }
        }
        for (name, value) in &service.values {
            let fits = template.parameter(name).is_some_and(|parameter| {
                parameter.scope == ParameterScope::Tenant
                    && value.len() <= parameter.max_bytes as usize
            });
            if !fits {
                return Err(DocumentError::UnexpectedValue {
                    tenant: self.name.clone(),
                    template: template.name.clone(),
                    parameter: name.clone(),
                });
            }
        }
        Ok(())
    }
}

/// Returns the names between double braces, in order. An unclosed placeholder yields the rest of the
/// text.
pub fn placeholders(segment: &str) -> impl Iterator<Item = &str> {
    segment.split("{{").skip(1).map(|rest| {
        let name = rest.split_once("}}").map_or(rest, |(name, _)| name);
        name.trim()
    })
}

/// Replaces each placeholder of a validated segment by its value.
pub fn render<'a>(segment: &'a str, value: impl Fn(&str) -> Option<&'a str>) -> String {
    let mut parts = segment.split("{{");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (name, rest) = part.split_once("}}").unwrap_or((part, ""));
        text.push_str(value(name.trim()).unwrap_or_default());
        text.push_str(rest);
    }
    text
}

fn require_name(name: &str) -> Result<(), DocumentError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        return Ok(());
    }
    Err(DocumentError::InvalidName {
        name: name.chars().take(MAX_NAME_BYTES).collect(),
    })
}

fn require_length(field: &str, text: &str) -> Result<(), DocumentError> {
    if text.len() <= MAX_TEXT_BYTES {
        return Ok(());
    }
    Err(DocumentError::TooLong {
        field: field.to_owned(),
        limit: MAX_TEXT_BYTES as u64,
    })
}

fn require_tokens(field: &str, value: u32) -> Result<(), DocumentError> {
    require_in_range(field, u64::from(value), 1, u64::from(MAX_TOKENS))
}

fn require_in_range(
    field: &str,
    value: u64,
    lowest: u64,
    highest: u64,
) -> Result<(), DocumentError> {
    if (lowest..=highest).contains(&value) {
        return Ok(());
    }
    Err(DocumentError::OutOfRange {
        field: field.to_owned(),
        value,
        lowest,
        highest,
    })
}

fn is_key_hash(hash: &str) -> bool {
    hash.len() == 64
        && hash
            .chars()
            .all(|digit| digit.is_ascii_digit() || ('a'..='f').contains(&digit))
}
