//! Weighted split of a route's requests among services. Pure.
//!
//! Smooth weighted round robin: over any run of requests, the share of each service differs from
//! its weight by less than one request. Each router starts at a random position, so that routers
//! with few requests do not all start with the same service.

use std::collections::HashMap;

use railtack_serving::{Route, WeightedService};

/// State of the split of each route.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    /// Weights and balances of each route.
    routes: HashMap<String, RouteBalance>,
}

#[derive(Clone, Debug)]
struct RouteBalance {
    targets: Vec<WeightedService>,
    balances: Vec<i128>,
}

impl TrafficSplitter {
    /// Returns the service for the next request. `seed` sets the position when a route is new or
    /// its weights have changed. Returns `None` if all weights are zero.
    pub fn next<'a>(&mut self, route: &'a Route, seed: u64) -> Option<&'a str> {
        if let [only] = route.targets.as_slice() {
            return Some(&only.service);
        }
        let known = self.routes.get(&route.name);
        if known.is_none_or(|balance| balance.targets != route.targets) {
            self.routes
                .insert(route.name.clone(), RouteBalance::new(&route.targets, seed));
        }
        let position = self.routes.get_mut(&route.name)?.next()?;
        route
            .targets
            .get(position)
            .map(|target| target.service.as_str())
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}

impl RouteBalance {
    fn new(targets: &[WeightedService], seed: u64) -> Self {
        let mut balance = Self {
            targets: targets.to_vec(),
            balances: vec![0; targets.len()],
        };
        let total: u64 = targets.iter().map(|target| target.weight_milli).sum();
        // The period is at most the sum of the weights; up to a hundred steps randomize the start.
        for _ in 0..seed % total.clamp(1, 100) {
            balance.next();
        }
        balance
    }

    fn next(&mut self) -> Option<usize> {
        let total: u64 = self.targets.iter().map(|target| target.weight_milli).sum();
        for (balance, target) in self.balances.iter_mut().zip(&self.targets) {
            *balance += i128::from(target.weight_milli);
        }
        let position = (0..self.targets.len())
            .filter(|position| self.targets[*position].weight_milli > 0)
            .max_by_key(|position| self.balances[*position])?;
        self.balances[position] -= i128::from(total);
        Some(position)
    }
}
