//! What a router remembers of each service for its answers under overload.

use std::collections::HashMap;

use crate::load::{
    late_requests::LateRequests, return_times::ReturnTimes, urgency_mix::UrgencyMix,
};

/// State of one service.
#[derive(Debug, Default)]
pub struct ServiceOverload {
    /// Prompts sent lately, by priority.
    pub mix: UrgencyMix,
    /// Late prompts in progress.
    pub late: LateRequests,
    /// Return times of refused callers.
    pub return_times: ReturnTimes,
}

/// State of all services.
#[derive(Debug, Default)]
pub struct OverloadTable {
    services: HashMap<String, ServiceOverload>,
}

impl OverloadTable {
    /// Returns the state of a service, creating it if necessary.
    pub fn service(&mut self, name: &str) -> &mut ServiceOverload {
        self.services.entry(name.to_owned()).or_default()
    }

    /// Removes the services that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| keep(name));
    }
}
