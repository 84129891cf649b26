//! Operator calls that cordon a data centre, lift a cordon, and list cordons.

use bytes::Bytes;
use clayplank_forward::now_ms;
use clayplank_state::{CommandBody, Reply};
use clayplank_types::DataCentre;
use http::StatusCode;

use crate::doors::control_endpoint::{Answer, ControlEndpoint, QUORUM_TIMEOUT, empty, fault, json};
use crate::process::logging::log_target;

impl ControlEndpoint {
    /// Answers with the data centres under a cordon, as confirmed by a quorum.
    pub(super) async fn read_cordoned(&self) -> Answer {
        match self.confirmed("List of cordoned data centres").await {
            Ok(delta) => {
                let cordoned = delta.cordoned.unwrap_or_default();
                json(StatusCode::OK, Bytes::from(serde_json::json!(cordoned).to_string()))
            }
            Err(answer) => *answer,
        }
    }

    /// Cordons a data centre, and acknowledges it once the cordon is committed. Connected hosts
    /// receive it with the leader's next answer; a disconnected host refuses requests when its lease
    /// ends.
    pub(super) async fn cordon(&self, data_centre: DataCentre) -> Answer {
        if !self.is_known(&data_centre) {
            return fault(StatusCode::NOT_FOUND, "there is no such data centre");
        }
        self.execute_cordon(&data_centre, &CommandBody::Cordon(data_centre.clone()), "cordoned")
            .await
    }

    /// Lifts a cordon. The name is not checked: an unknown data centre has no cordon, unless the
    /// settings have changed since it was set.
    pub(super) async fn uncordon(&self, data_centre: DataCentre) -> Answer {
        self.execute_cordon(&data_centre, &CommandBody::Uncordon(data_centre.clone()), "uncordoned")
            .await
    }

    async fn execute_cordon(
        &self,
        data_centre: &DataCentre,
        command: &CommandBody,
        done: &'static str,
    ) -> Answer {
        let started_ms = now_ms();
        let reply = self.keepers.execute(command, QUORUM_TIMEOUT).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Cordoned { has_changed: true }) => (empty(StatusCode::OK), done),
            Ok(Reply::Cordoned { has_changed: false }) => (empty(StatusCode::OK), "unchanged"),
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: log_target::KEEPER,
            data_centre = data_centre.as_str(), order = done, outcome = outcome,
            took_ms = now_ms() - started_ms;
            "An operator ordered a cordon");
        answer
    }

    fn is_known(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(data_centre)
    }
}
