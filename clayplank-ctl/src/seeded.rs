//! Commands for deployments with bootstrap addresses, sent to their keepers: the serving plan,
//! quarantined ("held back") requests, and cordons.

use std::net::SocketAddr;
use std::path::Path;

use clayplank_routes::ServingPlan;
use clayplank_settings::parse;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::client::{Answer, ClientError, send};
use crate::commands::{CommandError, CommandResult, check, read_file};
use crate::options::{CordonCommand, HeldBackCommand, Options, PlanCommand};
use crate::output::print;

const PLAN_PATH: &str = "/v1/plan";
const HELD_BACK_PATH: &str = "/v1/held-back";
const CORDONS_PATH: &str = "/v1/cordons";

/// Executes a command on the serving plan.
pub(crate) async fn run_plan(options: &Options, command: &PlanCommand) -> CommandResult<()> {
    let value = match command {
        PlanCommand::Get => request_any(&options.hosts, Method::GET, PLAN_PATH, None).await?,
        PlanCommand::Put { file } => put_plan(options, file).await?,
    };
    print(&value, options.json);
    Ok(())
}

/// Executes a command on quarantined requests.
pub(crate) async fn run_held_back(
    options: &Options,
    command: &HeldBackCommand,
) -> CommandResult<()> {
    let value = match command {
        HeldBackCommand::List => {
            request_any(&options.hosts, Method::GET, HELD_BACK_PATH, None).await?
        }
        HeldBackCommand::Lift { fingerprint } => {
            let path = format!("{HELD_BACK_PATH}/{fingerprint}");
            request_any(&options.hosts, Method::DELETE, &path, None).await?
        }
    };
    print(&value, options.json);
    Ok(())
}

/// Executes a command on cordons, under which the upstreams of a data centre get no requests.
pub(crate) async fn run_cordon(options: &Options, command: &CordonCommand) -> CommandResult<()> {
    let (method, path) = match command {
        CordonCommand::List => (Method::GET, CORDONS_PATH.to_owned()),
        CordonCommand::Set { data_centre } => (Method::PUT, cordon_path(data_centre)),
        CordonCommand::Lift { data_centre } => (Method::DELETE, cordon_path(data_centre)),
    };
    let value = request_any(&options.hosts, method, &path, None).await?;
    print(&value, options.json);
    Ok(())
}

fn cordon_path(data_centre: &str) -> String {
    format!("{CORDONS_PATH}/{data_centre}")
}

async fn put_plan(options: &Options, file: &Path) -> CommandResult<Value> {
    let text = read_file(file)?;
    let plan = parse::<ServingPlan>(&text)
        .map_err(|faults| CommandError::Faults(file.to_owned(), faults))?;
    let body = serde_json::from_str(&text).map_err(CommandError::NotJson)?;
    request_any(&options.hosts, Method::PUT, PLAN_PATH, Some(&body)).await?;
    Ok(json!({ "version": plan.version }))
}

/// Sends a request to one keeper after another until one answers with a status other than 503.
/// A keeper without an answer may have executed the request; that does no harm, as all these
/// requests are idempotent.
async fn request_any(
    keepers: &[SocketAddr],
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> CommandResult<Value> {
    let mut last_error = CommandError::NoHost;
    for &keeper in keepers {
        match send(keeper, None, method.clone(), path, body).await {
            Ok(answer) if is_conclusive(&answer) => return Ok(check(answer)?),
            Ok(Answer { status, value }) => last_error = CommandError::Refused { status, value },
            Err(error @ (ClientError::Connect(..) | ClientError::NoAnswer(_))) => {
                last_error = CommandError::Client(error);
            }
            Err(error @ (ClientError::NotJson(_) | ClientError::TooLong(_))) => {
                return Err(CommandError::Client(error).into());
            }
        }
    }
    Err(last_error.into())
}

fn is_conclusive(answer: &Answer) -> bool {
    answer.status != StatusCode::SERVICE_UNAVAILABLE
}
