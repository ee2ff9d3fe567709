//! Snapshot layout of the serving state: plain collections in the layout of the first build,
//! followed by later additions. Snapshots of a group at the first feature level end before these
//! additions, whichever build writes them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use railtack_consensus::LogIndex;
use railtack_rpc::{
    FeatureLevel,
    layout::{InlineConfiguration, SoftwareGroup},
};
use railtack_serving::{ReplicaRecord, ServingConfiguration, TenantQuota};
use speedy::{Context, Readable, Reader, Writable, Writer};

use super::{
    OrderLock, ServingState,
    configuration_changes::ConfigurationChanges,
    crash_reports::CrashReports,
    quarantine::Quarantine,
    route_moves::RouteMoves,
    software::{FormerVersions, ServiceVersion},
    tombstones::Tombstones,
};

#[derive(Readable, Writable)]
struct StoredState<Config> {
    content: Vec<u8>,
    configuration: Config,
    configuration_at: LogIndex,
    replicas: BTreeMap<String, ReplicaRecord>,
    removals: BTreeSet<(LogIndex, String)>,
    ended: BTreeSet<String>,
    removals_evicted_through: LogIndex,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_lock: Option<OrderLock>,
    #[speedy(default_on_eof)]
    extension: Extension,
}

/// Additions that snapshots of groups at the first feature level lack.
#[derive(Default)]
struct Extension(Option<ExtensionFields>);

#[derive(Readable, Writable)]
struct ExtensionFields {
    quarantine: Quarantine,
    #[speedy(default_on_eof)]
    crash_reports: CrashReports,
    #[speedy(default_on_eof)]
    level: StoredLevel,
    #[speedy(default_on_eof)]
    quotas: Vec<(String, TenantQuota)>,
    #[speedy(default_on_eof)]
    software: StoredSoftware,
}

/// Versions of the software of the stored replicas, and of those that have left. Nothing is written if none is known,
/// as below [`FeatureLevel::SOFTWARE_VERSIONS`].
#[derive(Default, Readable)]
struct StoredSoftware {
    groups: Vec<SoftwareGroup>,
    former: Vec<(ServiceVersion, LogIndex)>,
}

impl<C: Context> Writable<C> for StoredSoftware {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        if self.groups.is_empty() && self.former.is_empty() {
            return Ok(());
        }
        self.groups.write_to(writer)?;
        self.former.write_to(writer)
    }
}

/// Feature level of the group. Builds that wrote the additions without a level supported all of
/// [`FeatureLevel::SHARED_GRANTS`].
#[derive(Readable, Writable)]
struct StoredLevel(FeatureLevel);

impl Default for StoredLevel {
    fn default() -> Self {
        Self(FeatureLevel::SHARED_GRANTS)
    }
}

impl From<&ServingState> for Extension {
    fn from(state: &ServingState) -> Self {
        let is_extended = state.level > FeatureLevel::FIRST;
        Self(is_extended.then(|| ExtensionFields {
            quarantine: Quarantine::clone(&state.quarantine),
            crash_reports: CrashReports::clone(&state.crash_reports),
            level: StoredLevel(state.level),
            quotas: state.configuration.quotas(),
            software: StoredSoftware {
                groups: SoftwareGroup::of_records(state.replicas.records().values()),
                former: state.former_versions.to_stored(),
            },
        }))
    }
}

impl<C: Context> Writable<C> for Extension {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.0
            .as_ref()
            .map_or(Ok(()), |fields| fields.write_to(writer))
    }
}

impl<'a, C: Context> Readable<'a, C> for Extension {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        ExtensionFields::read_from(reader).map(|fields| Self(Some(fields)))
    }
}

impl From<&ServingState> for StoredState<ServingConfiguration> {
    fn from(state: &ServingState) -> Self {
        let replicas = state.replicas.records().iter();
        Self {
            content: state.content.to_vec(),
            configuration: state.configuration().clone(),
            configuration_at: state.configuration_at,
            replicas: replicas
                .map(|(id, record)| (id.clone(), record.clone()))
                .collect(),
            removals: state.tombstones.removals().cloned().collect(),
            ended: state.tombstones.ended().cloned().collect(),
            removals_evicted_through: state.tombstones.evicted_through(),
            weights: state.weights.clone(),
            changed_at: state.changed_at,
            order_lock: state.order_lock.clone(),
            extension: Extension::from(state),
        }
    }
}

/// Layout in which the quotas of tenants are stored within the configuration.
#[derive(Readable)]
pub(crate) struct StoredWithInlineQuotas(StoredState<InlineConfiguration>);

impl From<StoredWithInlineQuotas> for ServingState {
    fn from(stored: StoredWithInlineQuotas) -> Self {
        let configuration = ServingConfiguration::from(stored.0.configuration);
        let quotas = configuration.quotas();
        let mut extension = stored.0.extension;
        if let Some(fields) = &mut extension.0 {
            fields.quotas = quotas;
        }
        Self::from(StoredState {
            content: stored.0.content,
            configuration,
            configuration_at: stored.0.configuration_at,
            replicas: stored.0.replicas,
            removals: stored.0.removals,
            ended: stored.0.ended,
            removals_evicted_through: stored.0.removals_evicted_through,
            weights: stored.0.weights,
            changed_at: stored.0.changed_at,
            order_lock: stored.0.order_lock,
            extension,
        })
    }
}

impl From<StoredState<ServingConfiguration>> for ServingState {
    fn from(stored: StoredState<ServingConfiguration>) -> Self {
        let extension = stored.extension.0.unwrap_or_else(|| ExtensionFields {
            quarantine: Quarantine::default(),
            crash_reports: CrashReports::default(),
            level: StoredLevel(FeatureLevel::FIRST),
            quotas: Vec::new(),
            software: StoredSoftware::default(),
        });
        let mut configuration = stored.configuration;
        configuration.set_quotas(extension.quotas);
        let mut replicas = stored.replicas;
        let mut records: Vec<&mut ReplicaRecord> = replicas.values_mut().collect();
        SoftwareGroup::assign(&extension.software.groups, &mut records);
        Self {
            level: extension.level.0,
            content: Arc::new(stored.content),
            configuration_changes: Arc::new(ConfigurationChanges::from_snapshot(
                &configuration,
                stored.configuration_at,
            )),
            route_moves: RouteMoves::default(),
            configuration: Arc::new(configuration),
            configuration_at: stored.configuration_at,
            replicas: replicas.into_values().collect(),
            tombstones: Tombstones::from_snapshot(
                stored.removals,
                stored.ended,
                stored.removals_evicted_through,
            ),
            weights: stored.weights,
            changed_at: stored.changed_at,
            order_lock: stored.order_lock,
            quarantine: Arc::new(extension.quarantine),
            crash_reports: Arc::new(extension.crash_reports),
            former_versions: FormerVersions::from_stored(extension.software.former),
        }
    }
}

impl<C: Context> Writable<C> for ServingState {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        StoredState::from(self).write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for ServingState {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        StoredState::read_from(reader).map(Self::from)
    }
}
