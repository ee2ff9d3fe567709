//! Selects where a replica fetches cached prefixes from and whether it saves the prompt to a store.

use railtack_serving::{ReplicaKey, ReplicaRecord, ServingConfiguration, StoreConfig};
use tokio::time::Instant;

use crate::{
    affinity::rendezvous, attempt::Target, homes::Homes, pipeline::RequestRun,
    replicas::ReplicaTable,
};

impl RequestRun {
    /// Sets from where the target fetches cached prefixes, `peer` or else the store, and whether it saves the prompt.
    pub(super) fn set_prefix_sources(
        &self,
        target: &mut Target,
        peer: Option<String>,
        configuration: &ServingConfiguration,
    ) {
        let store = self.store(configuration);
        target.fetch_from = peer
            .or_else(|| store.map(|store| store.address.clone()))
            .filter(|_| self.state.options.policy.fetch);
        target.save_to = store
            .filter(|_| self.should_save(target.cached_tokens, configuration))
            .map(|store| store.address.clone());
    }

    /// Returns a replica with the same weights that probably caches what the chosen one lacks.
    /// Peers are preferred over the store, whose link is shared by all replicas.
    pub(super) fn fetch_source(
        &self,
        homes: &Homes<'_>,
        table: &mut ReplicaTable,
        chosen: &ReplicaRecord,
    ) -> Option<String> {
        if self.path.shared_tokens() == 0 {
            return None;
        }
        let model = &self.request.prompt.as_ref()?.model;
        let now = Instant::now();
        let mut is_source = |record: &ReplicaRecord| {
            record.id != chosen.id
                && record.version_of(model) == chosen.version_of(model)
                && table.handle(&record.id, now).is_available(now)
        };
        let preferred = homes.ranked.first()?;
        if is_source(preferred) {
            return Some(preferred.address.clone());
        }
        let fleet = self.state.current_fleet(now);
        let is_in_use = |record: &ReplicaRecord| {
            let replica = ReplicaKey::of(&record.id);
            fleet
                .as_ref()
                .is_some_and(|fleet| fleet.condition(replica).is_some())
        };
        let source = homes.prefix_source(chosen, is_in_use, is_source);
        source.map(|record| record.address.clone())
    }

    /// Whether the prompt is to be saved to the store. A prefix that was sent to this replica
    /// before has been considered for saving already. Prompts are spread over all stores, so their
    /// total capacity bounds the saves.
    fn should_save(&self, cached_tokens: u64, configuration: &ServingConfiguration) -> bool {
        let capacity_tokens = stores(configuration)
            .map(|store| store.capacity_tokens)
            .sum();
        cached_tokens < self.path.shared_tokens()
            && self.state.try_save(&self.path, capacity_tokens)
    }

    /// Returns the store for this prompt's prefix; every router picks the same one.
    fn store<'a>(&self, configuration: &'a ServingConfiguration) -> Option<&'a StoreConfig> {
        let key = self.path.key()?;
        stores(configuration).max_by_key(|store| rendezvous(key, &store.address))
    }
}

fn stores(configuration: &ServingConfiguration) -> impl Iterator<Item = &StoreConfig> {
    let services = configuration.services.iter();
    services.filter_map(|service| service.store.as_ref())
}
