//! Costs of the replicated state: configuration and claims.

use std::time::Instant;

use railtack_control::{configuration::RevisionCheck, state::ControlState};
use railtack_core::{AttemptId, IdempotencyKey, OperationId, Revision, TenantName};
use railtack_router::resolved::{ResolvedConfiguration, key_hash};
use railtack_rpc::protocol::{
    ClaimOutcome, ClaimRequest, Command, ConfigurationChange, ConfigurationUpdate, Proposal,
    StoredResponse,
};
use railtack_settings::documents::{Document, Service, Target, Template, Tenant, TenantLimits};
use speedy::Writable;

use crate::scale::resident_bytes;

/// Numbers of tenants; the target has 360.
const TENANTS: [u32; 4] = [8, 90, 360, 1_000];
/// Number of templates: three for each of 13 models.
const TEMPLATES: u32 = 39;
/// Numbers of stored claims.
const CLAIMS: [u64; 3] = [50_000, 100_000, 200_000];
/// Length of the text of a template, bytes.
const TEXT_BYTES: usize = 4_000;

fn apply_document(state: &mut ControlState, index: u64, document: Document) {
    let proposal = Proposal {
        at: 1,
        command: Command::Configure {
            operation: OperationId(format!("operation-{index}")),
            change: ConfigurationChange::Put {
                expected: Revision(0),
                document,
            },
        },
    };
    state.apply(index, proposal, RevisionCheck::Enforced);
}

fn configured_state(tenants: u32) -> ControlState {
    let mut state = ControlState::new(86_400_000);
    let mut index = 0;
    for number in 0..TEMPLATES {
        index += 1;
        let template = Template {
            name: format!("template-{number}").as_str().into(),
            target: Target::Model {
                model: format!("model-{}", number / 3).as_str().into(),
                adapter: None,
            },
            priority: Default::default(),
            repeatable: true,
            segments: vec!["x".repeat(TEXT_BYTES)],
            parameters: Vec::new(),
            max_prompt_tokens: 100_000,
            max_output_tokens: 1_000,
        };
        apply_document(&mut state, index, Document::Template(template));
    }
    for number in 0..tenants {
        index += 1;
        let service = |template: u32| Service {
            template: format!("template-{template}").as_str().into(),
            values: Default::default(),
        };
        let tenant = Tenant {
            name: format!("tenant-{number}").as_str().into(),
            key_hashes: vec![key_hash(&number.to_string())],
            weight: 1,
            limits: TenantLimits::default(),
            services: (0..6)
                .map(|kind| service((number + kind) % TEMPLATES))
                .collect(),
        };
        apply_document(&mut state, index, Document::Tenant(tenant));
    }
    state
}

/// Measures the size of the configuration, and the time a router needs to apply all of it and a single change.
pub fn configuration() {
    println!("tenants   snapshot KB   delta B   router MB   whole update us   one change us");
    for tenants in TENANTS {
        let mut state = configured_state(tenants);
        let Some(update) = state.update_after(0) else {
            continue;
        };
        let snapshot_bytes = encoded_bytes(&ConfigurationUpdate::Snapshot {
            through: u64::from(TEMPLATES + tenants),
            configuration: state.configuration().clone(),
        });
        let before = resident_bytes("self");
        let started = Instant::now();
        let resolved = ResolvedConfiguration::default().with_update(update);
        let full_update = started.elapsed();
        let memory = resident_bytes("self").saturating_sub(before);
        let applied = u64::from(TEMPLATES + tenants);
        let change = Proposal {
            at: 2,
            command: Command::Configure {
                operation: OperationId("one-more".to_owned()),
                change: ConfigurationChange::SetDrain {
                    engine: railtack_core::EngineId(1),
                    drained: true,
                },
            },
        };
        state.apply(applied + 1, change, RevisionCheck::Enforced);
        let Some((delta, resolved)) = state.update_after(applied).zip(resolved) else {
            continue;
        };
        let delta_bytes = encoded_bytes(&delta);
        let started = Instant::now();
        let next = resolved.with_update(delta);
        let single_change = started.elapsed();
        std::hint::black_box(next);
        println!(
            "{tenants:>7}  {:>12.1}  {delta_bytes:>8}  {:>9.2}  {:>16.0}  {:>13.0}",
            snapshot_bytes as f64 / 1e3,
            memory as f64 / 1e6,
            full_update.as_secs_f64() * 1e6,
            single_change.as_secs_f64() * 1e6,
        );
    }
}

fn encoded_bytes<T: Writable<speedy::LittleEndian>>(value: &T) -> usize {
    value.write_to_vec().map_or(0, |bytes| bytes.len())
}

/// Measures memory and snapshot size of stored claims, with responses of 200 bytes.
pub fn claims() {
    println!("claims     MB    bytes/claim   snapshot bytes/claim   apply ns/command   encode ms");
    // States are retained so that none is allocated from memory that an earlier one freed.
    let mut retained = Vec::new();
    for count in CLAIMS {
        let before = resident_bytes("self");
        let mut state = ControlState::new(86_400_000);
        let started = Instant::now();
        for number in 0..count {
            apply_claim(&mut state, number);
        }
        let applied = started.elapsed();
        let bytes = resident_bytes("self").saturating_sub(before);
        let started = Instant::now();
        let snapshot = encoded_bytes(&state);
        let encoded = started.elapsed();
        println!(
            "{count:>7}  {:>6.1}  {:>10.0}  {:>20.0}  {:>17.0}  {:>10.1}",
            bytes as f64 / 1e6,
            bytes as f64 / count as f64,
            snapshot as f64 / count as f64,
            applied.as_nanos() as f64 / (count * 2) as f64,
            encoded.as_secs_f64() * 1e3,
        );
        retained.push(state);
    }
    std::hint::black_box(&retained);
}

fn apply_claim(state: &mut ControlState, number: u64) {
    let tenant = TenantName(format!("tenant-{}", number % 360));
    let key = IdempotencyKey(format!("order-{number:012}"));
    let attempt = AttemptId(u128::from(number));
    let claim = Command::Claim(ClaimRequest {
        tenant: tenant.clone(),
        key: key.clone(),
        fingerprint: u128::from(number),
        attempt,
    });
    let settle = Command::Settle {
        tenant,
        key,
        attempt,
        outcome: ClaimOutcome::Completed(StoredResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: Some(vec![0; 200]),
        }),
    };
    for (position, command) in [claim, settle].into_iter().enumerate() {
        let proposal = Proposal { at: 1, command };
        state.apply(
            number * 2 + position as u64 + 1,
            proposal,
            RevisionCheck::Enforced,
        );
    }
}
