//! Groups with members of a previous build: both builds apply commands to the same state.

mod production_state;

use production_state::ServingState as FirstBuildState;
use quickcheck::{Arbitrary, Gen, quickcheck};
use railtack_consensus::{DiskId, Member, Membership, ReplicaId};
use railtack_control::{node::level::MemberLevels, serving_state::ServingState};
use railtack_rpc::{
    FeatureLevel,
    serving::{ConfigurationDocument, ServingCommand, ServingOutcome},
};
use railtack_serving::{
    ModelWeights, PendingOrder, QuotaUnit, ReplicaRecord, ReplicaState, ServingConfiguration,
    SoftwareVersion, TenantConfig, TenantQuota,
};
use speedy::{Readable, Writable};

const QUOTA: TenantQuota = TenantQuota {
    unit: QuotaUnit::Requests,
    rate_per_s: 5,
    burst: 10,
    default_tokens: 0,
};

fn document(revision: u64) -> ConfigurationDocument {
    ConfigurationDocument {
        revision,
        content: revision.to_le_bytes().to_vec(),
        configuration: ServingConfiguration {
            revision,
            tenants: vec![TenantConfig {
                name: "registry".to_owned(),
                api_keys: vec!["key".to_owned()],
                priority: None,
                isolated: false,
                quota: Some(QUOTA),
            }],
            ..ServingConfiguration::default()
        },
    }
}

/// A command that members of any build may find in the log.
#[derive(Clone, Debug)]
struct AnyCommand(ServingCommand);

impl Arbitrary for AnyCommand {
    fn arbitrary(source: &mut Gen) -> Self {
        let number = u64::arbitrary(source) % 6;
        let model = "valuation".to_owned();
        let version = u64::arbitrary(source) % 4;
        let replica = format!("r-{number}");
        let leaves = u8::arbitrary(source) % 4 == 0;
        let record = ReplicaRecord {
            id: replica.clone(),
            service: "pool".to_owned(),
            address: format!("10.0.0.1:{}", u64::arbitrary(source) % 4),
            zone: "a".to_owned(),
            slots: 4,
            state: if leaves {
                ReplicaState::Leaving
            } else {
                ReplicaState::Ready
            },
            weights: vec![ModelWeights {
                model: model.clone(),
                version,
            }],
            order: None,
            changed_at: u64::arbitrary(source) % 9,
            software: SoftwareVersion::default(),
        };
        Self(match u8::arbitrary(source) % 9 {
            0 => ServingCommand::PutDocument(document(number)),
            1..=4 => ServingCommand::Register(record),
            5 => ServingCommand::Deregister { replica },
            6 => ServingCommand::Expire { replica },
            7 => ServingCommand::BeginOrder {
                token: u64::arbitrary(source) % 9,
                replica,
                order: PendingOrder { model, version },
            },
            _ if leaves => ServingCommand::AcquireOrderLock { holder: replica },
            _ => ServingCommand::SetTargetWeights(ModelWeights { model, version }),
        })
    }
}

/// Encodes and decodes a command, as the log does.
fn from_log(command: &ServingCommand) -> ServingCommand {
    let bytes = command.write_to_vec().expect("encoded");
    ServingCommand::read_from_buffer(&bytes).expect("decoded")
}

quickcheck! {
    /// Members of both builds hold the same state after each command, including the bytes of their
    /// snapshots.
    fn both_builds_hold_the_same_state_after_each_command(commands: Vec<AnyCommand>) -> bool {
        let mut first_build = FirstBuildState::default();
        let mut current = ServingState::at(FeatureLevel::FIRST);
        commands.iter().enumerate().all(|(position, AnyCommand(command))| {
            let index = position as u64 + 1;
            let has_same_outcome =
                first_build.apply(index, from_log(command)) == current.apply(index, from_log(command));
            let has_same_bytes = first_build.write_to_vec().expect("encoded")
                == current.write_to_vec().expect("encoded");
            // A member that is upgraded, or downgraded again, continues from the same state.
            let bytes = first_build.write_to_vec().expect("encoded");
            current = ServingState::read_from_buffer(&bytes).expect("decoded");
            has_same_outcome && has_same_bytes
        })
    }
}

