//! The serving state as snapshots hold it: plain collections, in the layout of the first build, with
//! what was added later at the end. A snapshot of a group at the first level ends before it, whichever build
//! writes it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use railtack_consensus::LogIndex;
use railtack_rpc::{FeatureLevel, layout::InlineConfiguration};
use railtack_serving::{ReplicaRecord, ServingConfiguration, TenantQuota};
use speedy::{Context, Readable, Reader, Writable, Writer};

use super::{
    OrderRight, ServingState, departed::Departed, quarantine::Quarantine,
    reported_ends::ReportedEnds,
};

#[derive(Readable, Writable)]
struct StoredState<Shape> {
    content: Vec<u8>,
    configuration: Shape,
    configuration_at: LogIndex,
    replicas: BTreeMap<String, ReplicaRecord>,
    departed: BTreeSet<(LogIndex, String)>,
    departed_ids: BTreeSet<String>,
    departed_complete_after: LogIndex,
    weights: BTreeMap<String, u64>,
    changed_at: LogIndex,
    order_right: Option<OrderRight>,
    #[speedy(default_on_eof)]
    later: Later,
}

/// What the first level does not have.
#[derive(Default)]
struct Later(Option<LaterParts>);

#[derive(Readable, Writable)]
struct LaterParts {
    quarantine: Quarantine,
    #[speedy(default_on_eof)]
    reported_ends: ReportedEnds,
    #[speedy(default_on_eof)]
    level: StoredLevel,
    #[speedy(default_on_eof)]
    quotas: Vec<(String, TenantQuota)>,
}

/// The group's level. Builds that wrote these parts without one did all of that level.
#[derive(Readable, Writable)]
struct StoredLevel(FeatureLevel);

impl Default for StoredLevel {
    fn default() -> Self {
        Self(FeatureLevel::SHARED_GRANTS)
    }
}

impl From<&ServingState> for Later {
    fn from(state: &ServingState) -> Self {
        let has_parts = state.level > FeatureLevel::FIRST;
        Self(has_parts.then(|| LaterParts {
            quarantine: Quarantine::clone(&state.quarantine),
            reported_ends: ReportedEnds::clone(&state.reported_ends),
            level: StoredLevel(state.level),
            quotas: state.configuration.quotas(),
        }))
    }
}

impl<C: Context> Writable<C> for Later {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.0
            .as_ref()
            .map_or(Ok(()), |parts| parts.write_to(writer))
    }
}

impl<'a, C: Context> Readable<'a, C> for Later {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        LaterParts::read_from(reader).map(|parts| Self(Some(parts)))
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
            departed: state.departed.removals().cloned().collect(),
            departed_ids: state.departed.ended().cloned().collect(),
            departed_complete_after: state.departed.complete_after(),
            weights: state.weights.clone(),
            changed_at: state.changed_at,
            order_right: state.order_right.clone(),
            later: Later::from(state),
        }
    }
}

/// The layout in which the quotas of tenants stand within the configuration.
#[derive(Readable)]
pub(crate) struct StoredWithInlineQuotas(StoredState<InlineConfiguration>);

impl From<StoredWithInlineQuotas> for ServingState {
    fn from(stored: StoredWithInlineQuotas) -> Self {
        let configuration = ServingConfiguration::from(stored.0.configuration);
        let quotas = configuration.quotas();
        let mut later = stored.0.later;
        if let Some(parts) = &mut later.0 {
            parts.quotas = quotas;
        }
        Self::from(StoredState {
            content: stored.0.content,
            configuration,
            configuration_at: stored.0.configuration_at,
            replicas: stored.0.replicas,
            departed: stored.0.departed,
            departed_ids: stored.0.departed_ids,
            departed_complete_after: stored.0.departed_complete_after,
            weights: stored.0.weights,
            changed_at: stored.0.changed_at,
            order_right: stored.0.order_right,
            later,
        })
    }
}

impl From<StoredState<ServingConfiguration>> for ServingState {
    fn from(stored: StoredState<ServingConfiguration>) -> Self {
        let later = stored.later.0.unwrap_or_else(|| LaterParts {
            quarantine: Quarantine::default(),
            reported_ends: ReportedEnds::default(),
            level: StoredLevel(FeatureLevel::FIRST),
            quotas: Vec::new(),
        });
        let mut configuration = stored.configuration;
        configuration.set_quotas(later.quotas);
        Self {
            level: later.level.0,
            content: Arc::new(stored.content),
            configuration: Arc::new(configuration),
            configuration_at: stored.configuration_at,
            replicas: stored.replicas.into_values().collect(),
            departed: Departed::restored(
                stored.departed,
                stored.departed_ids,
                stored.departed_complete_after,
            ),
            weights: stored.weights,
            changed_at: stored.changed_at,
            order_right: stored.order_right,
            quarantine: Arc::new(later.quarantine),
            reported_ends: Arc::new(later.reported_ends),
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
