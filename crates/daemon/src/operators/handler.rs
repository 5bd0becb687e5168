//! Authenticates operators and reads their requests.

use std::sync::Arc;

use bytes::Bytes;
use medlarrill_core::config::KeyHash;
use medlarrill_core::operator::answer;
use medlarrill_core::reason::Reason;
use salvo::http::ResBody;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use subtle::{Choice, ConstantTimeEq};
use tokio::time::timeout;

use super::run::run;
use crate::context::Context;
use crate::entry::{Problem, bearer};

/// Maximum size of a request body, bytes: the longest text of statements, escaped as JSON.
const MAX_BODY: usize = 2 * medlarrill_core::operator::MAX_TEXT + (64 << 10);

/// Result of serving an operator.
type Result<T> = std::result::Result<T, Box<Problem>>;

/// HTTP handler of operators' requests.
pub struct Operators(pub Arc<Context>);

#[async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.serve(request).await {
            Ok(answer) => {
                let json = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, json);
                response.body = ResBody::Once(answer);
            }
            Err(problem) => problem.write(response),
        }
    }
}

impl Operators {
    async fn serve(&self, request: &mut Request) -> Result<Bytes> {
        let key = bearer(request.headers());
        if !key.is_some_and(|key| is_operator(&self.0.settings.keys.operators, key)) {
            self.0.metrics.unauthorised.inc();
            return Err(Box::new(Problem::new(Reason::Unauthorised)));
        }
        let body = self.read_body(request).await?;
        let request = serde_json::from_slice::<answer::Request>(&body).map_err(|error| {
            let detail = format!("body: {error}");
            Box::new(Problem::new(Reason::BadRequest).with_detail(detail))
        })?;
        let context = Arc::clone(&self.0);
        // A change is completed even if the operator disconnects.
        let answer = tokio::spawn(run(context, request)).await;
        let answer = answer.map_err(|_| Box::new(Problem::new(Reason::Internal)))?;
        let text = serde_json::to_vec(&answer);
        let text = text.map_err(|_| Box::new(Problem::new(Reason::Internal)))?;
        Ok(text.into())
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes> {
        let wait = self.0.settings.limits.body_wait.as_duration();
        let read = timeout(wait, request.payload_with_max_size(MAX_BODY)).await;
        let reason = match read {
            Ok(Ok(body)) => return Ok(body.clone()),
            Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => Reason::TooLarge,
            Ok(Err(_)) => Reason::BadRequest,
            Err(_) => Reason::SlowRequest,
        };
        Err(Box::new(Problem::new(reason)))
    }
}

/// Whether a key is an operator's; compares in constant time.
fn is_operator(operators: &[KeyHash], key: &[u8]) -> bool {
    let hash = KeyHash::of(key);
    let none = Choice::from(0);
    let known = operators
        .iter()
        .fold(none, |known, operator| known | operator.0.ct_eq(&hash.0));
    known.into()
}