fn raise_level(revision: u64) -> ServingCommand {
    ServingCommand::RaiseLevel {
        level: FeatureLevel::SUPPORTED,
        revision,
        quotas: document(revision).configuration.quotas(),
    }
}

#[test]
fn quotas_apply_once_the_level_is_raised() {
    let mut state = ServingState::at(FeatureLevel::FIRST);
    let put = ServingCommand::put_document(document(3), state.level());
    assert!(put.is_supported_at(FeatureLevel::FIRST));
    state.apply(1, from_log(&put));
    assert_eq!(state.configuration().tenants[0].quota, None);
    // Quotas of a replaced document must not raise the level.
    assert_eq!(state.apply(2, raise_level(2)), ServingOutcome::Superseded);
    assert_eq!(state.level(), FeatureLevel::FIRST);
    assert_eq!(
        state.apply(3, from_log(&raise_level(3))),
        ServingOutcome::Done
    );
    assert_eq!(state.level(), FeatureLevel::SUPPORTED);
    assert_eq!(state.configuration().tenants[0].quota, Some(QUOTA));
    assert_eq!(state.apply(4, raise_level(3)), ServingOutcome::Superseded);
    let bytes = state.write_to_vec().expect("encoded");
    assert_eq!(
        ServingState::read_from_buffer(&bytes).expect("decoded"),
        state
    );
    // A document proposed before the level was raised would remove the quotas.
    assert!(!put.is_supported_at(state.level()));
    let put = ServingCommand::put_document(document(4), state.level());
    state.apply(5, from_log(&put));
    assert_eq!(state.configuration().tenants[0].quota, Some(QUOTA));
}

#[test]
fn a_command_above_the_first_level_raises_the_level() {
    let mut state = ServingState::at(FeatureLevel::FIRST);
    state.apply(1, ServingCommand::RegisterAll(Vec::new()));
    assert_eq!(state.level(), FeatureLevel::SHARED_GRANTS);
}

fn membership(voters: u32, learners: u32) -> Membership {
    let members = (1..=voters + learners).map(|number| Member {
        replica: ReplicaId(number),
        disk: DiskId(u64::from(number)),
        address: format!("10.0.0.{number}:1"),
        voter: number <= voters,
    });
    Membership {
        members: members.collect(),
    }
}

#[test]
fn the_level_is_raised_only_once_all_members_support_it() {
    let leader = ReplicaId(1);
    let highest = FeatureLevel::SUPPORTED;
    let group = membership(3, 1);
    let mut levels = MemberLevels::default();
    for member in 2..=4 {
        levels.record(ReplicaId(member), highest, 10);
    }
    // Levels reported before this replica became leader may be outdated.
    assert_eq!(levels.common_level(leader, &group), FeatureLevel::FIRST);
    levels.set_leading(true, 20);
    assert_eq!(levels.common_level(leader, &group), FeatureLevel::FIRST);
    levels.record(ReplicaId(2), highest, 30);
    levels.record(ReplicaId(3), highest, 30);
    // The learner has not reported a level.
    assert_eq!(levels.common_level(leader, &group), FeatureLevel::FIRST);
    levels.record(ReplicaId(4), highest, 31);
    assert_eq!(levels.common_level(leader, &group), highest);
    // A member is downgraded to the previous build.
    levels.record(ReplicaId(3), FeatureLevel::FIRST, 40);
    assert_eq!(levels.common_level(leader, &group), FeatureLevel::FIRST);
    levels.record(ReplicaId(3), FeatureLevel(highest.0 + 1), 50);
    assert_eq!(levels.common_level(leader, &group), highest);
    levels.set_leading(false, 60);
    assert_eq!(levels.common_level(leader, &group), FeatureLevel::FIRST);
    levels.set_leading(true, 70);
    assert_eq!(levels.common_level(leader, &membership(1, 0)), highest);
}
