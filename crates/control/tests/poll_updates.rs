//! Updates of the configuration for routers of `/v1`.

use railtack_control::{ControlState, configuration::RevisionCheck};
use railtack_core::{EngineId, OperationId, Revision};
use railtack_rpc::protocol::{
    Command, Configuration, ConfigurationChange, ConfigurationUpdate, Proposal,
};
use railtack_settings::documents::{Document, Tenant};
use speedy::Writable;

/// Changes that a router lacks.
const CHANGES: u64 = 200;
/// Largest update, with its last change.
const MAX_UPDATE_BYTES: usize = 36 * 1024;

fn document(number: u64) -> Document {
    let keys: Vec<String> = (0..30)
        .map(|key| format!("{:064x}", number * 100 + key))
        .collect();
    let tenant = serde_json::json!({
        "name": format!("tenant-{number}"), "key_hashes": keys,
    });
    let tenant: Tenant = serde_json::from_value(tenant).expect("a tenant");
    Document::Tenant(tenant)
}

fn put(state: &mut ControlState, index: u64, change: ConfigurationChange) {
    let command = Command::Configure {
        operation: OperationId(format!("operation-{index}")),
        change,
    };
    state.apply(index, Proposal { at: 1, command }, RevisionCheck::Enforced);
}

/// Guards against a reply that misses its deadline on every try because it grows with the changes that a router lacks.
#[test]
fn a_router_that_lags_gets_its_changes_in_replies_of_bounded_size() {
    let mut state = ControlState::new(60_000);
    for index in 1..=CHANGES {
        let change = ConfigurationChange::Put {
            expected: Revision(0),
            document: document(index),
        };
        put(&mut state, index, change);
    }
    let drain = ConfigurationChange::SetDrain {
        engine: EngineId(1),
        drained: true,
    };
    put(&mut state, CHANGES + 1, drain);
    let (mut applied, mut received) = (0, 0);
    while let Some(update) = state.update_after(applied) {
        let bytes = update.write_to_vec().expect("encoded").len();
        assert!(bytes <= MAX_UPDATE_BYTES, "{bytes} bytes");
        let ConfigurationUpdate::Changes { through, changes } = update else {
            panic!("a snapshot");
        };
        assert!(through > applied);
        assert!(
            changes
                .iter()
                .all(|change| change.index > applied && change.index <= through)
        );
        received += changes.len();
        applied = through;
    }
    assert_eq!(applied, state.configuration_index());
    assert_eq!(received as u64, state.configuration().revision.0);
    assert_ne!(*state.configuration(), Configuration::default());
}
