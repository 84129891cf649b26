//! Decisions on queued and refused requests, with the figures that decided them.

use std::collections::VecDeque;

use clayplank_placement::PlacementId;

/// Upper bound of the records that wait to be logged; the oldest are dropped beyond it.
const MAX_RECORDS: usize = 1_024;

/// What a pool lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No slot is free.
    Slots,
    /// The engines have much prefill work queued.
    Prefill,
    /// There is room. A request is not placed if it is worth less than it takes from others, or if
    /// no engine that may serve it has room for it.
    Neither,
}

/// What was decided on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionKind {
    /// It was queued.
    Queued {
        /// Expected time until it is placed, in ms.
        expected_ms: f64,
    },
    /// It was queued before, and is placed.
    Placed,
    /// It was refused with an appointment.
    Refused {
        /// Time until the appointment, in ms.
        retry_after_ms: f64,
    },
    /// It was refused after an earlier refusal, without a promise.
    RefusedAgain {
        /// Time after which its caller may retry, in ms.
        retry_after_ms: f64,
    },
    /// Its caller left, or its host did not renew it.
    Abandoned,
}

/// One decision, with the figures that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionRecord {
    /// The request.
    pub id: PlacementId,
    /// Route of the request.
    pub route: String,
    /// What was decided.
    pub kind: DecisionKind,
    /// What its pool lacks.
    pub shortage: Shortage,
    /// Time that it has waited in the queue, in ms.
    pub queued_ms: f64,
    /// Free slots of its pool.
    pub free_slots: usize,
    /// Prefill work per engine of its pool, in ms.
    pub backlog_ms: f64,
    /// Fresh requests of its pool per second.
    pub arrivals_per_s: f64,
    /// Queued requests of all pools.
    pub queued: usize,
    /// Open appointments of all pools.
    pub open_appointments: usize,
}

/// The newest decisions that were not taken yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecisionLog {
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    pub(crate) fn push(&mut self, record: DecisionRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    pub(crate) fn take(&mut self) -> Vec<DecisionRecord> {
        self.records.drain(..).collect()
    }
}
