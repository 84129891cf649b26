//! The replicated state machine: settings of partners, claims of requests that must run at most
//! once, the serving plan, fencing tokens for upstreams, quarantined requests, and cordoned data
//! centres.
//!
//! The keepers, which are the hosts with a replica of this state, replicate a log of [`Command`]s
//! and apply each committed entry to a [`Machine`]. The machine is deterministic: the same commands
//! in the same order give the same state and the same replies on every keeper. It reads no clock;
//! each command carries the wall time of the keeper that proposed it. The other hosts follow the
//! state: they receive a [`Delta`] of what changed after a revision.
//!
//! ```
//! use clayplank_settings::Template;
//! use clayplank_state::{CommandBody, Command, Machine, Reply, SettingChange, SettingKey, SettingValue};
//! use clayplank_types::Partner;
//!
//! let template: Template = clayplank_settings::parse(r#"{"deadline_ms": 5000}"#).unwrap();
//! let dala = Partner::new("dala");
//! let change = SettingChange {
//!     change_id: "c-1".to_owned(),
//!     partner: dala.clone(),
//!     operator: "ops".to_owned(),
//!     key: SettingKey::template(&dala, "short"),
//!     expected_version: 0,
//!     value: Some(SettingValue::Template(template)),
//! };
//! let mut machine = Machine::default();
//! let command = Command { at_ms: 1, body: CommandBody::Change(change) };
//! assert_eq!(machine.apply(&command), Reply::Changed { version: 1 });
//! assert_eq!(machine.apply(&command), Reply::Changed { version: 1 }, "a resent change gets its first reply");
//! ```

mod claims;
mod command;
mod cordons;
mod machine;
mod packing;
mod plan;
mod plan_edit;
mod quarantine;
mod settings;
mod view;

pub use claims::{ClaimKey, ClaimState, MAX_KEPT_ANSWER_BYTES, StoredAnswer};
pub use command::{
    Claim, ClaimHolder, CodecError, Command, CommandBody, PlanDocument, Reply, SettingChange,
    decode, encode,
};
pub use machine::{Machine, MachineStats};
pub use packing::{PackError, pack, unpack};
pub use plan_edit::{EditError, PlanEdit};
pub use quarantine::{QuarantineChanges, TrialReply};
pub use settings::{Delta, SettingKey, SettingValue, Versioned};
pub use view::{SettingsView, StaleDelta};
