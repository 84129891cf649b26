//! Life cycle of grants after they are issued, and handling of engine load reports.

use std::collections::BTreeSet;

use clayplank_types::{AttemptId, UpstreamId};

use crate::engine::{Availability, EngineReport};
use crate::fleet::EngineIndex;
use crate::grants::{GrantRecord, GrantState, RenewedGrant, ReservedPart};
use crate::policy::Lane;
use crate::reservation::{Decision, GrantHolder, GrantId, Usage};
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Records that the first output token of a grant's attempt was observed, which ends its
    /// prefill.
    pub fn record_first_token(&mut self, now_ms: u64, grant_id: GrantId) {
        let Some(record) = self.grants.get_mut(grant_id) else {
            return;
        };
        let lane = record.lane;
        let is_gang = record.parts.len() > 1;
        let mut prefilled = Vec::new();
        for part in record.parts.iter_mut().filter(|part| part.is_prefilling && !part.is_released) {
            part.is_prefilling = false;
            prefilled.push((part.engine, part.prefill_tokens));
        }
        for &(index, tokens) in &prefilled {
            self.fleet.update(index, |engine| {
                engine.end_prefill(lane, tokens);
                let remaining_tokens = engine.total_prefill_tokens();
                match is_gang {
                    // The engines of a gang wait for each other, so this is no sample of their speed.
                    true => engine.rates.discard_busy_period(),
                    false => engine.rates.end_prefill(now_ms, tokens, remaining_tokens),
                }
            });
        }
        self.dispatch_models_of(now_ms, prefilled.iter().map(|&(index, _)| index));
    }

    /// Ends the grant of an attempt, whichever owner issued it; see [`Scheduler::end_grant`].
    pub fn end_grant_of_attempt(&mut self, now_ms: u64, attempt_id: AttemptId, usage: Usage) {
        match self.grants.find(attempt_id) {
            Some(grant_id) => self.end_grant(now_ms, grant_id, usage),
            None if usage.engine_ended => self.ended.insert(now_ms, attempt_id),
            None => {}
        }
    }

    /// Ends a grant. If the engine has not confirmed the end of the attempt, the grant is
    /// revoked, and its memory is released once the engine's reports no longer list the
    /// attempt.
    pub fn end_grant(&mut self, now_ms: u64, grant_id: GrantId, usage: Usage) {
        let Some(record) = self.grants.get(grant_id) else {
            return;
        };
        let attempt_id = record.attempt_id;
        let engines: Vec<_> = record.parts.iter().map(|part| part.engine).collect();
        if let (Some(&last), true) = (engines.last(), usage.engine_ended) {
            self.fleet.update(last, |engine| {
                engine.rates.end_decode(usage.output_tokens, usage.decode_ms)
            });
        }
        if usage.engine_ended {
            self.ended.insert(now_ms, attempt_id);
            self.release_grant(grant_id);
        } else {
            self.revoke(now_ms, grant_id);
        }
        self.dispatch_models_of(now_ms, engines.into_iter());
    }

    /// Renews the listed grants of a holder and adopts those issued by an earlier owner.
    /// Grants of the host's earlier incarnations are revoked.
    pub fn renew(&mut self, now_ms: u64, holder: &GrantHolder, renewed_grants: &[RenewedGrant]) {
        for grant_id in self.grants.of_earlier_incarnations(holder) {
            self.revoke(now_ms, grant_id);
        }
        let until_ms = now_ms + self.policy.grant_lease_ms;
        for grant in renewed_grants {
            match self.grants.find(grant.attempt_id) {
                Some(grant_id) => self.renew_one(grant_id, until_ms),
                None => self.adopt(holder, grant, until_ms),
            }
        }
    }

    fn renew_one(&mut self, grant_id: GrantId, until_ms: u64) {
        let is_held = |record: &GrantRecord| matches!(record.state, GrantState::Held { .. });
        if self.grants.get(grant_id).is_some_and(is_held) {
            self.grants.set_state(grant_id, GrantState::Held { until_ms });
        }
    }

    /// Adopts a grant that is not in the table. One issued by this incarnation of the owner
    /// has already ended and is ignored.
    fn adopt(&mut self, holder: &GrantHolder, grant: &RenewedGrant, until_ms: u64) {
        if grant.owner == self.incarnation || self.ended.contains(grant.attempt_id) {
            return;
        }
        let mut parts = Vec::new();
        for part in &grant.parts {
            let Some(index) = self.find_engine(&part.engine) else {
                continue;
            };
            let incarnation = self.fleet.update(index, |engine| {
                engine.remove_foreign(grant.attempt_id);
                engine.adopt(Lane::Long, part.reserved_tokens);
                engine.incarnation
            });
            parts.push(ReservedPart {
                engine: index,
                incarnation,
                reserved_tokens: part.reserved_tokens,
                prefill_tokens: 0,
                is_prefilling: false,
                is_released: false,
            });
        }
        let state = GrantState::Held { until_ms };
        let record = GrantRecord {
            attempt_id: grant.attempt_id,
            holder: holder.clone(),
            lane: Lane::Long,
            state,
            parts,
        };
        self.grants.insert(record);
    }

    pub(crate) fn revoke_expired(&mut self, now_ms: u64) {
        for grant_id in self.grants.expired(now_ms) {
            self.revoke(now_ms, grant_id);
        }
    }

    /// Cancels the attempt of a held grant at its engines. The memory stays reserved until
    /// the engines no longer run the attempt.
    fn revoke(&mut self, now_ms: u64, grant_id: GrantId) {
        let Some(record) = self.grants.get(grant_id) else {
            return;
        };
        if matches!(record.state, GrantState::Revoked { .. }) {
            return;
        }
        let attempt_id = record.attempt_id;
        let unreleased = record.parts.iter().filter(|part| !part.is_released);
        let engines: Vec<_> =
            unreleased.map(|part| self.fleet.engine(part.engine).id.clone()).collect();
        self.decisions
            .extend(engines.into_iter().map(|engine| Decision::Cancel(engine, attempt_id)));
        self.grants.set_state(grant_id, GrantState::Revoked { since_ms: now_ms });
        self.stop_prefill(grant_id);
    }

    /// Ends the prefills of a grant without a first token; they give no sample of speed.
    fn stop_prefill(&mut self, grant_id: GrantId) {
        let Some(record) = self.grants.get_mut(grant_id) else {
            return;
        };
        let lane = record.lane;
        for part in record.parts.iter_mut().filter(|part| part.is_prefilling && !part.is_released) {
            part.is_prefilling = false;
            let tokens = part.prefill_tokens;
            self.fleet.update(part.engine, |engine| {
                engine.end_prefill(lane, tokens);
                engine.rates.discard_busy_period();
            });
        }
    }

    fn release_grant(&mut self, grant_id: GrantId) {
        self.stop_prefill(grant_id);
        if let Some(record) = self.grants.remove(grant_id) {
            for part in record.parts.iter().filter(|part| !part.is_released) {
                self.fleet.update(part.engine, |engine| {
                    engine.release(record.lane, part.reserved_tokens)
                });
            }
        }
    }

    /// Releases the part of a grant on an engine that no longer runs it. A grant that is
    /// still held stays in the table until its holder ends it or it is revoked.
    fn release_part(&mut self, grant_id: GrantId, index: EngineIndex) {
        self.stop_prefill(grant_id);
        let Some(record) = self.grants.get_mut(grant_id) else {
            return;
        };
        let lane = record.lane;
        for part in record.parts.iter_mut().filter(|part| part.engine == index && !part.is_released)
        {
            part.is_released = true;
            let tokens = part.reserved_tokens;
            self.fleet.update(index, |engine| engine.release(lane, tokens));
        }
        let all_released = record.parts.iter().all(|part| part.is_released);
        if all_released && matches!(record.state, GrantState::Revoked { .. }) {
            self.grants.remove(grant_id);
        }
    }

    /// Applies an engine's load report, and releases the memory of revoked grants that the
    /// engine no longer runs.
    pub fn apply_report(&mut self, now_ms: u64, engine: &UpstreamId, report: &EngineReport) {
        let Some(index) = self.find_engine(engine) else {
            return;
        };
        let is_restarted = self.apply_incarnation(index, report);
        self.fleet.update(index, |engine| {
            engine.memory_tokens = report.memory_tokens;
            engine.adapters.clone_from(&report.adapters);
            engine.availability = match (report.is_draining, engine.availability) {
                (true, _) => Availability::Draining,
                (false, Availability::Draining) if !is_restarted => Availability::Draining,
                (false, _) => Availability::Live,
            };
        });
        self.release_ended(now_ms, index, report);
        self.count_foreign(now_ms, index, report);
        self.dispatch_models_of(now_ms, std::iter::once(index));
    }

    /// Applies the incarnation of a report and returns whether the engine was restarted. A
    /// restarted engine no longer runs what was granted on its earlier incarnation. Before an
    /// engine's first report its incarnation is unknown; grants issued until then take on the
    /// reported one.
    fn apply_incarnation(&mut self, index: EngineIndex, report: &EngineReport) -> bool {
        let before = self.fleet.engine(index).incarnation;
        if before == report.incarnation {
            return false;
        }
        self.fleet.update(index, |engine| engine.incarnation = report.incarnation);
        self.prefixes.invalidate(index);
        let of_earlier_incarnation =
            |part: &ReservedPart| part.engine == index && part.incarnation != report.incarnation;
        let is_first = before.0 == 0;
        let affected: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, record)| record.parts.iter().any(of_earlier_incarnation))
            .map(|(grant_id, _)| grant_id)
            .collect();
        for grant_id in affected {
            match is_first {
                true => self.set_incarnation(grant_id, index, report),
                false => self.release_part(grant_id, index),
            }
        }
        !is_first
    }

    fn set_incarnation(&mut self, grant_id: GrantId, index: EngineIndex, report: &EngineReport) {
        let record = self.grants.get_mut(grant_id);
        for part in record
            .into_iter()
            .flat_map(|record| &mut record.parts)
            .filter(|part| part.engine == index)
        {
            part.incarnation = report.incarnation;
        }
    }

    fn release_ended(&mut self, now_ms: u64, index: EngineIndex, report: &EngineReport) {
        let grace_ms = self.policy.report_grace_ms;
        // The report may be older than the cancellation; the grace period covers its lag.
        let is_ended = |record: &GrantRecord| match record.state {
            GrantState::Held { .. } => false,
            GrantState::Revoked { since_ms } => {
                now_ms >= since_ms + grace_ms && !report.running.contains_key(&record.attempt_id)
            }
        };
        let uses_engine = |record: &GrantRecord| {
            record.parts.iter().any(|part| part.engine == index && !part.is_released)
        };
        let revoked =
            self.grants.revoked().filter(|(_, record)| uses_engine(record) && is_ended(record));
        let ended: Vec<_> = revoked.map(|(grant_id, _)| grant_id).collect();
        for grant_id in ended {
            self.release_part(grant_id, index);
        }
    }

    /// Counts the reported attempts that no grant accounts for, such as those of an earlier
    /// owner. Attempts that ended within the grace period are left out.
    fn count_foreign(&mut self, now_ms: u64, index: EngineIndex, report: &EngineReport) {
        self.ended.remove_before(now_ms.saturating_sub(self.policy.report_grace_ms));
        let is_foreign = |attempt_id: &AttemptId| {
            self.grants.find(*attempt_id).is_none() && !self.ended.contains(*attempt_id)
        };
        let foreign: Vec<_> = report
            .running
            .iter()
            .filter(|(attempt_id, _)| is_foreign(attempt_id))
            .map(|(&attempt_id, &tokens)| (attempt_id, tokens))
            .collect();
        self.fleet.update(index, |engine| {
            let listed: BTreeSet<_> = foreign.iter().map(|&(attempt_id, _)| attempt_id).collect();
            let no_longer_running: Vec<_> =
                engine.foreign.keys().filter(|id| !listed.contains(id)).copied().collect();
            for attempt_id in no_longer_running {
                engine.remove_foreign(attempt_id);
            }
            for (attempt_id, tokens) in foreign {
                engine.add_foreign(attempt_id, tokens);
            }
        });
    }

    /// Records that an engine's reports stopped: it gets no new work until the next one.
    pub fn mark_unresponsive(&mut self, engine: &UpstreamId) {
        self.change_availability(engine, Availability::Live, Availability::Unresponsive);
    }

    /// Records that an engine is about to stop, whatever the source of this information.
    pub fn mark_draining(&mut self, engine: &UpstreamId) {
        self.change_availability(engine, Availability::Live, Availability::Draining);
        self.change_availability(engine, Availability::Unresponsive, Availability::Draining);
    }

    fn change_availability(&mut self, engine: &UpstreamId, from: Availability, to: Availability) {
        let Some(index) = self.find_engine(engine) else {
            return;
        };
        if self.fleet.engine(index).availability == from {
            self.fleet.update(index, |engine| engine.availability = to);
        }
    }

    /// Records that an engine loaded an adapter, ahead of its next report.
    pub fn record_adapter_loaded(&mut self, engine: &UpstreamId, adapter: &str) {
        if let Some(index) = self.find_engine(engine) {
            self.fleet.update(index, |engine| engine.adapters.insert(adapter.to_owned()));
        }
    }

    /// Records that an engine evicted a prefix from its cache.
    pub fn record_prefix_evicted(&mut self, engine: &UpstreamId, prefix_hash: u64) {
        if let Some(index) = self.find_engine(engine) {
            self.prefixes.evict(index, prefix_hash);
        }
    }

    /// Records that cache events of an engine were missed: all that is known of its cache
    /// is discarded.
    pub fn invalidate_cached_prefixes(&mut self, engine: &UpstreamId) {
        if let Some(index) = self.find_engine(engine) {
            self.prefixes.invalidate(index);
        }
    }

    fn dispatch_models_of(&mut self, now_ms: u64, engines: impl Iterator<Item = EngineIndex>) {
        let models: BTreeSet<String> =
            engines.flat_map(|index| self.fleet.engine(index).models.clone()).collect();
        for model in &models {
            let has_waiting = self.models.get(model).is_some_and(|lanes| lanes.waiting() > 0);
            if has_waiting {
                self.dispatch_model(now_ms, model);
            }
        }
    }

    /// Asserts that the reserved memory of every engine is the sum of its unreleased parts
    /// of grants.
    pub(crate) fn assert_reservations_match(&self) {
        let mut sums = vec![0; self.fleet.iter().count()];
        for (_, record) in self.grants.iter() {
            for part in record.parts.iter().filter(|part| !part.is_released) {
                sums[part.engine.0 as usize] += part.reserved_tokens;
            }
        }
        for (index, engine) in self.fleet.iter() {
            let sum = sums[index.0 as usize];
            assert_eq!(
                sum, engine.granted_tokens,
                "{}: reserved tokens differ from the sum of the grants",
                engine.id
            );
        }
    }
}
