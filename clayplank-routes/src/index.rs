//! Index of a serving plan for lookups by host, path, key and service.

use std::collections::HashMap;
use std::time::Duration;

use clayplank_placement::{ColdStart, EngineModel};

use crate::plan::{KeyedAccount, Route, ServiceGroup, ServingPlan};

/// A plan with its routes indexed by host, accounts by key, and services by name.
#[derive(Clone, Debug, Default)]
pub struct PlanIndex {
    plan: ServingPlan,
    /// Positions of the routes of a host in lower case, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
    longest_time_limit_ms: u64,
}

impl PlanIndex {
    /// Indexes a plan that passed validation.
    pub fn new(plan: ServingPlan) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in plan.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|&position| {
                std::cmp::Reverse(plan.routes[position].path_prefix.len())
            });
        }
        let accounts = plan.accounts.iter().flatten().enumerate();
        let keys = accounts.flat_map(|(position, account)| {
            account.keys.iter().map(move |key| (key.clone(), position))
        });
        let by_key = keys.collect();
        let services = plan.services.iter().enumerate();
        let by_service =
            services.map(|(position, service)| (service.name.clone(), position)).collect();
        let longest_time_limit_ms =
            plan.routes.iter().map(|route| route.time_limit_ms).max().unwrap_or_default();
        Self { plan, by_host, by_key, by_service, longest_time_limit_ms }
    }

    /// Returns the indexed plan.
    pub fn plan(&self) -> &ServingPlan {
        &self.plan
    }

    /// Longest time limit of all routes.
    pub fn longest_time_limit(&self) -> Duration {
        Duration::from_millis(self.longest_time_limit_ms)
    }

    /// Finds the route of a request: of the host's routes, the one with the longest matching
    /// path prefix. The port in `host` and the case of `host` are ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut routes = positions.iter().map(|&position| &self.plan.routes[position]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Finds the account that a key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&KeyedAccount> {
        let accounts = self.plan.accounts.as_deref()?;
        self.by_key.get(key).map(|&position| &accounts[position])
    }

    /// Whether the plan has accounts, and with them keys.
    pub fn has_accounts(&self) -> bool {
        self.plan.accounts.is_some()
    }

    /// Whether requests on a route need the key of an account.
    pub fn requires_key(&self, route: &Route) -> bool {
        self.has_accounts() && !route.allows_anonymous
    }

    /// Returns the cost model of a service's engines; `None` for a plain or unknown service.
    pub fn engine_model(&self, service: &str) -> Option<&EngineModel> {
        self.service(service)?.engine.as_ref()
    }

    /// Returns the request rate limit of a service's upstreams after their start, if set.
    pub fn cold_start_limit(&self, service: &str) -> Option<ColdStart> {
        self.service(service)?.cold_start
    }

    fn service(&self, name: &str) -> Option<&ServiceGroup> {
        let position = *self.by_service.get(name)?;
        self.plan.services.get(position)
    }

    /// Selects a target service of a route by weight. `draw` is a random number from 0
    /// (inclusive) to 1 (exclusive).
    pub fn choose_target<'a>(&self, route: &'a Route, draw: f64) -> Option<&'a str> {
        let total_weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = draw * total_weight as f64;
        for target in &route.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        route.targets.iter().rfind(|target| target.weight > 0).map(|target| &*target.service)
    }
}
