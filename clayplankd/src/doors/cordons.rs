//! An operator empties a data centre, and takes that back.

use bytes::Bytes;
use clayplank_forward::now_ms;
use clayplank_state::{Body, Reply};
use clayplank_types::DataCentre;
use http::StatusCode;

use crate::doors::control_door::{Answer, ControlDoor, PATIENCE, empty, fault, json};
use crate::process::logging::part;

impl ControlDoor {
    /// The data centres that a quorum confirms to be under a cordon.
    pub(super) async fn read_cordoned(&self) -> Answer {
        match self.confirmed("What is under a cordon").await {
            Ok(delta) => {
                let cordoned = delta.cordoned.unwrap_or_default();
                json(StatusCode::OK, Bytes::from(serde_json::json!(cordoned).to_string()))
            }
            Err(answer) => *answer,
        }
    }

    /// Acknowledges a cordon once it lasts: hosts in touch learn it with the next answer of the leader,
    /// and one that is not refuses requests when its lease ends.
    pub(super) async fn cordon(&self, data_centre: DataCentre) -> Answer {
        if !self.is_known(&data_centre) {
            return fault(StatusCode::NOT_FOUND, "there is no such data centre");
        }
        self.order_cordon(&data_centre, &Body::Cordon(data_centre.clone()), "cordoned").await
    }

    /// Takes a cordon off. A name that is not known has none, unless the settings have changed since.
    pub(super) async fn uncordon(&self, data_centre: DataCentre) -> Answer {
        self.order_cordon(&data_centre, &Body::Uncordon(data_centre.clone()), "uncordoned").await
    }

    async fn order_cordon(
        &self,
        data_centre: &DataCentre,
        order: &Body,
        done: &'static str,
    ) -> Answer {
        let began_ms = now_ms();
        let reply = self.keepers.execute(order, PATIENCE).await;
        let (answer, outcome) = match &reply {
            Ok(Reply::Cordoned { has_changed: true }) => (empty(StatusCode::OK), done),
            Ok(Reply::Cordoned { has_changed: false }) => (empty(StatusCode::OK), "unchanged"),
            Ok(_) => (fault(StatusCode::INTERNAL_SERVER_ERROR, "an unfit reply"), "unfit"),
            Err(_) => (fault(StatusCode::SERVICE_UNAVAILABLE, "no quorum in time"), "no_quorum"),
        };
        log::info!(target: part::KEEPER,
            data_centre = data_centre.as_str(), order = done, outcome = outcome,
            took_ms = now_ms() - began_ms;
            "An operator ordered a cordon");
        answer
    }

    fn is_known(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(data_centre)
    }
}
