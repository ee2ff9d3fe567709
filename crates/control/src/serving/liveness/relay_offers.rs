//! Routers that open connections to back-end replicas for other routers. Pure; not replicated.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use railtack_rpc::relay::{RelayOffer, RelaySearch};
use tokio::time::Instant;

/// Time after which an offer that is not repeated expires; several times the interval of watch requests.
const OFFER_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of offers sent to a router.
const MAX_OFFERS_TO_ROUTER: usize = 4;
/// The same for a router that searches for others because the ones that it was told of did not help.
const MAX_OFFERS_TO_SEARCHING_ROUTER: usize = 32;
/// Number of samples for control replicas that are drawn with the same seed.
const SAMPLES_PER_SEED: u64 = 64;
/// Maximum number of offers sent to a control replica.
const MAX_OFFERS_TO_CONTROL: usize = 32;

/// Offers known to one control replica.
#[derive(Debug, Default)]
pub struct RelayOffers {
    /// Offers of the routers connected here.
    local: HashMap<String, TimedOffer>,
    /// On the leader: the last report of each other control replica, by its address.
    reports: HashMap<String, Report>,
    /// Offers received from the leader.
    received: Vec<RelayOffer>,
    /// Number of samples drawn for control replicas.
    control_samples: u64,
}

/// All offers of the routers connected to one control replica.
#[derive(Debug)]
struct Report {
    offers: Vec<RelayOffer>,
    reported_at: Instant,
}

/// Change of whether a router opens connections for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferChange {
    /// It does from now on.
    Made,
    /// It does no more.
    Withdrawn,
}

#[derive(Debug)]
struct TimedOffer {
    address: String,
    offered_at: Instant,
}

impl RelayOffers {
    /// Records the offer of a router connected here; `None` withdraws it. Returns a change of whether it offers.
    pub fn record_local(
        &mut self,
        router: &str,
        address: Option<String>,
        now: Instant,
    ) -> Option<OfferChange> {
        let Some(address) = address else {
            let withdrawn = self.local.remove(router);
            return withdrawn.map(|_| OfferChange::Withdrawn);
        };
        let offer = TimedOffer {
            address,
            offered_at: now,
        };
        let previous = self.local.insert(router.to_owned(), offer);
        previous.is_none().then_some(OfferChange::Made)
    }

    /// On the leader: records the offers reported by the control replica `sender`, in place of its last report. What it
    /// no longer reports is withdrawn at once.
    pub fn record_report(&mut self, sender: &str, offers: Vec<RelayOffer>, now: Instant) {
        let report = Report {
            offers,
            reported_at: now,
        };
        self.reports.insert(sender.to_owned(), report);
    }

    /// Replaces the offers received from the leader.
    pub fn set_received(&mut self, offers: Vec<RelayOffer>) {
        self.received = offers;
    }

    /// Removes what earlier leaders sent and what was reported to this replica in an earlier term.
    pub fn begin_term(&mut self) {
        self.received.clear();
        self.reports.clear();
    }

    /// Returns the offers of the routers connected here.
    pub fn local(&self, now: Instant) -> Vec<RelayOffer> {
        self.current_local(now).collect()
    }

    /// Returns some offers for the router `asker`, without its own. A router that searches is told of more of them, and
    /// of other ones each time.
    pub fn for_router(
        &self,
        asker: &str,
        search: Option<RelaySearch>,
        now: Instant,
    ) -> Vec<RelayOffer> {
        match search {
            Some(RelaySearch { seed }) => {
                self.sample(asker, seed, MAX_OFFERS_TO_SEARCHING_ROUTER, now)
            }
            None => self.sample(asker, 0, MAX_OFFERS_TO_ROUTER, now),
        }
    }

    /// On the leader: returns some offers for the control replica `asker`, others after a while, so that its routers can
    /// find them all.
    pub fn for_control(&mut self, asker: &str, now: Instant) -> Vec<RelayOffer> {
        let seed = self.control_samples / SAMPLES_PER_SEED;
        self.control_samples += 1;
        self.sample(asker, seed, MAX_OFFERS_TO_CONTROL, now)
    }

    /// Removes expired offers.
    pub fn remove_expired(&mut self, now: Instant) {
        self.local
            .retain(|_, offer| is_current(offer.offered_at, now));
        self.reports
            .retain(|_, report| is_current(report.reported_at, now));
    }

    /// Draws offers by a hash of both names and `seed`, so that a router gets the same ones for the same seed and all of
    /// them are spread evenly over the asking routers.
    fn sample(&self, asker: &str, seed: u64, count: usize, now: Instant) -> Vec<RelayOffer> {
        let reports = self.reports.values();
        let reported = reports
            .filter(|report| is_current(report.reported_at, now))
            .flat_map(|report| report.offers.iter().cloned());
        let received = self.received.iter().cloned();
        let by_router: BTreeMap<String, RelayOffer> = received
            .chain(reported)
            .chain(self.current_local(now))
            .filter(|offer| offer.router != asker)
            .map(|offer| (offer.router.clone(), offer))
            .collect();
        let mut offers: Vec<RelayOffer> = by_router.into_values().collect();
        offers.sort_by_cached_key(|offer| rank(asker, &offer.router, seed));
        offers.truncate(count);
        offers
    }

    fn current_local(&self, now: Instant) -> impl Iterator<Item = RelayOffer> + '_ {
        let current = self
            .local
            .iter()
            .filter(move |(_, offer)| is_current(offer.offered_at, now));
        current.map(|(router, offer)| RelayOffer {
            router: router.clone(),
            address: offer.address.clone(),
        })
    }
}

fn is_current(offered_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(offered_at) < OFFER_TTL
}

fn rank(asker: &str, router: &str, seed: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    asker.hash(&mut hasher);
    router.hash(&mut hasher);
    hasher.finish()
}
