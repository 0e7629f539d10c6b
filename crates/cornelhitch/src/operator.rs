//! The command-line tool for operators: a table of commands, and the requests that they send to a
//! host.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::fleet::FleetSettings;
use getopts::{Matches, Options};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Interval between checks whether settings are in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of `apply --wait`.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Usage text at the top of `--help`, before the list of commands.
const USAGE: &str = "Usage: cornelhitch COMMAND [arguments] [options]

Operates a cornelhitch cluster through any of its hosts.

Exit status: 0 on success, 1 if the request was refused, 2 if the arguments or the
settings are invalid, 3 if the host could not be reached.

Commands:";

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The options are invalid.
    #[snafu(display("{source}; see --help"))]
    InvalidOptions {
        /// The error of the option parser.
        source: getopts::Fail,
    },
    /// The command, its arguments or an option's value are invalid.
    #[snafu(display("{detail}; see --help"))]
    Usage {
        /// What was expected and what was given.
        detail: String,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The fleet settings file is invalid.
    #[snafu(display("{text}"))]
    InvalidSettings {
        /// One line per fault: file, line, column and message.
        text: String,
    },
    /// The host cannot be reached.
    #[snafu(display("{host} cannot be reached: {detail}"))]
    Unreachable {
        /// Address of the host.
        host: SocketAddr,
        /// Why the host cannot be reached.
        detail: String,
    },
    /// The host refused the request, or settings were not in force in time.
    #[snafu(display("{status}: {text}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The body of the response, or the reason for giving up.
        text: String,
    },
}

impl Error {
    /// Returns the exit status for the error.
    #[must_use]
    pub fn status(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Unreachable { .. } => 3,
            _ => 2,
        }
    }
}

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    /// Validates a settings file locally.
    Check,
    /// Submits a settings file.
    Apply,
    /// Prints the text of the settings in force.
    Show,
    /// Requests a path from the host and prints the response; each `{}` stands for an argument.
    Call(HttpMethod, &'static str),
}

/// The HTTP method of a request; [`Method`] cannot be used in a constant table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HttpMethod {
    Get,
    Post,
}

/// A command of the tool.
struct CommandSpec {
    name: &'static str,
    /// Names of its positional arguments, for the help text.
    arguments: &'static [&'static str],
    help: &'static str,
    operation: Operation,
}

/// All commands; `{}` in a path stands for the next argument.
#[rustfmt::skip]
const COMMANDS: &[CommandSpec] = &[
    CommandSpec { name: "check", arguments: &["FILE"], help: "check a fleet settings file and list all errors", operation: Operation::Check },
    CommandSpec { name: "apply", arguments: &["FILE"], help: "put a fleet settings file into force", operation: Operation::Apply },
    CommandSpec { name: "show", arguments: &[], help: "print the settings in force", operation: Operation::Show },
    CommandSpec { name: "status", arguments: &[], help: "print the leader's state", operation: Operation::Call(HttpMethod::Get, "/status") },
    CommandSpec { name: "dump", arguments: &[], help: "print the state of the host", operation: Operation::Call(HttpMethod::Get, "/dump") },
    CommandSpec { name: "explain", arguments: &["MODEL"], help: "explain where a model is placed and why", operation: Operation::Call(HttpMethod::Get, "/explain?model={}") },
    CommandSpec { name: "drain", arguments: &[], help: "shut the host down gracefully", operation: Operation::Call(HttpMethod::Post, "/drain") },
    CommandSpec { name: "add", arguments: &["HOST", "INCARNATION"], help: "admit a host to the voters' log as a learner", operation: Operation::Call(HttpMethod::Post, "/members?change=add&host={}&incarnation={}") },
    CommandSpec { name: "promote", arguments: &["HOST"], help: "make a learner a voter", operation: Operation::Call(HttpMethod::Post, "/members?change=promote&host={}") },
    CommandSpec { name: "remove", arguments: &["HOST"], help: "remove a voter or learner", operation: Operation::Call(HttpMethod::Post, "/members?change=remove&host={}") },
    CommandSpec { name: "replace", arguments: &["OLD", "HOST", "INCARNATION"], help: "replace a voter by a host with the given disk incarnation", operation: Operation::Call(HttpMethod::Post, "/members?change=replace&old={}&host={}&incarnation={}") },
    CommandSpec { name: "dismiss", arguments: &["TARGET", "INCARNATION"], help: "attest that a target's machine no longer runs, which frees its memory", operation: Operation::Call(HttpMethod::Post, "/dismiss?target={}&incarnation={}") },
    CommandSpec { name: "pardon", arguments: &["FINGERPRINT"], help: "let a quarantined request run again", operation: Operation::Call(HttpMethod::Post, "/pardon?fingerprint={}") },
];

