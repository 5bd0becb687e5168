//! Sends a request to the daemons in turn until one gives a definite answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::ChangeId;
use medlarrill_core::operator::answer::{Answer, OPERATOR_PATH, Request, Verdict};
use medlarrill_core::operator::{Statement, parse};
use medlarrill_core::outcome::Outcome;
use serde::Deserialize;

use crate::args::Args;
use crate::{Error, Result, script};

/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "MEDLARRILL_KEY";
/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for a response beyond the daemon's own timeout.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Delay after each round over all daemons.
const ROUND_DELAY: Duration = Duration::from_millis(300);
/// Largest `--timeout`; short enough that a change can still be retried.
const MAX_TIMEOUT: Millis = Millis::from_secs(300);
/// Largest response, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A request to the fleet.
pub(crate) struct Call {
    servers: Vec<Uri>,
    bearer: HeaderValue,
    request: Request,
    /// Whether the statements may change anything.
    changes: bool,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Result of one attempt.
enum Attempt {
    Answered(Answer),
    /// The daemon rejected it, as any other would.
    Rejected(String),
    /// It was not sent.
    NotSent(String),
    /// It was sent; its outcome is unknown.
    Lost(String),
}

/// Body of a response with an error status.
#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct Problem {
    title: String,
    detail: String,
    #[serde(alias = "outcome")]
    ran: String,
}

impl Call {
    /// Builds the call of a text with the options of the command line.
    pub(crate) fn new(args: &Args, text: &str) -> Result<Self> {
        if args.timeout > MAX_TIMEOUT {
            let message = format!("--timeout is at most {}", MAX_TIMEOUT.0 / 1000);
            return Err(Error::Usage(format!("{message}s")));
        }
        let servers = args.servers.iter().map(operator_uri);
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut client = Client::builder(TokioExecutor::new());
        // The client library must not retry: only this module marks retries with
        // `repeat`.
        client.retry_canceled_requests(false);
        client.pool_max_idle_per_host(0);
        Ok(Self {
            servers: servers.collect::<Result<_>>()?,
            bearer: bearer(args)?,
            request: Request {
                change: args.change.unwrap_or_else(|| ChangeId(rand::random())),
                statements: text.into(),
                wait: args.wait,
                timeout: args.timeout,
                base: args.base,
                repeat: args.change.is_some(),
            },
            changes: may_change(text),
            client: client.build(connector),
        })
    }

    /// Identifier of the change.
    pub(crate) const fn change(&self) -> ChangeId {
        self.request.change
    }

    /// Sends the request until a daemon reports its outcome or the time is up.
    pub(crate) async fn send(&self) -> Result<Answer> {
        let end = Instant::now() + self.request.timeout.as_duration();
        let mut repeat = self.request.repeat;
        let mut sent = false;
        let mut unknown_answer = None;
        let mut reasons = Vec::new();
        for index in 0.. {
            if index > 0 && Instant::now() >= end {
                break;
            }
            let server = &self.servers[index % self.servers.len()];
            match self.attempt(server, repeat, end).await {
                Attempt::Rejected(reason) if !sent => return Err(Error::Refused(reason)),
                Attempt::Answered(answer) if !is_unknown(&answer) => {
                    return Ok(self.mark_unknown(answer, repeat));
                }
                Attempt::Answered(answer) => {
                    unknown_answer = Some(answer);
                    (sent, repeat) = (true, true);
                }
                Attempt::Lost(reason) | Attempt::Rejected(reason) => {
                    reasons.push(format!("{server}: {reason}"));
                    (sent, repeat) = (true, true);
                }
                Attempt::NotSent(reason) => reasons.push(format!("{server}: {reason}")),
            }
            if (index + 1) % self.servers.len() == 0 {
                let left = end.saturating_duration_since(Instant::now());
                tokio::time::sleep(left.min(ROUND_DELAY)).await;
            }
        }
        match unknown_answer {
            Some(answer) => Ok(answer),
            None => Err(self.failure(sent, reasons)),
        }
    }

    /// Reports `unavailable` as `unknown` for a change that was sent before: the
    /// earlier attempt may have taken effect.
    fn mark_unknown(&self, mut answer: Answer, repeat: bool) -> Answer {
        for result in &mut answer.results {
            if repeat && self.changes && result.verdict == Verdict::Unavailable {
                result.verdict = Verdict::Unknown;
            }
        }
        answer
    }

