//! Planned stop of a keeper: the leader first removes its vote, if another keeper can vote instead.

use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::HostId;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::logging::log_target;

/// Longest wait of a stopping keeper for its removal from the voters: several times the duration of
/// an election and two membership changes. After it the keeper stops anyway, and the leader removes
/// it once it no longer responds.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two requests to the leader: a membership change is committed within a few
/// milliseconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the keepers no longer need this keeper's vote.
///
/// A voter that terminates unannounced stays a voter for another 1.5 s. If a sixth voter is added in
/// its place during that time, the quorum is four of six; losing two disks then would leave
/// three voters, one fewer than the quorum.
pub(crate) async fn release_vote(keepers: &KeeperClient, local: &HostId) {
    keepers.start_shutdown();
    let started = Instant::now();
    let outcome = loop {
        let remaining = STOP_TIMEOUT.saturating_sub(started.elapsed());
        match keepers.request_stop(local, remaining).await {
            Ok(true) => break "may stop",
            Ok(false) => clayplank_clock::sleep(REQUEST_INTERVAL.min(remaining)).await,
            Err(error) => {
                log::warn!(target: log_target::KEEPER, cause:% = error;
                    "Could not reach the leader to release this keeper's vote; stops as a voter");
                break "not answered";
            }
        }
    };
    log::info!(target: log_target::KEEPER,
        outcome = outcome, waited_ms = started.elapsed().as_millis() as u64;
        "Stopped waiting for this keeper's vote to be released");
}
