//! One exchange of an entry host with the keepers: a request to its first-ranked keeper, and hedged
//! requests to further ones while that is unresponsive.

use clayplank_types::HostId;
use clayplank_wire::{Followed, follow_reply};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::follow::follow_metrics::ExchangeOutcome;
use crate::follow::follow_task::{FollowTask, Position};
use crate::process::clock::{millis, now_ms};

/// Maximum number of hedged requests in one exchange. More would overload keepers that are slow because
/// hundreds of hosts send them requests.
const MAX_HEDGES: usize = 2;

/// Result of an exchange.
pub(crate) struct ExchangeResult {
    /// `None` if no keeper sent confirmed state.
    pub(crate) answer: Option<Answer>,
    /// Requests to other keepers that failed, in the order in which the failures were noticed.
    pub(crate) failures: Vec<Failure>,
}

/// Confirmed state that a keeper sent.
pub(crate) struct Answer {
    pub(crate) keeper: HostId,
    pub(crate) followed: Followed,
    /// Time at which the request was sent, in ms. The lease starts then.
    pub(crate) requested_ms: u64,
}

/// A request to a keeper that brought no confirmed state.
pub(crate) struct Failure {
    pub(crate) keeper: HostId,
    /// Time at which the request was sent, in ms.
    pub(crate) requested_ms: u64,
    pub(crate) outcome: ExchangeOutcome,
    pub(crate) cause: String,
}

/// The keepers to which requests were sent, and the times in ms.
type SentRequests = Vec<(HostId, u64)>;

impl FollowTask {
    /// Sends requests to one keeper after the other until one answers with confirmed state, or all have
    /// failed. The next request starts when one fails, or as a hedge when none has answered in time. After
    /// [`MAX_HEDGES`] hedges, only the running requests are awaited.
    pub(crate) async fn exchange(
        &self,
        ranked_keepers: &[HostId],
        position: &Position,
    ) -> ExchangeResult {
        let times = self.times();
        let mut pending = FuturesUnordered::new();
        let mut sent = SentRequests::new();
        let mut failures = Vec::new();
        let mut unqueried = ranked_keepers.iter().peekable();
        let mut wait_ms = times.hedge_delay_ms;
        let mut hedges = 0;
        loop {
            if let Some(keeper) = unqueried.next_if(|_| hedges <= MAX_HEDGES) {
                let is_hedge = !pending.is_empty();
                sent.push((keeper.clone(), now_ms()));
                pending.push(self.request_updates(keeper, position, is_hedge));
            }
            if pending.is_empty() {
                return ExchangeResult { answer: None, failures };
            }
            match clayplank_clock::timeout(millis(wait_ms), pending.next()).await {
                Ok(Some(Ok(answer))) => {
                    failures.extend(unresponsive(&sent, &failures, &answer, times.hedge_delay_ms));
                    return ExchangeResult { answer: Some(answer), failures };
                }
                Ok(Some(Err(failure))) => failures.push(failure),
                Ok(None) => {}
                Err(_) => {
                    wait_ms = times.hedge_interval_ms;
                    hedges += 1;
                }
            }
        }
    }

    /// Requests updates from a keeper. A hedged request is for the plan, without the updates of upstreams.
    async fn request_updates(
        &self,
        keeper: &HostId,
        position: &Position,
        is_hedge: bool,
    ) -> Result<Answer, Failure> {
        let requested_ms = now_ms();
        let failure = |outcome, cause: &str| Failure {
            keeper: keeper.clone(),
            requested_ms,
            outcome,
            cause: cause.to_owned(),
        };
        let Some(request) = self.request(keeper, position, is_hedge) else {
            return Err(failure(ExchangeOutcome::Failed, "the request cannot be encoded"));
        };
        let timeout = millis(self.times().timeout_ms());
        let call = self
            .keepers
            .peers()
            .call(keeper, timeout, |mut client| async move { client.follow(request).await });
        match call.await.map(|reply| reply.result) {
            Ok(Some(follow_reply::Result::Followed(followed))) => {
                Ok(Answer { keeper: keeper.clone(), followed, requested_ms })
            }
            Ok(Some(follow_reply::Result::NotLeaderHint(_)) | None) => {
                Err(failure(ExchangeOutcome::Unconfirmed, "the keeper hears no leader"))
            }
            Err(error) => Err(failure(ExchangeOutcome::Failed, &error.to_string())),
        }
    }
}

/// Failures of the keepers whose answers were overdue when another one answered.
fn unresponsive(
    sent: &SentRequests,
    failures: &[Failure],
    answer: &Answer,
    timeout_ms: u64,
) -> Vec<Failure> {
    let now_ms = now_ms();
    let has_finished = |keeper: &HostId| {
        *keeper == answer.keeper || failures.iter().any(|failure| failure.keeper == *keeper)
    };
    let is_overdue = |requested_ms: u64| now_ms >= requested_ms + timeout_ms;
    let unresponsive = sent
        .iter()
        .filter(|(keeper, requested_ms)| !has_finished(keeper) && is_overdue(*requested_ms));
    let failure = |(keeper, requested_ms): &(HostId, u64)| Failure {
        keeper: keeper.clone(),
        requested_ms: *requested_ms,
        outcome: ExchangeOutcome::Failed,
        cause: "no answer in time, and another keeper answered".to_owned(),
    };
    unresponsive.map(failure).collect()
}
