//! Services whose replicas withstand few rejections, as far as one process knows. Pure.
//!
//! All replicas of a service say so in all their responses, so a single response tells it of the whole service and of
//! incarnations that have not responded yet.

use std::{collections::HashMap, time::Duration};

use crate::availability::MonotonicTime;

/// Time for which a service without any responses stays sensitive.
const RETENTION: Duration = Duration::from_secs(300);
/// Time after the last response that said so, from which one that does not ends it. Responses overtake each other.
const END_MARGIN: Duration = Duration::from_secs(1);

/// What the responses of a service said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sensitivity {
    /// Rejections for want of room that a replica withstands in a second.
    pub withstood_rejections: u32,
    /// When a response last said so.
    pub stated_at: MonotonicTime,
    /// When a response last did not.
    pub omitted_at: Option<MonotonicTime>,
}

impl Sensitivity {
    fn holds(&self, now: MonotonicTime) -> bool {
        let has_ended = self
            .omitted_at
            .is_some_and(|omitted_at| omitted_at > self.stated_at + END_MARGIN);
        !has_ended && now < self.stated_at + RETENTION
    }
}

/// Sensitive services by name.
#[derive(Clone, Debug, Default)]
pub struct SensitiveServices {
    services: HashMap<String, Sensitivity>,
}

impl SensitiveServices {
    /// Records a response that said what a replica withstands. Returns whether the service was not sensitive before.
    pub fn record_stated(&mut self, service: &str, withstood: u32, at: MonotonicTime) -> bool {
        let known = self.services.get_mut(service);
        let Some(known) = known else {
            let sensitivity = Sensitivity {
                withstood_rejections: withstood,
                stated_at: at,
                omitted_at: None,
            };
            self.services.insert(service.to_owned(), sensitivity);
            return true;
        };
        let held = known.holds(at);
        if at >= known.stated_at {
            known.stated_at = at;
            known.withstood_rejections = withstood;
        }
        !held && known.holds(at)
    }

    /// Records a response that did not. Returns whether that ended the sensitivity of the service.
    pub fn record_omitted(&mut self, service: &str, at: MonotonicTime) -> bool {
        let Some(known) = self.services.get_mut(service) else {
            return false;
        };
        let held = known.holds(at);
        known.omitted_at = known.omitted_at.max(Some(at));
        held && !known.holds(at)
    }

    /// Returns the sensitivity of a service; `None` if it is not sensitive.
    pub fn get(&self, service: &str, now: MonotonicTime) -> Option<Sensitivity> {
        let known = self.services.get(service).copied();
        known.filter(|known| known.holds(now))
    }

    /// Returns all that is known, also of services whose sensitivity has ended.
    pub fn known(&self) -> impl Iterator<Item = (&str, Sensitivity)> {
        let services = self.services.iter();
        services.map(|(service, known)| (service.as_str(), *known))
    }

    /// Returns the sensitive services.
    pub fn sensitive(&self, now: MonotonicTime) -> impl Iterator<Item = (&str, Sensitivity)> {
        self.known().filter(move |(_, known)| known.holds(now))
    }

    /// Removes what was last stated long ago.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.services
            .retain(|_, known| now < known.stated_at + RETENTION);
    }
}
