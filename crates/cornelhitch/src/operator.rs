//! The operator's command: one table of commands, and what each asks of a host.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use cornelhitch_settings::fleet::Fleet;
use getopts::{Matches, Options};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Time between two questions whether settings are in force.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after which `apply --wait` gives up.
const PATIENCE: Duration = Duration::from_secs(30);

/// What stands at the top of `--help`, before the commands.
const BRIEF: &str = "Usage: cornelhitch COMMAND [arguments] [options]

Operates cornelhitch by any of its hosts.

Exit status: 0 when it was done, 1 when the system refused, 2 when the arguments or
the settings are faulty, 3 when no host could be reached.

Commands:";

/// Why a command was not done.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The arguments are faulty.
    #[snafu(display("{source}; see --help"))]
    Options {
        /// What is wrong.
        source: getopts::Fail,
    },
    /// The command or its arguments are faulty.
    #[snafu(display("{detail}; see --help"))]
    Usage {
        /// What is wrong.
        detail: String,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings are faulty.
    #[snafu(display("{text}"))]
    Faulty {
        /// One line a fault: file, line, column and what is wrong.
        text: String,
    },
    /// No host could be reached.
    #[snafu(display("{host} cannot be reached: {detail}"))]
    Unreachable {
        /// The host.
        host: SocketAddr,
        /// Why.
        detail: String,
    },
    /// The system refused.
    #[snafu(display("{status}: {text}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// What was said.
        text: String,
    },
}

impl Error {
    /// The exit status that the error stands for.
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
enum Job {
    /// Check a file, with no host.
    Check,
    /// Bring a file in force.
    Apply,
    /// Print the settings text in force.
    Show,
    /// Print a page of the host, whose path ends with the arguments.
    Page(Verb, &'static str),
}

/// The method of a page, as a row can hold it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verb {
    Get,
    Post,
}

/// One command.
struct Row {
    name: &'static str,
    /// The names of its arguments.
    arguments: &'static [&'static str],
    help: &'static str,
    job: Job,
}

/// One row a command; `{}` in a page's path stands for the next argument.
#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { name: "check", arguments: &["FILE"], help: "check a fleet settings file; names every fault", job: Job::Check },
    Row { name: "apply", arguments: &["FILE"], help: "bring a fleet settings file in force", job: Job::Apply },
    Row { name: "show", arguments: &[], help: "print the settings in force", job: Job::Show },
    Row { name: "status", arguments: &[], help: "print the leader's state", job: Job::Page(Verb::Get, "/status") },
    Row { name: "dump", arguments: &[], help: "print the state of the host that is asked", job: Job::Page(Verb::Get, "/dump") },
    Row { name: "explain", arguments: &["MODEL"], help: "print why a model is where it is", job: Job::Page(Verb::Get, "/explain?model={}") },
    Row { name: "drain", arguments: &[], help: "shut the host that is asked down gracefully", job: Job::Page(Verb::Post, "/drain") },
    Row { name: "add", arguments: &["HOST", "INCARNATION"], help: "admit a host to the voters' log as a learner", job: Job::Page(Verb::Post, "/members?change=add&host={}&incarnation={}") },
    Row { name: "promote", arguments: &["HOST"], help: "make a learner a voter", job: Job::Page(Verb::Post, "/members?change=promote&host={}") },
    Row { name: "remove", arguments: &["HOST"], help: "remove a voter or learner", job: Job::Page(Verb::Post, "/members?change=remove&host={}") },
    Row { name: "replace", arguments: &["OLD", "HOST", "INCARNATION"], help: "replace a voter by a host and the life of its disk", job: Job::Page(Verb::Post, "/members?change=replace&old={}&host={}&incarnation={}") },
    Row { name: "dismiss", arguments: &["TARGET", "INCARNATION"], help: "attest that a target's machine no longer runs, which frees its memory", job: Job::Page(Verb::Post, "/dismiss?target={}&incarnation={}") },
    Row { name: "pardon", arguments: &["FINGERPRINT"], help: "let a quarantined request run again", job: Job::Page(Verb::Post, "/pardon?fingerprint={}") },
];

/// Runs one command and returns what it prints.
///
/// # Errors
/// The arguments are faulty, no host can be reached, or the system refused.
pub async fn run(arguments: &[String]) -> Result<String, Error> {
    let options = options();
    let matches = options.parse(arguments).context(OptionsSnafu)?;
    if matches.opt_present("help") {
        return Ok(options.usage(&help()));
    }
    if matches.opt_present("version") {
        return Ok(concat!("cornelhitch ", env!("CARGO_PKG_VERSION"), "\n").to_owned());
    }
    let (row, values) = row(&matches)?;
    match row.job {
        Job::Check => check(&values[0]),
        Job::Apply => apply(&matches, &values[0]).await,
        Job::Show => show(&matches).await,
        Job::Page(method, path) => {
            let path = values
                .iter()
                .fold(path.to_owned(), |path, value| path.replacen("{}", value, 1));
            let method = match method {
                Verb::Get => Method::GET,
                Verb::Post => Method::POST,
            };
            let answer = Remote::of(&matches)?.call(method, &path, None).await?;
            Ok(pretty(&answer))
        }
    }
}

