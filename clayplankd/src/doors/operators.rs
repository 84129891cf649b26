//! The operators' endpoint: reads and changes settings, and shows the state of the system.

use std::sync::Arc;
use std::time::Duration;

use clayplank_settings::{ClientAccount, Faults, KeyDigest, Operator, Template, parse_value};
use clayplank_state::{CommandBody, Reply, SettingChange, SettingKey, SettingValue, Versioned};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use xtra::Address;

use crate::doors::callers::health;
use crate::doors::replies::{Body, Problem, json as json_response, text};
use crate::doors::serve::{bearer_key, read_body};
use crate::keepers::keeper_client::KeeperClient;
use crate::owners::owner::{Owner, PoolTotals};
use crate::process::host_state::Host;
use crate::process::logging::log_target;
use crate::process::suspension::suspension_metrics;

const MAX_BODY_BYTES: u64 = 1 << 20;

/// Time-out of reading the body of a change.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_CHANGE_ID_BYTES: usize = 128;

/// Body of a change of a setting.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    change_id: String,
    expected_version: u64,
    #[serde(default)]
    value: Option<Value>,
}

/// State of the operators' endpoint.
#[derive(Clone)]
pub(crate) struct OperatorsEndpoint {
    pub(crate) host: Arc<Host>,
    pub(crate) owner: Option<Address<Owner>>,
}

/// Answers a request of an operator.
pub(crate) async fn answer(
    endpoint: OperatorsEndpoint,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => return health(&endpoint.host),
        (&Method::GET, "/metrics") => {
            let metrics = endpoint.host.metrics.to_text() + &suspension_metrics();
            return text(StatusCode::OK, metrics);
        }
        _ => {}
    }
    match endpoint.run(request).await {
        Ok(response) => response,
        Err(problem) => problem.to_response(),
    }
}

