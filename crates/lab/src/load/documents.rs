//! Templates, tenants and model requests of the load.

use std::{fs, path::Path};

use error_stack::{Report, ResultExt};
use railtack_core::{CacheNamespace, PrefixChain, TenantName, WeightsVersion};
use railtack_router::resolved::key_hash;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{LabError, fleet::FleetShape};

/// Tokens in a block of the emulated engines.
const BLOCK_TOKENS: u32 = 16;
/// Words of the opening that all prompts of the long template share.
const OPENING_WORDS: usize = 900;
/// Words of the context of a tenant.
const CONTEXT_WORDS: usize = 1_200;
/// Words of one file.
const FILE_WORDS: usize = 700;
/// Number of files that requests refer to.
const FILES: usize = 5;
/// Template of batch requests with a file.
pub const LONG_TEMPLATE: &str = "long-report";
/// Template of short interactive requests.
pub const SHORT_TEMPLATE: &str = "counter-answer";

/// A tenant on whose behalf requests are sent.
#[derive(Clone, Debug)]
pub struct LoadTenant {
    /// Name.
    pub name: String,
    /// Bearer key.
    pub key: String,
    context: String,
}

/// Documents that are submitted to a fleet before the load starts.
#[derive(Clone, Debug)]
pub struct LoadDocuments {
    model: String,
    openings: [String; 2],
    files: Vec<String>,
    /// Tenants.
    pub tenants: Vec<LoadTenant>,
    services: Vec<String>,
}

/// A model request, and the prompt that the router must build from it.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Name of the template.
    pub template: &'static str,
    /// Value of the parameter `file`, if the template has it.
    pub file: Option<String>,
    /// Last part of the prompt, which no other request shares.
    pub prompt_suffix: String,
    /// Length of the response, tokens.
    pub max_tokens: u32,
    /// Prompt that the engine must receive.
    pub prompt: String,
}

impl LoadDocuments {
    /// Generates random documents for a fleet.
    pub fn draw(shape: &FleetShape, tenants: usize, random: &mut ChaCha8Rng) -> Self {
        let tenants = (1..=tenants).map(|number| LoadTenant {
            name: format!("tenant-{number}"),
            key: format!("key-of-tenant-{number}-{:016x}", random.random::<u64>()),
            context: words(CONTEXT_WORDS, random),
        });
        let tenants = tenants.collect();
        Self {
            model: shape.model.to_owned(),
            openings: [
                words(OPENING_WORDS, random),
                words(OPENING_WORDS / 8, random),
            ],
            files: (0..FILES).map(|_| words(FILE_WORDS, random)).collect(),
            tenants,
            services: shape.services.iter().map(|name| name.to_string()).collect(),
        }
    }

    /// Writes the documents as files. Returns the arguments of the `railtackctl` commands that submit them.
    pub fn write(&self, folder: &Path) -> Result<Vec<[String; 3]>, Report<LabError>> {
        let mut commands = Vec::new();
        let mut write = |kind: &str, name: &str, text: String| {
            let path = folder.join(format!("{kind}-{name}.toml"));
            fs::write(&path, text).change_context_lazy(|| LabError::File { path: path.clone() })?;
            let path = path.display().to_string();
            commands.push([kind.to_owned(), "submit".to_owned(), path]);
            Ok::<(), Report<LabError>>(())
        };
        let model = format!("name = \"{}\"\nweights_version = 1\n", self.model);
        write("model", &self.model, model)?;
        write("template", LONG_TEMPLATE, self.long_template())?;
        write("template", SHORT_TEMPLATE, self.short_template())?;
        for (position, service) in self.services.iter().enumerate() {
            let repeatable = position == 0;
            let text = format!(
                "name = \"{service}\"\nrepeatable = {repeatable}\n\
                 [target.service]\nservice = \"{service}\"\n"
            );
            write("template", service, text)?;
        }
        for tenant in &self.tenants {
            write("tenant", &tenant.name, self.tenant_document(tenant))?;
        }
        Ok(commands)
    }

