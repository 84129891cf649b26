//! One exchange with the keepers: the first in a host's order is asked, and others beside it while it
//! is silent.

use clayplank_types::HostId;
use clayplank_wire::{Followed, follow_reply};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::follow::follow_log::ExchangeOutcome;
use crate::follow::following::{Following, Position};
use crate::process::clock::{millis, now_ms};

/// Keepers that are asked for the silence of others, in one exchange. More would overrun keepers that are
/// slow since hundreds of hosts come to them.
const MAX_HEDGES: usize = 2;

/// What an exchange came to.
pub(crate) struct Exchanged {
    /// `None` if no keeper confirmed what it holds.
    pub(crate) answer: Option<Answer>,
    /// Keepers that were asked before, in the order in which that was known.
    pub(crate) failures: Vec<Failure>,
}

/// What a keeper confirmed.
pub(crate) struct Answer {
    pub(crate) keeper: HostId,
    pub(crate) followed: Followed,
    /// The lease counts from then on.
    pub(crate) asked_ms: u64,
}

/// Why a keeper confirmed nothing.
pub(crate) struct Failure {
    pub(crate) keeper: HostId,
    pub(crate) asked_ms: u64,
    pub(crate) exchange: ExchangeOutcome,
    pub(crate) cause: String,
}

/// Keepers that were asked, and when.
type AskedAt = Vec<(HostId, u64)>;

impl Following {
    /// Asks one keeper after the other until one confirms what it holds, or none is left.
    pub(crate) async fn exchange(&self, order: &[HostId], position: &Position) -> Exchanged {
        let times = self.times();
        let mut waiting = FuturesUnordered::new();
        let mut asked = AskedAt::new();
        let mut failures = Vec::new();
        let mut rest = order.iter().peekable();
        let mut wait_ms = times.hedge_ms;
        let mut hedges = 0;
        loop {
            if let Some(keeper) = rest.next_if(|_| hedges <= MAX_HEDGES) {
                let is_hedge = !waiting.is_empty();
                asked.push((keeper.clone(), now_ms()));
                waiting.push(self.ask(keeper, position, is_hedge));
            }
            if waiting.is_empty() {
                return Exchanged { answer: None, failures };
            }
            match clayplank_clock::timeout(millis(wait_ms), waiting.next()).await {
                Ok(Some(Ok(answer))) => {
                    failures.extend(silent(&asked, &failures, &answer, times.hedge_ms));
                    return Exchanged { answer: Some(answer), failures };
                }
                Ok(Some(Err(failure))) => failures.push(failure),
                Ok(None) => {}
                Err(_) => {
                    wait_ms = times.step_ms;
                    hedges += 1;
                }
            }
        }
    }

    /// Asks a keeper for what is new; one that is asked beside another, for the plan alone.
    async fn ask(
        &self,
        keeper: &HostId,
        position: &Position,
        is_hedge: bool,
    ) -> Result<Answer, Failure> {
        let asked_ms = now_ms();
        let failure = |exchange, cause: &str| Failure {
            keeper: keeper.clone(),
            asked_ms,
            exchange,
            cause: cause.to_owned(),
        };
        let Some(request) = self.request(keeper, position, is_hedge) else {
            return Err(failure(ExchangeOutcome::Failed, "the question cannot be encoded"));
        };
        let patience = millis(self.times().patience_ms());
        let call = self
            .keepers
            .peers()
            .call(keeper, patience, |mut client| async move { client.follow(request).await });
        match call.await.map(|reply| reply.result) {
            Ok(Some(follow_reply::Result::Followed(followed))) => {
                Ok(Answer { keeper: keeper.clone(), followed, asked_ms })
            }
            Ok(Some(follow_reply::Result::NotLeaderHint(_)) | None) => {
                Err(failure(ExchangeOutcome::Unconfirmed, "it hears no leader"))
            }
            Err(error) => Err(failure(ExchangeOutcome::Failed, &error.to_string())),
        }
    }
}

/// Keepers that should have answered when another one did.
fn silent(
    asked: &AskedAt,
    failures: &[Failure],
    answer: &Answer,
    due_after_ms: u64,
) -> Vec<Failure> {
    let now_ms = now_ms();
    let has_ended = |keeper: &HostId| {
        *keeper == answer.keeper || failures.iter().any(|one| one.keeper == *keeper)
    };
    let is_due = |asked_ms: u64| now_ms >= asked_ms + due_after_ms;
    let silent = asked.iter().filter(|(keeper, at_ms)| !has_ended(keeper) && is_due(*at_ms));
    let failure = |(keeper, asked_ms): &(HostId, u64)| Failure {
        keeper: keeper.clone(),
        asked_ms: *asked_ms,
        exchange: ExchangeOutcome::Failed,
        cause: "it is silent, and another keeper answered".to_owned(),
    };
    silent.map(failure).collect()
}
