//! The serving plan: routes, services and client accounts under one version.
//!
//! A plan is never edited in place: one with a higher version replaces it completely.
//! [`ServingPlan`] is the document; its validation reports all faults at once.
//! [`PlanIndex`] is the form in which a host looks up routes, services and accounts.
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
