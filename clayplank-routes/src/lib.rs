//! The serving plan: routes, services and client accounts under one version.
//!
//! A plan is replaced as a whole by one with a higher version. [`ServingPlan`]
//! is the document, checked with all its faults at once; [`PlanIndex`] is what a
//! host serves under.
//!
//! ```
//! use clayplank_routes::{PlanIndex, ServingPlan};
//!
//! let text = r#"{
//!   "version": 3,
//!   "services": [{ "name": "results" }],
//!   "routes": [{
//!     "name": "times", "host": "dala.example", "path_prefix": "/times/",
//!     "kind": "unrepeatable", "time_limit_ms": 4000, "goal_ms": 300,
//!     "targets": [{ "service": "results", "weight": 1 }]
//!   }],
//!   "accounts": [{ "name": "timekeepers", "keys": ["k1"] }]
//! }"#;
//! let plan = clayplank_settings::parse::<ServingPlan>(text).unwrap();
//! let index = PlanIndex::new(plan);
//! assert_eq!(index.find_route("dala.example", "/times/41").unwrap().name, "times");
//! assert!(index.find_route("dala.example", "/other").is_none());
//! ```

mod index;
mod plan;

pub use index::PlanIndex;
pub use plan::{CallerLimits, KeyedAccount, RequestKind, Route, ServiceGroup, ServingPlan, Target};