/// Runs one command and returns what it prints.
///
/// # Errors
/// The arguments are invalid, the host cannot be reached, or it refuses the request.
pub async fn run(arguments: &[String]) -> Result<String, Error> {
    let options = options();
    let matches = options.parse(arguments).context(InvalidOptionsSnafu)?;
    if matches.opt_present("help") {
        return Ok(options.usage(&help()));
    }
    if matches.opt_present("version") {
        return Ok(concat!("cornelhitch ", env!("CARGO_PKG_VERSION"), "\n").to_owned());
    }
    let (command, values) = parse_command(&matches)?;
    match command.operation {
        Operation::Check => check(&values[0]),
        Operation::Apply => apply(&matches, &values[0]).await,
        Operation::Show => show(&matches).await,
        Operation::Call(method, path) => {
            let path = values
                .iter()
                .fold(path.to_owned(), |path, value| path.replacen("{}", value, 1));
            let method = match method {
                HttpMethod::Get => Method::GET,
                HttpMethod::Post => Method::POST,
            };
            let answer = HostClient::from_options(&matches)?
                .call(method, &path, None)
                .await?;
            Ok(pretty_json(&answer))
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "H",
        "host",
        "the operators' address of a host (127.0.0.1:7002)",
        "ADDRESS",
    );
    options.optopt("t", "token", "the file with the operators' token", "FILE");
    options.optopt(
        "b",
        "base",
        "apply: the version that the file was made from (the one in force)",
        "VERSION",
    );
    options.optopt(
        "r",
        "request",
        "apply: an id of this request, the same for a resend",
        "ID",
    );
    options.optopt("o", "operator", "apply: who applies it ($USER)", "NAME");
    options.optflag("w", "wait", "apply: wait until it is in force everywhere");
    options.optflag("h", "help", "print this");
    options.optflag("V", "version", "print the version");
    options
}

/// Returns the usage text with the list of commands.
fn help() -> String {
    let lines = COMMANDS.iter().map(|command| {
        let synopsis = [&[command.name][..], command.arguments].concat().join(" ");
        format!("\n    {synopsis:36}{}", command.help)
    });
    let lines: String = lines.collect();
    format!("{USAGE}{lines}")
}

/// Returns the command that the arguments name, and its arguments.
fn parse_command(matches: &Matches) -> Result<(&'static CommandSpec, &[String]), Error> {
    let (name, values) = matches.free.split_first().context(UsageSnafu {
        detail: "no command given",
    })?;
    let command = COMMANDS.iter().find(|command| command.name == *name);
    let command = command.context(UsageSnafu {
        detail: format!("unknown command {name:?}"),
    })?;
    let expected = command.arguments;
    ensure!(
        values.len() == expected.len(),
        UsageSnafu {
            detail: format!(
                "{name} expects {}",
                if expected.is_empty() {
                    "no arguments".to_owned()
                } else {
                    expected.join(" ")
                }
            )
        }
    );
    Ok((command, values))
}

fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

/// Validates a fleet settings file and returns a summary.
fn check(path: &str) -> Result<String, Error> {
    let text = read(path)?;
    match text.parse::<FleetSettings>() {
        Ok(fleet) => Ok(format!(
            "{path}: {} models, {} services, {} exceptions: no faults\n",
            fleet.models.len(),
            fleet.services.len(),
            fleet.exceptions.len()
        )),
        Err(error) => {
            let lines = error.faults.iter().map(|fault| format!("{path}:{fault}"));
            let text = lines.collect::<Vec<_>>().join("\n");
            InvalidSettingsSnafu { text }.fail()
        }
    }
}

/// Submits a fleet settings file; with `--wait`, waits until it is in force on all hosts.
async fn apply(matches: &Matches, path: &str) -> Result<String, Error> {
    check(path)?;
    let host = HostClient::from_options(matches)?;
    let base = match matches.opt_str("base") {
        Some(base) => base.parse::<u64>().ok().context(UsageSnafu {
            detail: format!("--base: {base:?} is not a version number"),
        })?,
        None => host.settings().await?["version"]
            .as_u64()
            .unwrap_or_default(),
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let operator = matches.opt_str("operator").unwrap_or(user);
    let request = matches.opt_str("request").unwrap_or_else(new_request_id);
    let body = json!({
        "operator": operator,
        "request": request,
        "base": base,
        "text": read(path)?,
    });
    let accepted = host.call(Method::POST, "/settings", Some(body)).await?;
    let version = accepted["version"].as_u64().unwrap_or_default();
    if !matches.opt_present("wait") {
        return Ok(format!("accepted as version {version}\n"));
    }
    let started = std::time::Instant::now();
    let path = format!("/in-force?version={version}");
    while started.elapsed() < WAIT_TIMEOUT {
        if host.call(Method::GET, &path, None).await? == Value::Bool(true) {
            let after = started.elapsed().as_millis();
            return Ok(format!(
                "version {version} is in force everywhere after {after} ms\n"
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    RefusedSnafu {
        status: StatusCode::GATEWAY_TIMEOUT,
        text: format!("version {version} is accepted but not yet in force everywhere"),
    }
    .fail()
}

/// Returns the settings in force, after a line with their version.
async fn show(matches: &Matches) -> Result<String, Error> {
    let settings = HostClient::from_options(matches)?.settings().await?;
    let text = settings["text"].as_str().unwrap_or_default();
    Ok(format!("# version {}\n{text}", settings["version"]))
}

/// Generates a request id from the time and the process id.
fn new_request_id() -> String {
    let now = std::time::SystemTime::now();
    let now = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}-{}", now.as_nanos(), std::process::id())
}

/// Formats a response as indented JSON.
fn pretty_json(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text + "\n"
}

/// Connection parameters for a host.
struct HostClient {
    host: SocketAddr,
    token: String,
}

impl HostClient {
    /// Reads the host's address and the token file from the options.
    fn from_options(matches: &Matches) -> Result<Self, Error> {
        let host = matches
            .opt_str("host")
            .unwrap_or_else(|| "127.0.0.1:7002".to_owned());
        let parsed = host.parse().ok().context(UsageSnafu {
            detail: format!("--host: {host:?} is not an IP address with a port"),
        })?;
        let token = matches.opt_str("token").context(UsageSnafu {
            detail: "--token FILE is missing",
        })?;
        Ok(Self {
            host: parsed,
            token: read(&token)?.trim().to_owned(),
        })
    }

    /// Requests the settings in force and their version.
    async fn settings(&self) -> Result<Value, Error> {
        self.call(Method::GET, "/settings", None).await
    }

    /// Sends one request and returns the response body, as a string if it is not JSON.
    async fn call(&self, method: Method, path: &str, body: Option<Value>) -> Result<Value, Error> {
        let host = self.host;
        let unreachable = |detail: String| Error::Unreachable { host, detail };
        let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|error| Error::Usage {
                detail: error.to_string(),
            })?;
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let response = client.request(request).await;
        let response = response.map_err(|error| unreachable(format!("{error:?}")))?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body
            .map_err(|error| unreachable(error.to_string()))?
            .to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        ensure!(status.is_success(), RefusedSnafu { status, text });
        Ok(serde_json::from_slice(&body).unwrap_or(Value::String(text)))
    }
}