    fn long_template(&self) -> String {
        format!(
            "name = \"{LONG_TEMPLATE}\"\npriority = \"batch\"\n\
             segments = [\"{}\", \"{{{{context}}}}\", \"{{{{file}}}}\"]\n\
             [target.model]\nmodel = \"{}\"\n\
             [[parameters]]\nname = \"context\"\nscope = \"tenant\"\nmax_bytes = 65536\n\
             [[parameters]]\nname = \"file\"\nscope = \"request\"\nmax_bytes = 65536\n",
            self.openings[0], self.model,
        )
    }

    fn short_template(&self) -> String {
        format!(
            "name = \"{SHORT_TEMPLATE}\"\npriority = \"interactive\"\n\
             segments = [\"{}\", \"{{{{context}}}}\"]\n\
             [target.model]\nmodel = \"{}\"\n\
             [[parameters]]\nname = \"context\"\nscope = \"tenant\"\nmax_bytes = 65536\n",
            self.openings[1], self.model,
        )
    }

    fn tenant_document(&self, tenant: &LoadTenant) -> String {
        let mut text = format!(
            "name = \"{}\"\nkey_hashes = [\"{}\"]\n",
            tenant.name,
            key_hash(&tenant.key),
        );
        for template in [LONG_TEMPLATE, SHORT_TEMPLATE] {
            text.push_str(&format!(
                "[[services]]\ntemplate = \"{template}\"\n[services.values]\ncontext = \"{}\"\n",
                tenant.context,
            ));
        }
        for service in &self.services {
            text.push_str(&format!("[[services]]\ntemplate = \"{service}\"\n"));
        }
        text
    }

    /// Generates a random model request of a tenant.
    pub fn model_request(&self, tenant: usize, random: &mut ChaCha8Rng) -> ModelRequest {
        let is_long = random.random_bool(0.4);
        let template = if is_long {
            LONG_TEMPLATE
        } else {
            SHORT_TEMPLATE
        };
        let file = is_long.then(|| self.files[random.random_range(0..self.files.len())].clone());
        let prompt_suffix = words(if is_long { 20 } else { 8 }, random);
        let max_tokens = random.random_range(8..if is_long { 64 } else { 24 });
        let context = &self.tenants[tenant].context;
        let opening = &self.openings[usize::from(!is_long)];
        let prompt = format!(
            "{opening}{context}{}{prompt_suffix}",
            file.as_deref().unwrap_or_default()
        );
        ModelRequest {
            template,
            file,
            prompt_suffix,
            max_tokens,
            prompt,
        }
    }

    /// Returns the block hashes of a prompt of a tenant.
    pub fn chain(&self, tenant: usize, prompt: &str) -> PrefixChain {
        let namespace = CacheNamespace::derive(
            &TenantName(self.tenants[tenant].name.clone()),
            &self.model.as_str().into(),
            WeightsVersion(1),
            None,
        );
        PrefixChain::from_text(namespace, prompt, BLOCK_TOKENS)
    }

    /// Returns the names of a service with repeatable requests and of one without.
    pub fn service_names(&self) -> (&str, &str) {
        (&self.services[0], &self.services[self.services.len() - 1])
    }
}

/// Pronounceable filler, so that prompts read as text in logs.
fn words(count: usize, random: &mut ChaCha8Rng) -> String {
    const CONSONANTS: &[u8] = b"bdfgklmnprstvz";
    const VOWELS: &[u8] = b"aeiou";
    let mut text = String::with_capacity(count * 6);
    for _ in 0..count {
        for _ in 0..random.random_range(1..4) {
            text.push(CONSONANTS[random.random_range(0..CONSONANTS.len())].into());
            text.push(VOWELS[random.random_range(0..VOWELS.len())].into());
        }
        text.push(' ');
    }
    text
}
