//! Tries a job at homes until one answers.

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, EndpointId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;

use super::attempt::{Failure, Head, Result, Try, Waits};
use super::job::{Job, ResumePoint};
use crate::configuration::ConfigView;
use crate::context::Context;

/// Most tries of one request.
const MAX_TRIES: u32 = 3;
/// Most tries to take up a stream without a further event of it.
pub const MAX_RESUMES: u32 = 6;
/// Time allowed beyond the home's own limits, so that the home answers first.
const MARGIN: Millis = Millis::from_secs(2);
/// Endpoints looked at for a daemon to send to.
const RANKS: usize = 8;

/// A request that is being answered.
pub struct Running {
    /// The job.
    pub job: Job,
    /// The try that answers.
    pub attempt: Try,
    /// The head of the answer.
    pub head: Head,
    /// Tries so far.
    pub tries: u32,
}

/// Sends a job to homes, further ones where that is safe, until one answers.
///
/// # Errors
///
/// The last failure when no home answers.
pub async fn run(context: &Arc<Context>, job: Job) -> Result<Running> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut lost: Vec<DaemonId> = Vec::new();
    let mut tries = 0;
    let mut outcome = Outcome::NotRun;
    context.limits.first(job.pool.clone());
    loop {
        let started = attempt(context, &job, tries, &tried, &lost).await;
        tries += 1;
        let failure = match started {
            Ok((attempt, head)) => {
                return Ok(Running {
                    job,
                    attempt,
                    head,
                    tries,
                });
            }
            Err(failure) => failure.with_earlier(outcome),
        };
        outcome = failure.outcome;
        if tries >= MAX_TRIES || !may_retry(&job, &failure) {
            return Err(failure);
        }
        if !context.limits.spend(job.pool.clone()).await {
            return Err(failure.without_retry());
        }
        context.metrics.retry(failure.reason);
        log::info!(target: "entry", "entry: {} again after {}", job.request, failure.reason);
        tried.extend(failure.endpoint);
        lost.extend(failure.lost);
    }
}

/// Takes up a broken stream where its endpoint still holds it.
///
/// # Errors
///
/// When the endpoint's home or the endpoint doesn't have it.
pub async fn resume(
    context: &Arc<Context>,
    job: &Job,
    tries: u32,
    point: &ResumePoint,
    lost: &[DaemonId],
) -> Result<Try> {
    let id = attempt_id(context, job, tries);
    let config = context.config.borrow().clone();
    let daemon = first_home(context, &config, [&point.endpoint], lost);
    let credit = context.settings.limits.window.0;
    let forward = job.resume(id, context.me.daemon.as_str(), point, credit);
    let mut attempt = Try::start(context, id, &daemon, forward, waits(job)).await?;
    let head = attempt.head().await?;
    if head.status != 200 {
        // The endpoint may hold the stream yet; a cancellation would end it.
        attempt.forget();
        return Err(Failure::new(Reason::StreamCut));
    }
    Ok(attempt)
}

async fn attempt(
    context: &Arc<Context>,
    job: &Job,
    number: u32,
    tried: &[EndpointId],
    lost: &[DaemonId],
) -> Result<(Try, Head)> {
    let id = attempt_id(context, job, number);
    let daemon = target(context, job, lost);
    let credit = context.settings.limits.window.0;
    let forward = job.forward(id, context.me.daemon.as_str(), tried, credit);
    let mut attempt = Try::start(context, id, &daemon, forward, waits(job)).await?;
    let head = attempt.head().await?;
    Ok((attempt, head))
}

fn attempt_id(context: &Context, job: &Job, number: u32) -> AttemptId {
    AttemptId {
        request: job.request,
        number,
        sender: context.incarnation(),
    }
}

fn waits(job: &Job) -> Waits {
    Waits {
        head: job.patience + job.terms.first_byte + MARGIN,
        gap: job.terms.gap + MARGIN,
    }
}

/// The daemon that knows the chat: home of its first-ranked endpoint, past lost ones.
fn target(context: &Context, job: &Job, lost: &[DaemonId]) -> DaemonId {
    let config = context.config.borrow().clone();
    let ranked = config.ranked(&job.pool, job.key(), RANKS);
    first_home(context, &config, ranked, lost)
}

/// The first home of these endpoints that isn't lost, else this daemon.
fn first_home<'a>(
    context: &Context,
    config: &ConfigView,
    endpoints: impl IntoIterator<Item = &'a EndpointId>,
    lost: &[DaemonId],
) -> DaemonId {
    let fleet = context.fleet.borrow();
    let mut homes = endpoints
        .into_iter()
        .filter_map(|endpoint| fleet.home_of(config, endpoint));
    let home = homes.find(|home| !lost.contains(home));
    home.unwrap_or(&context.me.daemon).clone()
}

fn may_retry(job: &Job, failure: &Failure) -> bool {
    let safe = job.idempotent || failure.outcome == Outcome::NotRun;
    let elsewhere = matches!(
        failure.reason,
        Reason::HomeLost
            | Reason::EndpointLost
            | Reason::EndpointRefused
            | Reason::EndpointTimeout
            | Reason::StreamCut
            | Reason::Stopping
            | Reason::NotReady
            | Reason::NoEndpoint
    );
    safe && elsewhere
}
