//! Executes the command that was given on the command line.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clayplank_routes::ServingPlan;
use clayplank_settings::{
    ClientAccount, Faults, HostSettings, KeyDigest, SeededSettings, Template, parse,
};
use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::client::{Answer, ClientError, send};
use crate::explain::{Event, explain, timeline};
use crate::latency::{LatencyError, merge};
use crate::log_line::read_logs;
use crate::losses::summarize_losses;
use crate::options::{Command, FileKind, Guard, Options, SettingCommand};
use crate::output::{print, print_latency, print_losses, print_timeline};
use crate::seeded::{run_cordon, run_held_back, run_plan};

/// Environment variable that may hold the operator's key.
const KEY_VARIABLE: &str = "CLAYPLANK_KEY";

/// Reason for which a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("name a host with --host")]
    NoHost,
    #[error("give the operator's key with --key-file or in CLAYPLANK_KEY")]
    NoKey,
    #[error("cannot read {0}")]
    Read(PathBuf, #[source] std::io::Error),
    #[error("{file}:\n{faults}", file = .0.display(), faults = .1)]
    Faults(PathBuf, Faults),
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error(transparent)]
    Latency(#[from] LatencyError),
    #[error("somebody else changed the setting; it is now: {0}")]
    Conflict(Value),
    #[error("not found: {0}")]
    NotFound(Value),
    #[error("not allowed: {0}")]
    NotAllowed(Value),
    #[error("the host answered {status}: {value}")]
    Refused { status: StatusCode, value: Value },
}

impl CommandError {
    /// Returns the exit code, as listed in the manual.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoHost | Self::NoKey => 2,
            Self::Conflict(_) => 3,
            Self::NotFound(_) => 4,
            Self::NotAllowed(_) => 5,
            Self::Faults(..) | Self::NotJson(_) => 78,
            Self::Read(..) | Self::Client(_) | Self::Latency(_) | Self::Refused { .. } => 1,
        }
    }
}

pub(crate) type CommandResult<T> = Result<T, Report<CommandError>>;

/// Client of the operators' API of one host, with the operator's key.
struct HostClient {
    host: SocketAddr,
    key: String,
}

impl HostClient {
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> CommandResult<Value> {
        let answer = send(self.host, Some(&self.key), method, path, body)
            .await
            .map_err(CommandError::Client)?;
        Ok(check(answer)?)
    }
}

pub(crate) fn check(Answer { status, value }: Answer) -> Result<Value, CommandError> {
    match status {
        StatusCode::OK => Ok(value),
        StatusCode::CONFLICT => Err(CommandError::Conflict(value["current"].clone())),
        StatusCode::NOT_FOUND => Err(CommandError::NotFound(value["error"]["message"].clone())),
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            Err(CommandError::NotAllowed(value["error"]["message"].clone()))
        }
        status => Err(CommandError::Refused { status, value }),
    }
}

/// Executes the command of a command line.
pub(crate) async fn run(options: &Options) -> CommandResult<()> {
    match &options.command {
        Command::Check { kind, file } => check_file(*kind, file),
        Command::Digest => print_digest(),
        Command::Template(command) => run_setting(options, "templates", command).await,
        Command::Account(command) => run_setting(options, "accounts", command).await,
        Command::Plan(command) => run_plan(options, command).await,
        Command::HeldBack(command) => run_held_back(options, command).await,
        Command::Cordon(command) => run_cordon(options, command).await,
        Command::Explain { request, files } => {
            print_events(&explain(request, &read_logs(files)?), request, options.json)
        }
        Command::Timeline { subject, files } => {
            print_events(&timeline(subject, &read_logs(files)?), &subject.to_string(), options.json)
        }
        Command::Losses { rows, files } => {
            print_losses(&summarize_losses(&read_logs(files)?), *rows, options.json);
            Ok(())
        }
        Command::Upstreams => show(options, "/upstreams").await,
        Command::Hosts => show(options, "/hosts").await,
        Command::Keepers => show(options, "/keepers").await,
        Command::Status => show(options, "/status").await,
        Command::Latency => show_latency(options).await,
    }
}

pub(crate) fn read_file(file: &Path) -> CommandResult<String> {
    Ok(std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read(file.to_owned(), source))?)
}

/// Prints the events; reports "not found" if there are none.
fn print_events(events: &[Event], subject: &str, as_json: bool) -> CommandResult<()> {
    if events.is_empty() {
        return Err(CommandError::NotFound(Value::from(subject)).into());
    }
    print_timeline(events, as_json);
    Ok(())
}

