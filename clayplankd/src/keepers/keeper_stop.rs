//! A planned stop of a keeper: its vote is given up first, if another one votes in its place.

use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::HostId;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::logging::part;

/// How long a keeper that stops waits to be taken out: an election, and the change of two
/// members, a few times over. It stops without it then; the leader notices its silence.
const STOP_PATIENCE: Duration = Duration::from_secs(2);

/// Between two questions: a change of members is committed within a few milliseconds.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// Waits until this keeper's vote is not needed.
///
/// A voter that just ends is missed for a second and a half before it is taken out: with a sixth
/// one in its place, four of six would have to decide meanwhile, and two disks lost right then
/// would leave three.
pub(crate) async fn give_up_vote(keepers: &KeeperClient, own: &HostId) {
    let began = Instant::now();
    let outcome = loop {
        let left = STOP_PATIENCE.saturating_sub(began.elapsed());
        match keepers.ask_to_stop(own, left).await {
            Ok(true) => break "may stop",
            Ok(false) => clayplank_clock::sleep(ASK_EVERY.min(left)).await,
            Err(error) => {
                log::warn!(target: part::KEEPER, cause:% = error; "Stops without being taken out");
                break "not answered";
            }
        }
    };
    log::info!(target: part::KEEPER,
        outcome = outcome, waited_ms = began.elapsed().as_millis() as u64;
        "Gave up its vote");
}