impl OperatorsEndpoint {
    async fn run(&self, request: Request<Incoming>) -> Result<Response<Body>, Problem> {
        let operator = self.identify(&request).ok_or(Problem::Unauthorized)?.clone();
        let path = request.uri().path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::GET, ["settings", kind]) => self.list(&operator, kind),
            (Method::GET, ["settings", kind, name]) => self.get(&operator, kind, name),
            (Method::PUT, ["settings", kind, name]) => {
                self.change(&operator, kind, name, request, true).await
            }
            (Method::DELETE, ["settings", kind, name]) => {
                self.change(&operator, kind, name, request, false).await
            }
            (Method::GET, ["hosts"]) => Ok(self.hosts()),
            (Method::GET, ["upstreams"]) => self.upstreams().await,
            (Method::GET, ["keepers"]) => self.keepers().await,
            (Method::GET, ["status"]) => self.status().await,
            (Method::GET, ["latency"]) => {
                Ok(json_response(StatusCode::OK, &self.host.metrics.series()))
            }
            _ => Err(Problem::NotFound(format!("nothing is served under {path}"))),
        }
    }

    fn identify(&self, request: &Request<Incoming>) -> Option<&Operator> {
        let digest = KeyDigest::of(bearer_key(request)?);
        self.host.settings.operators.iter().find(|operator| operator.key_sha256.matches(&digest))
    }

    /// Lists the settings of the operator's partner; those of other partners are not shown.
    fn list(&self, operator: &Operator, kind: &str) -> Result<Response<Body>, Problem> {
        let view = self.host.replicated_settings.view();
        let mut items = Vec::new();
        for (key, item) in view.iter().filter(|(key, _)| *key.partner() == operator.partner) {
            if kind_of(key) == parse_kind(kind)? && item.value.is_some() {
                items.push(item_json(key, item));
            }
        }
        Ok(json_response(StatusCode::OK, &items))
    }

    fn get(&self, operator: &Operator, kind: &str, name: &str) -> Result<Response<Body>, Problem> {
        let requested_key = setting_key(operator, kind, name)?;
        let view = self.host.replicated_settings.view();
        match view.iter().find(|(key, item)| **key == requested_key && item.value.is_some()) {
            Some((key, item)) => Ok(json_response(StatusCode::OK, &item_json(key, item))),
            None => Err(Problem::NotFound(format!("there is no setting {kind}/{name}"))),
        }
    }

    async fn change(
        &self,
        operator: &Operator,
        kind: &str,
        name: &str,
        request: Request<Incoming>,
        is_put: bool,
    ) -> Result<Response<Body>, Problem> {
        let key = setting_key(operator, kind, name)?;
        let bytes = read_body(request.into_body(), MAX_BODY_BYTES, READ_TIMEOUT).await?;
        let body: ChangeBody = serde_json::from_slice(&bytes)
            .map_err(|error| Problem::Malformed(error.to_string()))?;
        if body.change_id.is_empty() || body.change_id.len() > MAX_CHANGE_ID_BYTES {
            return Err(Problem::Malformed(format!(
                "/change_id: must have 1 to {MAX_CHANGE_ID_BYTES} characters"
            )));
        }
        let value = match (is_put, body.value) {
            (true, Some(value)) => Some(parse_setting(&key, value)?),
            (true, None) => {
                return Err(Problem::Malformed("/value: must be the new value".to_owned()));
            }
            (false, _) => None,
        };
        let change = SettingChange {
            change_id: body.change_id,
            partner: operator.partner.clone(),
            operator: operator.name.clone(),
            key,
            expected_version: body.expected_version,
            value,
        };
        self.execute(change).await
    }

    async fn execute(&self, change: SettingChange) -> Result<Response<Body>, Problem> {
        let (operator, key) = (change.operator.clone(), change.key.clone());
        let timeout = KeeperClient::default_timeout(self.host.settings.timing.election_ms);
        let reply = self.host.keepers.execute(&CommandBody::Change(change), timeout).await;
        match reply {
            Ok(Reply::Changed { version }) => {
                log::info!(target: log_target::OPERATORS, "{operator} changed {key:?} to version {version}.");
                Ok(json_response(StatusCode::OK, &json!({ "version": version })))
            }
            Ok(Reply::Conflict { current }) => {
                let conflict = json!({ "error": { "type": "conflict" }, "current": item_json(&key, &current) });
                Ok(json_response(StatusCode::CONFLICT, &conflict))
            }
            Ok(Reply::Forbidden) => {
                Err(Problem::Forbidden("the setting is another partner's".to_owned()))
            }
            Ok(Reply::Unfit { path, message }) => {
                Err(Problem::Malformed(format!("{path}: {message}")))
            }
            Ok(_) => Err(Problem::Failed("the keepers gave an answer of another kind".to_owned())),
            // The change is idempotent: its id may be sent again.
            Err(error) => Err(Problem::Unknown(error.to_string())),
        }
    }

    fn hosts(&self) -> Response<Body> {
        let statuses = self.host.members.statuses();
        let hosts: Vec<_> = statuses
            .iter()
            .map(|(host, status)| json!({ "host": host, "status": status }))
            .collect();
        json_response(StatusCode::OK, &hosts)
    }

    /// Lists engines and services, and the totals of the pools that this host owns.
    async fn upstreams(&self) -> Result<Response<Body>, Problem> {
        let settings = &self.host.settings;
        let upstreams: Vec<_> = settings
            .upstreams
            .iter()
            .map(|upstream| json!({ "id": upstream.id(), "leaving": self.host.upstreams.is_leaving(upstream.id()) }))
            .collect();
        let totals = match &self.owner {
            Some(owner) => owner.send(PoolTotals).await.unwrap_or_default(),
            None => Vec::new(),
        };
        let pools: Vec<_> = totals
            .iter()
            .map(|(pool, totals)| {
                json!({
                    "pool": pool,
                    "waiting": totals.waiting,
                    "grants": totals.grants,
                    "granted_tokens": totals.granted_tokens,
                    "foreign_tokens": totals.foreign_tokens,
                    "memory_tokens": totals.memory_tokens,
                    "short_wait_ms": totals.short_wait_ms,
                })
            })
            .collect();
        Ok(json_response(StatusCode::OK, &json!({ "upstreams": upstreams, "owned_pools": pools })))
    }

    async fn keepers(&self) -> Result<Response<Body>, Problem> {
        let timeout = KeeperClient::default_timeout(self.host.settings.timing.election_ms);
        let json = self.host.keepers.inspect(timeout).await;
        let value: Value = json
            .ok()
            .and_then(|json| serde_json::from_str(&json).ok())
            .ok_or_else(|| Problem::Failed("no keeper leads".to_owned()))?;
        Ok(json_response(StatusCode::OK, &value))
    }

    async fn status(&self) -> Result<Response<Body>, Problem> {
        let timeout = KeeperClient::default_timeout(self.host.settings.timing.election_ms);
        let keepers = self.host.keepers.inspect(timeout).await.ok();
        let keepers: Option<Value> = keepers.and_then(|json| serde_json::from_str(&json).ok());
        let status = json!({
            "host": self.host.settings.host,
            "revision": self.host.replicated_settings.view().revision(),
            "settings_confirmed": self.host.replicated_settings.is_confirmed(),
            "leaving": self.host.progress.is_leaving(),
            "in_progress": self.host.progress.count(),
            "in_force": keepers.as_ref().map(|keepers| keepers["in_force"].clone()),
            "newest_revision": keepers.as_ref().map(|keepers| keepers["counts"]["revision"].clone()),
        });
        Ok(json_response(StatusCode::OK, &status))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Template,
    Account,
}

fn parse_kind(kind: &str) -> Result<Kind, Problem> {
    match kind {
        "templates" => Ok(Kind::Template),
        "accounts" => Ok(Kind::Account),
        _ => Err(Problem::NotFound(format!("there are `templates` and `accounts`, not `{kind}`"))),
    }
}

fn kind_of(key: &SettingKey) -> Kind {
    match key {
        SettingKey::Template { .. } => Kind::Template,
        SettingKey::Account { .. } => Kind::Account,
    }
}

fn setting_key(operator: &Operator, kind: &str, name: &str) -> Result<SettingKey, Problem> {
    Ok(match parse_kind(kind)? {
        Kind::Template => SettingKey::template(&operator.partner, name),
        Kind::Account => SettingKey::account(&operator.partner, name),
    })
}

fn parse_setting(key: &SettingKey, value: Value) -> Result<SettingValue, Problem> {
    let malformed = |faults: Faults| Problem::Malformed(faults.to_string());
    Ok(match kind_of(key) {
        Kind::Template => {
            SettingValue::Template(parse_value::<Template>(value).map_err(malformed)?)
        }
        Kind::Account => {
            SettingValue::Account(parse_value::<ClientAccount>(value).map_err(malformed)?)
        }
    })
}

fn item_json(key: &SettingKey, item: &Versioned) -> Value {
    let (SettingKey::Template { partner, name } | SettingKey::Account { partner, name }) = key;
    let value = match &item.value {
        Some(SettingValue::Template(template)) => json!(template),
        Some(SettingValue::Account(account)) => json!(account),
        None => Value::Null,
    };
    json!({ "partner": partner, "name": name, "version": item.version, "value": value })
}