fn check_file(kind: FileKind, file: &Path) -> CommandResult<()> {
    let text = read_file(file)?;
    let checked = match kind {
        FileKind::Host => parse::<HostSettings>(&text).map(drop),
        FileKind::Seeded => parse::<SeededSettings>(&text).map(drop),
        FileKind::Plan => parse::<ServingPlan>(&text).map(drop),
        FileKind::Template => parse::<Template>(&text).map(drop),
        FileKind::Account => parse::<ClientAccount>(&text).map(drop),
    };
    Ok(checked.map_err(|faults| CommandError::Faults(file.to_owned(), faults))?)
}

fn print_digest() -> CommandResult<()> {
    let mut key = String::new();
    let read = std::io::stdin().read_to_string(&mut key);
    read.map_err(|source| CommandError::Read(PathBuf::from("standard input"), source))?;
    print(&Value::from(String::from(KeyDigest::of(key.trim()))), false);
    Ok(())
}

fn read_key(options: &Options) -> CommandResult<String> {
    let text = match &options.key_file {
        Some(file) => read_file(file)?,
        None => std::env::var(KEY_VARIABLE).change_context(CommandError::NoKey)?,
    };
    Ok(text.trim().to_owned())
}

fn host_client(options: &Options) -> CommandResult<HostClient> {
    let host = *options.hosts.first().ok_or(CommandError::NoHost)?;
    Ok(HostClient { host, key: read_key(options)? })
}

async fn show(options: &Options, path: &str) -> CommandResult<()> {
    let value = host_client(options)?.request(Method::GET, path, None).await?;
    print(&value, options.json);
    Ok(())
}

async fn run_setting(options: &Options, kind: &str, command: &SettingCommand) -> CommandResult<()> {
    let client = host_client(options)?;
    let value = match command {
        SettingCommand::List => {
            client.request(Method::GET, &format!("/settings/{kind}"), None).await?
        }
        SettingCommand::Get { name } => {
            client.request(Method::GET, &format!("/settings/{kind}/{name}"), None).await?
        }
        SettingCommand::Set { guard, name, file } => {
            let value: Value =
                serde_json::from_str(&read_file(file)?).map_err(CommandError::NotJson)?;
            change(&client, kind, name, guard, Some(value)).await?
        }
        SettingCommand::Delete { guard, name } => change(&client, kind, name, guard, None).await?,
    };
    print(&value, options.json);
    Ok(())
}

/// Sends a change, and sends it once more with the same id if the outcome of the first is unknown.
async fn change(
    client: &HostClient,
    kind: &str,
    name: &str,
    guard: &Guard,
    value: Option<Value>,
) -> CommandResult<Value> {
    let path = format!("/settings/{kind}/{name}");
    let from_version = match guard.from_version {
        Some(version) => version,
        None => current_version(client, &path).await?,
    };
    let change_id =
        guard.change_id.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let method = if value.is_some() { Method::PUT } else { Method::DELETE };
    let body = json!({ "change_id": change_id, "expected_version": from_version, "value": value });
    let first = client.request(method.clone(), &path, Some(&body)).await;
    let needs_resend =
        first.as_ref().err().is_some_and(|report| is_outcome_unknown(report.current_context()));
    if needs_resend { client.request(method, &path, Some(&body)).await } else { first }
}

/// Whether the host may or may not have applied the change that failed with this error.
fn is_outcome_unknown(error: &CommandError) -> bool {
    matches!(
        error,
        CommandError::Client(ClientError::NoAnswer(_))
            | CommandError::Refused { status: StatusCode::GATEWAY_TIMEOUT, .. }
    )
}

async fn current_version(client: &HostClient, path: &str) -> CommandResult<u64> {
    match client.request(Method::GET, path, None).await {
        Ok(value) => Ok(value["version"].as_u64().unwrap_or(0)),
        Err(report) => match report.current_context() {
            CommandError::NotFound(_) => Ok(0),
            _ => Err(report),
        },
    }
}

async fn show_latency(options: &Options) -> CommandResult<()> {
    let key = read_key(options)?;
    let mut answers = Vec::new();
    for &host in &options.hosts {
        let client = HostClient { host, key: key.clone() };
        answers.push(client.request(Method::GET, "/latency", None).await?);
    }
    let rows = merge(&answers).map_err(CommandError::Latency)?;
    print_latency(&rows, options.json);
    Ok(())
}