    fn failure(&self, sent: bool, mut reasons: Vec<String>) -> Error {
        reasons.sort();
        reasons.dedup();
        let reasons = reasons.join("; ");
        if sent && self.changes || self.request.repeat {
            let change = self.request.change;
            return Error::Unknown(format!(
                "it isn't known whether the change was accepted ({reasons}); ask again with --change {change}"
            ));
        }
        Error::Unreachable(reasons)
    }

    async fn attempt(&self, server: &Uri, repeat: bool, end: Instant) -> Attempt {
        let left = end.saturating_duration_since(Instant::now());
        let request = Request {
            repeat,
            timeout: left.into(),
            ..self.request.clone()
        };
        let exchange = self.exchange(server, &request);
        match tokio::time::timeout(left + ANSWER_GRACE, exchange).await {
            Ok(tried) => tried,
            Err(_) => Attempt::Lost("no answer in time".into()),
        }
    }

    async fn exchange(&self, server: &Uri, request: &Request) -> Attempt {
        let body = match serde_json::to_vec(request) {
            Ok(body) => Full::from(body),
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        let built = hyper::Request::builder()
            .method(Method::POST)
            .uri(server)
            .header(AUTHORIZATION, self.bearer.clone())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(body);
        let request = match built {
            Ok(request) => request,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::NotSent(error_chain(&error)),
            Err(error) => return Attempt::Lost(error_chain(&error)),
        };
        let status = response.status();
        match Limited::new(response.into_body(), MAX_ANSWER)
            .collect()
            .await
        {
            Ok(body) => read(status, &body.to_bytes()),
            Err(error) => Attempt::Lost(format!("the answer was cut short: {error}")),
        }
    }
}

fn read(status: StatusCode, body: &[u8]) -> Attempt {
    if status == StatusCode::OK {
        return match serde_json::from_slice(body) {
            Ok(answer) => Attempt::Answered(answer),
            Err(error) => Attempt::Lost(format!("the answer can't be read: {error}")),
        };
    }
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    let reason = format!("{status}. {} {}", problem.title, problem.detail);
    let reason = reason.trim_end().to_owned();
    if status.is_client_error() {
        return Attempt::Rejected(reason);
    }
    match problem.ran == Outcome::NotRun.to_string() {
        true => Attempt::NotSent(reason),
        false => Attempt::Lost(reason),
    }
}

fn is_unknown(answer: &Answer) -> bool {
    let unknown = |verdict| verdict == Verdict::Unknown;
    answer.results.iter().any(|r| unknown(r.verdict))
}

/// Whether a text may change anything; one that can't be parsed here may.
fn may_change(text: &str) -> bool {
    let Ok(sentences) = parse(text) else {
        return true;
    };
    let is_query = |statement: &Statement| matches!(statement, Statement::Show(_));
    !sentences
        .iter()
        .all(|sentence| is_query(&sentence.statement))
}

fn operator_uri(server: &Uri) -> Result<Uri> {
    let usage = || Error::Usage(format!("`{server}` is no server: write http://host:port"));
    let authority = server.authority().ok_or_else(usage)?;
    if server.scheme_str().is_some_and(|scheme| scheme != "http") {
        return Err(usage());
    }
    let uri = Uri::builder()
        .scheme("http")
        .authority(authority.clone())
        .path_and_query(OPERATOR_PATH);
    uri.build().map_err(|_| usage())
}

fn bearer(args: &Args) -> Result<HeaderValue> {
    let key = match (&args.key_file, std::env::var(KEY_VARIABLE)) {
        (Some(file), _) => std::fs::read(file)
            .map_err(|error| Error::Usage(format!("can't read {}: {error}", file.display())))?,
        (None, Ok(key)) => key.into_bytes(),
        (None, Err(_)) => {
            let message = format!("no key: name a file with --key-file or set {KEY_VARIABLE}");
            return Err(Error::Usage(message));
        }
    };
    let key = script::trim_key(key)?;
    let value = [b"Bearer ".as_slice(), &key].concat();
    let mut value = HeaderValue::from_bytes(&value)
        .map_err(|_| Error::Usage("the key has characters that can't be sent".into()))?;
    value.set_sensitive(true);
    Ok(value)
}

/// An error and its chain of causes in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
