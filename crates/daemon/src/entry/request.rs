//! Reads a caller's request into a job.

use bytes::Bytes;
use medlarrill_core::claims::{Digest, KeyHash};
use medlarrill_core::config::{Account, Institution, Pool, PoolKind, Rule};
use medlarrill_core::ids::RequestId;
use medlarrill_core::placement::chat_hash;
use medlarrill_core::reason::Reason;
use medlarrill_core::units::Tokens;
use medlarrill_core::wire::Header;
use salvo::http::{HeaderMap, HeaderValue, Method};
use serde::Deserialize;

use super::auth::bearer;
use super::job::{Job, TOKEN_BYTES};
use super::keyed::Keyed;
use super::problem::Problem;
use crate::configuration::{Client, ConfigView};

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, Box<Problem>>;

/// Names a chat, where the body doesn't.
pub const CHAT_HEADER: &str = "x-chat-id";
/// Makes a non-idempotent request safe to repeat.
pub const KEY_HEADER: &str = "idempotency-key";
/// Most tokens to generate if the caller doesn't say.
const DEFAULT_OUTPUT: u64 = 256;
/// Headers that travel on to the endpoint.
const TRAVELLING: [&str; 4] = ["content-type", "accept", "x-priority", KEY_HEADER];

/// A request as it arrived.
pub struct Arrived<'a> {
    /// Its identifier, drawn here.
    pub id: RequestId,
    /// HTTP method.
    pub method: &'a Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The parts of a chat completion that the fleet needs.
#[derive(Debug)]
#[derive(Deserialize)]
struct Completion {
    model: Option<String>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    chat_id: Option<String>,
}

/// Checks the key of a request.
///
/// # Errors
///
/// The problem to answer with, if the key isn't known.
pub fn authorise(view: &ConfigView, headers: &HeaderMap) -> Result<()> {
    let known = bearer(headers).and_then(|key| view.client(key));
    known.map(drop).ok_or_else(|| problem(Reason::Unauthorised))
}

/// Reads and classifies a request.
///
/// # Errors
///
/// The problem to answer with.
pub fn read(view: &ConfigView, arrived: Arrived<'_>) -> Result<Job> {
    let key = bearer(arrived.headers).ok_or_else(|| problem(Reason::Unauthorised))?;
    let (client, institution, account) = view
        .client(key)
        .ok_or_else(|| problem(Reason::Unauthorised))?;
    let path = arrived.path.split('?').next().unwrap_or_default();
    let completion = path
        .ends_with("/chat/completions")
        .then(|| completion(&arrived.body));
    let completion = completion.transpose()?;
    let model = completion.as_ref().and_then(|c| c.model.as_deref());
    let rule = view
        .rule(&client.institution, path, model)
        .ok_or_else(|| Box::new(Problem::new(Reason::NoRoute).with_detail(path)))?;
    let pool = view
        .pool(&rule.pool)
        .ok_or_else(|| Box::new(Problem::new(Reason::NoRoute).with_detail(&rule.pool)))?;
    let terms = Terms {
        client,
        institution,
        account,
        rule,
        pool,
    };
    let mut job = job(&arrived, &terms, completion.as_ref());
    if !job.idempotent {
        job.keyed = Some(keyed(&arrived, &terms)?);
    }
    Ok(job)
}

/// The key that a non-idempotent request needs.
fn keyed(arrived: &Arrived<'_>, terms: &Terms<'_>) -> Result<Keyed> {
    let header = arrived.headers.get(KEY_HEADER);
    let key = header.filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| problem(Reason::KeyMissing))?;
    Ok(Keyed {
        key: KeyHash::of(&terms.client.institution, key.as_bytes()),
        digest: Digest::of(arrived.method.as_str(), &arrived.path, &arrived.body),
        lifetime: terms.institution.contract.key_lifetime,
    })
}

/// What the configuration says of a request.
struct Terms<'a> {
    client: &'a Client,
    institution: &'a Institution,
    account: &'a Account,
    rule: &'a Rule,
    pool: &'a Pool,
}

fn job(arrived: &Arrived<'_>, terms: &Terms<'_>, completion: Option<&Completion>) -> Job {
    let named = completion.and_then(|c| c.chat_id.as_deref());
    let header = arrived.headers.get(CHAT_HEADER);
    let chat = named
        .map(str::as_bytes)
        .or(header.map(HeaderValue::as_bytes));
    let institution = &terms.client.institution;
    Job {
        request: arrived.id,
        institution: institution.clone(),
        account: terms.client.account.clone(),
        limits: terms.account.into(),
        pool: terms.rule.pool.clone(),
        terms: terms.pool.clone(),
        chat: chat.map(|chat| chat_hash(institution, chat)),
        prompt: prompt(arrived, terms.pool.kind),
        output: output(completion, terms.pool.kind),
        idempotent: terms.rule.idempotent || *arrived.method == Method::GET,
        keyed: None,
        patience: terms.institution.contract.queue_wait,
        method: arrived.method.to_string(),
        path: arrived.path.clone(),
        headers: travelling(arrived.headers),
        body: arrived.body.clone(),
    }
}

/// The estimated prompt; a call to a plain service counts as one.
const fn prompt(arrived: &Arrived<'_>, kind: PoolKind) -> Tokens {
    match kind {
        PoolKind::Model => Tokens(arrived.body.len() as u64 / TOKEN_BYTES),
        PoolKind::Service => Tokens(1),
    }
}

fn output(completion: Option<&Completion>, kind: PoolKind) -> Tokens {
    let asked = completion.and_then(|c| c.max_completion_tokens.or(c.max_tokens));
    match kind {
        PoolKind::Model => Tokens(asked.unwrap_or(DEFAULT_OUTPUT)),
        PoolKind::Service => Tokens(1),
    }
}

fn completion(body: &[u8]) -> Result<Completion> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("body: {error}");
        Box::new(Problem::new(Reason::BadRequest).with_detail(detail))
    })
}

fn problem(reason: Reason) -> Box<Problem> {
    Box::new(Problem::new(reason))
}

fn travelling(headers: &HeaderMap) -> Vec<Header> {
    let header = |name: &&str| {
        let value = headers.get(*name)?;
        Some(Header {
            name: (*name).into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
    };
    TRAVELLING.iter().filter_map(header).collect()
}
