//! The HTTP handlers for callers: requests, their state, health and metrics.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Body as _;
use medlarrill_core::ids::RequestId;
use medlarrill_core::outcome::Outcome;
use medlarrill_core::reason::Reason;
use salvo::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use salvo::http::{ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::time::timeout;

use super::answer::{Reply, respond, write_head};
use super::attempt::Failure;
use super::flight::InFlight;
use super::job::Job;
use super::keyed;
use super::problem::Problem;
use super::request::{IncomingRequest, authorise, read};
use super::tracker::State;
use crate::context::{Context, NO_CONFIGURATION};

/// Response header with the identifier of the request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handler for callers' requests.
pub struct CallerRequests(pub Arc<Context>);

#[async_trait]
impl Handler for CallerRequests {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let id = self.0.new_request_id();
        self.0.metrics.requests.inc();
        let header = HeaderValue::from_str(&id.to_string());
        if let Ok(value) = header {
            response.headers_mut().insert(REQUEST_HEADER, value);
        }
        if let Err(problem) = self.serve(id, request, response).await {
            problem.with_request(id).write(response);
        }
    }
}

impl CallerRequests {
    async fn serve(
        &self,
        id: RequestId,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), Box<Problem>> {
        let job = self.read_job(id, request).await;
        let job = job.inspect_err(|problem| self.record_refusal(id, problem))?;
        let flight = InFlight::new(&self.0, id);
        let mut flight = self.acquire_permit(&job, flight).await?;
        if let Some(keyed) = job.keyed.clone() {
            let served = keyed::serve(&self.0, job, keyed, flight, response).await;
            return served.map_err(|failure| Box::new(Problem::of(&failure)));
        }
        match respond(&self.0, job).await {
            Ok(Reply::Complete(head, body)) => {
                write_head(&head, response);
                response.body = ResBody::Once(body);
                flight.answered();
                Ok(())
            }
            Ok(Reply::Stream(stream)) => {
                write_head(stream.head(), response);
                response.body = stream.into_body(flight);
                Ok(())
            }
            Err(failure) => {
                flight.failed(&failure);
                Err(Box::new(Problem::of(&failure)))
            }
        }
    }

    /// Acquires a permit from the limits of the request's account.
    async fn acquire_permit(
        &self,
        job: &Job,
        mut flight: InFlight,
    ) -> Result<InFlight, Box<Problem>> {
        let request = job.permit_request(self.0.incarnation());
        match self.0.limits.acquire(request).await {
            Ok(permit) => Ok(flight.with_permit(permit)),
            Err(refusal) => {
                let mut failure = match job.keyed {
                    Some(_) => Failure::unclaimed(refusal.reason),
                    None => Failure::new(refusal.reason),
                };
                failure.retry_after = Some(refusal.retry_after);
                flight.failed(&failure);
                Err(Box::new(Problem::of(&failure)))
            }
        }
    }

    /// Reads and classifies a request; the body is read only if the key is known.
    async fn read_job(&self, id: RequestId, request: &mut Request) -> Result<Job, Box<Problem>> {
        if self.0.unready_reason() == Some(NO_CONFIGURATION) {
            let problem = Problem::new(Reason::NotReady);
            return Err(Box::new(problem.with_detail(NO_CONFIGURATION)));
        }
        authorise(&self.0.config.borrow(), request.headers())?;
        let body = self.read_body(request).await?;
        let path = request.uri().path_and_query().map(ToString::to_string);
        let incoming = IncomingRequest {
            id,
            method: request.method(),
            path: path.unwrap_or_else(|| "/".into()),
            headers: request.headers(),
            body,
        };
        let view = self.0.config.borrow().clone();
        read(&view, incoming)
    }

    /// Reads the complete body, within its limits of size and time.
    async fn read_body(&self, request: &mut Request) -> Result<Bytes, Box<Problem>> {
        let limits = &self.0.settings.limits;
        let limit = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
        let declared = request.body().size_hint().lower();
        let read = request.payload_with_max_size(limit);
        let problem = |reason: Reason, detail: String| {
            Err(Box::new(Problem::new(reason).with_detail(detail)))
        };
        let large = || format!("body: more than {limit} bytes");
        if declared > limits.body.0 {
            return problem(Reason::TooLarge, large());
        }
        match timeout(limits.body_wait.as_duration(), read).await {
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => problem(Reason::TooLarge, large()),
            Ok(Err(error)) => problem(Reason::BadRequest, format!("body: {error}")),
            Err(_) => {
                let wait = limits.body_wait;
                problem(Reason::SlowRequest, format!("body: not here in {wait}"))
            }
        }
    }

    /// Counts and records a request that was refused before it was sent to a home.
    fn record_refusal(&self, id: RequestId, problem: &Problem) {
        self.0.metrics.record_refusal(problem.reason());
        let state = State::Failed {
            code: problem.reason(),
            outcome: Outcome::NotRun,
        };
        self.0.tracker.record(id, state);
    }
}

/// Handler for the state of a request.
pub struct RequestState(pub Arc<Context>);

#[async_trait]
impl Handler for RequestState {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let state = self.state(request).await;
        match state {
            Ok(state) => write_json(response, &state),
            Err(problem) => {
                self.0.metrics.record_refusal(problem.reason());
                problem.write(response);
            }
        }
    }
}

impl RequestState {
    async fn state(&self, request: &Request) -> Result<State, Box<Problem>> {
        authorise(&self.0.config.borrow(), request.headers())?;
        let id = request.param::<String>("id").unwrap_or_default();
        let unknown = || Box::new(Problem::new(Reason::NoRequest));
        let id = id.parse::<RequestId>().map_err(|_| unknown())?;
        let state = self.0.states.find(&self.0, id).await;
        state.ok_or_else(unknown)
    }
}

/// Liveness handler: the process runs.
pub struct Live;

#[async_trait]
impl Handler for Live {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.render("live\n");
    }
}

/// Readiness handler: whether the daemon serves callers.
pub struct Ready(pub Arc<Context>);

#[async_trait]
impl Handler for Ready {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.0.unready_reason() {
            None => response.render("ready\n"),
            Some(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.render(format!("{reason}\n"));
            }
        }
    }
}

/// Handler for the metrics, as OpenMetrics text.
pub struct MetricsPage(pub Arc<Context>);

#[async_trait]
impl Handler for MetricsPage {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(OPENMETRICS));
        response.body = ResBody::Once(self.0.metrics.text().into());
    }
}

fn write_json(response: &mut Response, value: &impl serde::Serialize) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let text = serde_json::to_vec(value).unwrap_or_default();
    response.body = ResBody::Once(text.into());
}
