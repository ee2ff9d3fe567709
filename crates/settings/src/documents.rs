//! What operators submit: templates and tenants.
//!
//! A template describes one kind of service; each tenant fills in its own values. A tenant's
//! services refer to templates by name, so one revision reaches every service made from it.

use std::collections::{BTreeMap, BTreeSet};

use railtack_core::{ModelName, TemplateName, TenantName, WeightsVersion};
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use thiserror::Error;

/// Longest name of anything, bytes.
const NAME_BYTES: usize = 128;
/// Largest template opening or tenant value, bytes.
const TEXT_BYTES: usize = 1024 * 1024;
/// Most tokens that a prompt or an answer may be allowed.
const TOKEN_LIMIT: u32 = 2_000_000;

/// One operator document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// A template.
    Template(Template),
    /// A tenant with its services.
    Tenant(Tenant),
    /// The weights version that a model is to run.
    Model(ModelTarget),
}

/// Which weights a model is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct ModelTarget {
    /// The model.
    pub name: ModelName,
    /// The version wanted on all its replicas.
    pub weights_version: WeightsVersion,
}

/// One kind of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Unique name.
    pub name: TemplateName,
    /// What serves it.
    pub target: Target,
    /// Which work goes first under load.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request may run more than once. Always true of model templates.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Prompt openings from the most to the least shared, with `{{parameter}}` placeholders. The
    /// caller's question follows them.
    #[serde(default)]
    pub segments: Vec<String>,
    /// Parameters that the segments name.
    #[serde(default)]
    pub parameters: Vec<Parameter>,
    /// Longest rendered prompt, tokens.
    #[serde(default = "default_prompt_tokens")]
    pub max_prompt_tokens: u32,
    /// Longest answer, tokens.
    #[serde(default = "default_output_tokens")]
    pub max_output_tokens: u32,
}

/// What serves a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Engines that run a model, with an adapter if one is named.
    Model {
        /// The model.
        model: ModelName,
        /// The adapter.
        #[serde(default)]
        adapter: Option<String>,
    },
    /// An ordinary HTTP service.
    Service {
        /// Its name in the platform's list.
        service: String,
    },
}

/// Which work goes first under load.
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
    /// Somebody waits at a counter or a terminal.
    #[default]
    Interactive,
    /// Queued work that can wait.
    Batch,
}

/// A placeholder of a template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Name, as it stands between the braces.
    pub name: String,
    /// Who fills it in.
    pub scope: ParameterScope,
    /// Longest value, bytes.
    pub max_bytes: u32,
}

/// Who fills a parameter in.
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
    /// Unique name.
    pub name: TenantName,
    /// SHA-256 of each bearer key, in lower-case hexadecimal.
    pub key_hashes: Vec<String>,
    /// Share of a contended fleet, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits over all the tenant's services.
    #[serde(default)]
    pub limits: TenantLimits,
    /// Templates the tenant uses, each with its values.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Limits over all services of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Readable, Writable)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Prompt and answer tokens per second, over the fleet.
    pub tokens_per_second: u64,
    /// Tokens that may be used at once after a quiet time.
    pub burst_tokens: u64,
    /// Requests open at once, over the fleet.
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
    /// The template.
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

/// Why a document was refused. A refused document changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, Readable, Writable)]
#[serde(rename_all = "snake_case")]
pub enum DocumentError {
    /// A name is empty, too long or has other characters than letters, digits, `-`, `_` and `.`.
    #[error("name {name:?} is not 1 to 128 letters, digits, '-', '_' or '.'")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A number is out of range.
    #[error("{field} = {value} is not in {lowest} to {highest}")]
    OutOfRange {
        /// The field.
        field: String,
        /// The value.
        value: u64,
        /// Lowest allowed value.
        lowest: u64,
        /// Highest allowed value.
        highest: u64,
    },
    /// A text is too long.
    #[error("{field} has more than {limit} bytes")]
    TooLong {
        /// The field.
        field: String,
        /// Limit in bytes.
        limit: u64,
    },
    /// A name stands twice.
    #[error("{name:?} is declared twice")]
    Duplicate {
        /// The name.
        name: String,
    },
    /// A segment uses a parameter that is not declared, or has an unclosed placeholder.
    #[error("segment placeholder {placeholder:?} is not a declared parameter")]
    UnknownPlaceholder {
        /// What stands between the braces.
        placeholder: String,
    },
    /// A model template cannot be declared unrepeatable: engines have no side effects.
    #[error("a model template is always repeatable")]
    ModelNotRepeatable,
    /// A key hash is not 64 lower-case hexadecimal digits.
    #[error("a key hash is not 64 lower-case hexadecimal digits")]
    InvalidKeyHash,
    /// A tenant uses a template that does not exist.
    #[error("tenant {tenant} uses template {template}, which does not exist")]
    UnknownTemplate {
        /// The tenant.
        tenant: TenantName,
        /// The template.
        template: TemplateName,
    },
    /// A tenant lacks a value that a template asks for.
    #[error("tenant {tenant} lacks a value for {parameter} of template {template}")]
    MissingValue {
        /// The tenant.
        tenant: TenantName,
        /// The template.
        template: TemplateName,
        /// The parameter.
        parameter: String,
    },
    /// A tenant gives a value that the template does not ask for, or a longer one than allowed.
    #[error("tenant {tenant} gives {parameter} to template {template}, which does not take it")]
    UnexpectedValue {
        /// The tenant.
        tenant: TenantName,
        /// The template.
        template: TemplateName,
        /// The parameter.
        parameter: String,
    },
    /// The key belongs to another tenant.
    #[error("a key of tenant {tenant} is already held by another tenant")]
    KeyTaken {
        /// The tenant whose document was refused.
        tenant: TenantName,
    },
}

impl Document {
    /// Checks everything that can be checked without other documents.
    pub fn validate(&self) -> Result<(), DocumentError> {
        match self {
            Self::Template(template) => template.validate(),
            Self::Tenant(tenant) => tenant.validate(),
            Self::Model(target) => require_name(target.name.as_str()),
        }
    }
}

impl Template {
    /// Checks the template by itself.
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

    /// The declared parameter of this name.
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
    /// Checks the tenant by itself.
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

    /// The tenant's use of a template.
    pub fn service(&self, template: &TemplateName) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.template == *template)
    }

    /// Checks one service against the template it is made from.
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

/// Names between double braces, in order. An unclosed placeholder yields the rest of the text.
pub fn placeholders(segment: &str) -> impl Iterator<Item = &str> {
    segment.split("{{").skip(1).map(|rest| {
        let name = rest.split_once("}}").map_or(rest, |(name, _)| name);
        name.trim()
    })
}

/// Replaces every placeholder of a validated segment by its value.
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
    if !name.is_empty() && name.len() <= NAME_BYTES && name.chars().all(allowed) {
        return Ok(());
    }
    Err(DocumentError::InvalidName {
        name: name.chars().take(NAME_BYTES).collect(),
    })
}

fn require_length(field: &str, text: &str) -> Result<(), DocumentError> {
    if text.len() <= TEXT_BYTES {
        return Ok(());
    }
    Err(DocumentError::TooLong {
        field: field.to_owned(),
        limit: TEXT_BYTES as u64,
    })
}

fn require_tokens(field: &str, value: u32) -> Result<(), DocumentError> {
    require_in_range(field, u64::from(value), 1, u64::from(TOKEN_LIMIT))
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
