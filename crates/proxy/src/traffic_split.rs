//! Dividing a route's requests among its services by weight. Pure.
//!
//! Smooth weighted round robin: over any run of requests each service's share differs from its
//! weight by less than one request. A router starts at a random place, so that many routers that
//! each see few requests do not all begin with the same service.

use std::collections::HashMap;

use railtack_serving::{Route, WeightedService};

/// Progress of the division on each route.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    /// For each route, the weights it was begun with and the balance of each service.
    routes: HashMap<String, RouteBalance>,
}

#[derive(Clone, Debug)]
struct RouteBalance {
    targets: Vec<WeightedService>,
    balances: Vec<i128>,
}

impl TrafficSplitter {
    /// The service for the next request; `seed` is used when a route is seen for the first time or
    /// after its weights changed. `None` if no service has a weight.
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

    /// Forgets routes that are gone.
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
        // The division has a period of at most the sum of the weights; a hundred steps spread it.
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
