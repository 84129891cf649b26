//! What keepers of seeded hosts hold for operators: the serving plan, requests that are held back,
//! and cordons.

use std::net::SocketAddr;
use std::path::Path;

use clayplank_routes::ServingPlan;
use clayplank_settings::parse;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::client::{Answer, ClientError, send};
use crate::commands::{CommandError, Done, check, read};
use crate::options::{CordonCommand, HeldBackCommand, Options, PlanCommand};
use crate::output::print;

const PLAN_PATH: &str = "/v1/plan";
const HELD_BACK_PATH: &str = "/v1/held-back";
const CORDONS_PATH: &str = "/v1/cordons";

/// Carries out a task on the plan.
pub(crate) async fn run_plan(options: &Options, command: &PlanCommand) -> Done<()> {
    let value = match command {
        PlanCommand::Get => ask(&options.hosts, Method::GET, PLAN_PATH, None).await?,
        PlanCommand::Put { file } => put(options, file).await?,
    };
    print(&value, options.json);
    Ok(())
}

/// Carries out a task on requests that are held back.
pub(crate) async fn run_held_back(options: &Options, command: &HeldBackCommand) -> Done<()> {
    let value = match command {
        HeldBackCommand::List => ask(&options.hosts, Method::GET, HELD_BACK_PATH, None).await?,
        HeldBackCommand::Lift { fingerprint } => {
            let path = format!("{HELD_BACK_PATH}/{fingerprint}");
            ask(&options.hosts, Method::DELETE, &path, None).await?
        }
    };
    print(&value, options.json);
    Ok(())
}

/// Carries out a task on data centres whose upstreams get nothing.
pub(crate) async fn run_cordon(options: &Options, command: &CordonCommand) -> Done<()> {
    let (method, path) = match command {
        CordonCommand::List => (Method::GET, CORDONS_PATH.to_owned()),
        CordonCommand::Set { data_centre } => (Method::PUT, cordon_path(data_centre)),
        CordonCommand::Lift { data_centre } => (Method::DELETE, cordon_path(data_centre)),
    };
    let value = ask(&options.hosts, method, &path, None).await?;
    print(&value, options.json);
    Ok(())
}

fn cordon_path(data_centre: &str) -> String {
    format!("{CORDONS_PATH}/{data_centre}")
}

async fn put(options: &Options, file: &Path) -> Done<Value> {
    let text = read(file)?;
    let plan = parse::<ServingPlan>(&text)
        .map_err(|faults| CommandError::Faults(file.to_owned(), faults))?;
    let body = serde_json::from_str(&text).map_err(CommandError::NotJson)?;
    ask(&options.hosts, Method::PUT, PLAN_PATH, Some(&body)).await?;
    Ok(json!({ "version": plan.version }))
}

/// Asks one keeper after the other until one gives a clear answer. The same call may be made
/// twice: the second time it changes nothing.
async fn ask(
    keepers: &[SocketAddr],
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Done<Value> {
    let mut last = CommandError::NoHost;
    for &keeper in keepers {
        match send(keeper, None, method.clone(), path, body).await {
            Ok(answer) if is_clear(&answer) => return Ok(check(answer)?),
            Ok(Answer { status, value }) => last = CommandError::Refused { status, value },
            Err(error @ (ClientError::Connect(..) | ClientError::NoAnswer(_))) => {
                last = CommandError::Client(error);
            }
            Err(error @ ClientError::NotJson(_)) => return Err(CommandError::Client(error).into()),
        }
    }
    Err(last.into())
}

fn is_clear(answer: &Answer) -> bool {
    answer.status != StatusCode::SERVICE_UNAVAILABLE
}