/// The options of all commands.
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

/// The text before the options in `--help`.
fn help() -> String {
    let lines = ROWS.iter().map(|row| {
        let call = [&[row.name][..], row.arguments].concat().join(" ");
        format!("\n    {call:36}{}", row.help)
    });
    let lines: String = lines.collect();
    format!("{BRIEF}{lines}")
}

/// The row of the command, and its arguments.
fn row(matches: &Matches) -> Result<(&'static Row, &[String]), Error> {
    let (name, values) = matches.free.split_first().context(UsageSnafu {
        detail: "no command was named",
    })?;
    let row = ROWS.iter().find(|row| row.name == *name);
    let row = row.context(UsageSnafu {
        detail: format!("there is no command {name:?}"),
    })?;
    let wanted = row.arguments;
    ensure!(
        values.len() == wanted.len(),
        UsageSnafu {
            detail: format!(
                "{name} takes {}",
                if wanted.is_empty() {
                    "no arguments".to_owned()
                } else {
                    wanted.join(" ")
                }
            )
        }
    );
    Ok((row, values))
}

/// Reads a file.
fn read(path: &str) -> Result<String, Error> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

/// Checks a fleet settings file.
fn check(path: &str) -> Result<String, Error> {
    let text = read(path)?;
    match text.parse::<Fleet>() {
        Ok(fleet) => Ok(format!(
            "{path}: {} models, {} services, {} exceptions: no faults\n",
            fleet.models.len(),
            fleet.services.len(),
            fleet.exceptions.len()
        )),
        Err(error) => {
            let lines = error.faults.iter().map(|fault| format!("{path}:{fault}"));
            let text = lines.collect::<Vec<_>>().join("\n");
            FaultySnafu { text }.fail()
        }
    }
}

/// Brings a fleet settings file in force.
async fn apply(matches: &Matches, path: &str) -> Result<String, Error> {
    check(path)?;
    let remote = Remote::of(matches)?;
    let base = match matches.opt_str("base") {
        Some(base) => base.parse::<u64>().ok().context(UsageSnafu {
            detail: format!("--base: {base:?} is no version"),
        })?,
        None => remote.settings().await?["version"]
            .as_u64()
            .unwrap_or_default(),
    };
    let user = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let operator = matches.opt_str("operator").unwrap_or(user);
    let request = matches.opt_str("request").unwrap_or_else(fresh);
    let body = json!({
        "operator": operator,
        "request": request,
        "base": base,
        "text": read(path)?,
    });
    let verdict = remote.call(Method::POST, "/settings", Some(body)).await?;
    let version = verdict["version"].as_u64().unwrap_or_default();
    if !matches.opt_present("wait") {
        return Ok(format!("accepted as version {version}\n"));
    }
    let started = std::time::Instant::now();
    let path = format!("/in-force?version={version}");
    while started.elapsed() < PATIENCE {
        if remote.call(Method::GET, &path, None).await? == Value::Bool(true) {
            let after = started.elapsed().as_millis();
            return Ok(format!(
                "version {version} is in force everywhere after {after} ms\n"
            ));
        }
        tokio::time::sleep(PAUSE).await;
    }
    RefusedSnafu {
        status: StatusCode::GATEWAY_TIMEOUT,
        text: format!("version {version} is accepted and not yet in force everywhere"),
    }
    .fail()
}

/// Prints the settings in force.
async fn show(matches: &Matches) -> Result<String, Error> {
    let settings = Remote::of(matches)?.settings().await?;
    let text = settings["text"].as_str().unwrap_or_default();
    Ok(format!("# version {}\n{text}", settings["version"]))
}

/// An id for a request that was given none.
fn fresh() -> String {
    let now = std::time::SystemTime::now();
    let now = now
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}-{}", now.as_nanos(), std::process::id())
}

/// A value as operators read it.
fn pretty(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text + "\n"
}

/// A host, and what it is shown.
struct Remote {
    host: SocketAddr,
    token: String,
}

impl Remote {
    /// The host that the options name.
    fn of(matches: &Matches) -> Result<Self, Error> {
        let host = matches
            .opt_str("host")
            .unwrap_or_else(|| "127.0.0.1:7002".to_owned());
        let parsed = host.parse().ok().context(UsageSnafu {
            detail: format!("--host: {host:?} is no IP address and port"),
        })?;
        let token = matches.opt_str("token").context(UsageSnafu {
            detail: "--token FILE is missing",
        })?;
        Ok(Self {
            host: parsed,
            token: read(&token)?.trim().to_owned(),
        })
    }

    /// The settings in force.
    async fn settings(&self) -> Result<Value, Error> {
        self.call(Method::GET, "/settings", None).await
    }

    /// One call.
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
