//! An operator of a test's fleet, and what the tests look at.

use std::net::SocketAddr;

use hyper::Method;
use medlarrill_core::change::{HEAD_KEY, Head};
use medlarrill_core::clock::Millis;
use medlarrill_core::ids::{ChangeId, Generation};
use medlarrill_core::operator::answer::{Answer, OPERATOR_PATH, Request, Verdict};
use medlarrill_testkit::client;
use medlarrill_testkit::fleet::{Fleet, OPERATOR_KEY, metric};
use medlarrill_testkit::wait::until;

/// Longest time that a daemon may take; a test that meets it has failed.
const TIMEOUT: Millis = Millis::from_secs(60);

/// A request of a text, under an identifier of its own.
pub fn request(text: &str) -> Request {
    Request {
        change: ChangeId(rand::random()),
        statements: text.into(),
        wait: false,
        timeout: TIMEOUT,
        base: None,
        repeat: false,
    }
}

/// Sends a request with a key; the status and the body.
pub async fn post(address: SocketAddr, key: &str, body: &str) -> (u16, String) {
    let request = client::request(Method::POST, OPERATOR_PATH)
        .header("Authorization", format!("Bearer {key}"));
    let answer = client::send(address, request, body.to_owned()).await;
    let answer = answer.unwrap();
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    (answer.status().as_u16(), text)
}

/// Asks one daemon of a fleet.
pub async fn ask(fleet: &Fleet, at: usize, request: &Request) -> Answer {
    let address = fleet.daemons[at].started.callers;
    let body = serde_json::to_string(request).unwrap();
    let (status, text) = post(address, OPERATOR_KEY, &body).await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).unwrap()
}

/// Makes a change that must be accepted, and waits until it is in force everywhere.
pub async fn accept(fleet: &Fleet, at: usize, text: &str) -> Generation {
    let request = Request {
        wait: true,
        ..request(text)
    };
    let answer = ask(fleet, at, &request).await;
    assert_eq!(verdicts(&answer), [Verdict::Accepted], "{answer:?}");
    assert_eq!(answer.lagging, [], "{answer:?}");
    answer.generation
}

/// The verdicts of an answer, once each if all are the same.
pub fn verdicts(answer: &Answer) -> Vec<Verdict> {
    let mut verdicts: Vec<_> = answer.results.iter().map(|r| r.verdict).collect();
    verdicts.dedup();
    verdicts
}

/// The rows that answer one question.
pub async fn rows(fleet: &Fleet, at: usize, question: &str) -> Vec<Vec<String>> {
    let answer = ask(fleet, at, &request(question)).await;
    let table = answer.results[0].table.clone();
    table.unwrap_or_else(|| panic!("{answer:?}")).rows
}

/// The generation that a daemon has in force.
pub async fn generation(fleet: &Fleet, at: usize) -> Option<f64> {
    metric(fleet.daemons[at].started.callers, "medlarrill_generation").await
}

/// Waits until a daemon has a generation in force.
pub async fn in_force(fleet: &Fleet, at: usize, wanted: f64) {
    let reached = async || generation(fleet, at).await >= Some(wanted);
    until("the generation is in force", reached).await;
}

/// The head that the platform holds.
pub fn head(fleet: &Fleet) -> Head {
    let object = fleet.platform.object(HEAD_KEY).unwrap();
    Head::read(&object.body).unwrap()
}
