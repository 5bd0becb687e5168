//! Sends a job to homes, one attempt after the other, until one answers.

use std::sync::Arc;

use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{AttemptId, DaemonId, EndpointId};
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;

use super::attempt::{Attempt, Failure, Head, Result, Timeouts};
use super::job::{Job, ResumePoint};
use crate::configuration::ConfigView;
use crate::context::Context;

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Most attempts to resume a stream without a further event of it.
pub const MAX_RESUMES: u32 = 6;
/// Time allowed beyond the home's own timeouts, so that the home's come first.
const TIMEOUT_MARGIN: Millis = Millis::from_secs(2);
/// Ranked endpoints considered when a home is chosen.
const MAX_RANKED: usize = 8;

/// A request that is being answered.
pub struct Running {
    /// The job.
    pub job: Job,
    /// The attempt that answers.
    pub attempt: Attempt,
    /// The head of the answer.
    pub head: Head,
    /// Attempts so far.
    pub attempts: u32,
}

/// Sends a job to homes until one answers, with retries where they are safe.
///
/// # Errors
///
/// The last failure when no home answers.
pub async fn run(context: &Arc<Context>, job: Job) -> Result<Running> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut lost: Vec<DaemonId> = Vec::new();
    let mut attempts = 0;
    let mut outcome = Outcome::NotRun;
    context.limits.record_attempt(job.pool.clone());
    loop {
        let started = start_attempt(context, &job, attempts, &tried, &lost).await;
        attempts += 1;
        let failure = match started {
            Ok((attempt, head)) => {
                return Ok(Running {
                    job,
                    attempt,
                    head,
                    attempts,
                });
            }
            Err(failure) => failure.with_earlier(outcome),
        };
        outcome = failure.outcome;
        if attempts >= MAX_ATTEMPTS || !may_retry(&job, &failure) {
            return Err(failure);
        }
        if !context.limits.take_retry(job.pool.clone()).await {
            return Err(failure.without_retry());
        }
        context.metrics.record_retry(failure.reason);
        log::info!(target: "entry", "entry: {} retried after {}", job.request, failure.reason);
        tried.extend(failure.endpoint);
        lost.extend(failure.lost);
    }
}

/// Resumes a broken stream that its endpoint still holds.
///
/// # Errors
///
/// When the endpoint's home or the endpoint doesn't have it.
pub async fn resume(
    context: &Arc<Context>,
    job: &Job,
    attempts: u32,
    point: &ResumePoint,
    lost: &[DaemonId],
) -> Result<Attempt> {
    let id = attempt_id(context, job, attempts);
    let config = context.config.borrow().clone();
    let daemon = first_home(context, &config, [&point.endpoint], lost);
    let credit = context.settings.limits.window.0;
    let forward = job.resume(id, context.me.daemon.as_str(), point, credit);
    let mut attempt = Attempt::start(context, id, &daemon, forward, timeouts(job)).await?;
    let head = attempt.head().await?;
    if head.status != 200 {
        // The endpoint may still hold the stream; a cancellation would end it.
        attempt.detach();
        return Err(Failure::new(Reason::StreamCut));
    }
    Ok(attempt)
}

async fn start_attempt(
    context: &Arc<Context>,
    job: &Job,
    number: u32,
    tried: &[EndpointId],
    lost: &[DaemonId],
) -> Result<(Attempt, Head)> {
    let id = attempt_id(context, job, number);
    let daemon = directory_daemon(context, job, lost);
    let credit = context.settings.limits.window.0;
    let forward = job.forward(id, context.me.daemon.as_str(), tried, credit);
    let mut attempt = Attempt::start(context, id, &daemon, forward, timeouts(job)).await?;
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

fn timeouts(job: &Job) -> Timeouts {
    Timeouts {
        head: job.patience + job.pool_settings.first_byte + TIMEOUT_MARGIN,
        gap: job.pool_settings.gap + TIMEOUT_MARGIN,
    }
}

/// The chat's directory daemon: the first home of its ranked endpoints that isn't lost.
fn directory_daemon(context: &Context, job: &Job, lost: &[DaemonId]) -> DaemonId {
    let config = context.config.borrow().clone();
    let ranked = config.ranked(&job.pool, job.ranking_key(), MAX_RANKED);
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
