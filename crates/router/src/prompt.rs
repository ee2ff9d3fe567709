//! Rendering of prompts from a template, the tenant's values and the request's parameters.

use std::collections::BTreeMap;

use railtack_core::{RefusalCode, prefix::tokens_of};
use railtack_settings::documents::{ParameterScope, Service, Template, render};

use crate::refusal::Refusal;

/// A rendered prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Segments followed by the caller's prompt.
    pub text: String,
    /// End of each segment in `text`, bytes.
    pub segment_ends: Vec<usize>,
}

impl Prompt {
    /// Returns the segment ends in blocks of `block_bytes`, rounded down and without duplicates.
    pub fn boundaries(&self, block_bytes: usize) -> Vec<u32> {
        let mut blocks: Vec<u32> = self
            .segment_ends
            .iter()
            .map(|end| (end / block_bytes) as u32)
            .collect();
        blocks.dedup();
        blocks
    }
}

/// Validates the request's parameters against the template and renders the prompt.
pub fn build(
    template: &Template,
    service: &Service,
    parameters: &BTreeMap<String, String>,
    user_prompt: &str,
) -> Result<Prompt, Refusal> {
    check_parameters(template, parameters)?;
    let value = |name: &str| {
        let value = parameters.get(name).or_else(|| service.values.get(name));
        value.map(String::as_str)
    };
    let mut text = String::new();
    let mut segment_ends = Vec::with_capacity(template.segments.len());
    for segment in &template.segments {
        text.push_str(&render(segment, value));
        segment_ends.push(text.len());
    }
    text.push_str(user_prompt);
    if tokens_of(&text) > template.max_prompt_tokens {
        let limit = template.max_prompt_tokens;
        return Err(Refusal::not_run(
            RefusalCode::OversizedRequest,
            format!("the prompt exceeds {limit} tokens"),
        ));
    }
    Ok(Prompt { text, segment_ends })
}

fn check_parameters(
    template: &Template,
    parameters: &BTreeMap<String, String>,
) -> Result<(), Refusal> {
    for (name, value) in parameters {
        let declared = template
            .parameter(name)
            .filter(|parameter| parameter.scope == ParameterScope::Request);
        let Some(parameter) = declared else {
            return Err(Refusal::not_run(
                RefusalCode::UnexpectedParameter,
                name.as_str(),
            ));
        };
        if value.len() > parameter.max_bytes as usize {
            let detail = format!("{name} exceeds {} bytes", parameter.max_bytes);
            return Err(Refusal::not_run(RefusalCode::OversizedParameter, detail));
        }
    }
    let missing = template.parameters.iter().find(|parameter| {
        parameter.scope == ParameterScope::Request && !parameters.contains_key(&parameter.name)
    });
    match missing {
        Some(parameter) => {
            let name = parameter.name.as_str();
            Err(Refusal::not_run(RefusalCode::MissingParameter, name))
        }
        None => Ok(()),
    }
}
