//! Broken promises.

use derive_more::{Debug, Display};

use super::endless::LeftLate;

/// A broken promise.
#[derive(Clone, PartialEq, Eq, Debug)]
#[derive(Display)]
pub enum Violation {
    /// An answer isn't the request's own.
    #[display("{request} got an answer that isn't its own: {answer}")]
    Mixed {
        /// The request.
        request: String,
        /// The answer, in words.
        answer: String,
    },
    /// A request ran too often.
    #[display("{request} ran {runs} times")]
    Repeated {
        /// The request.
        request: String,
        /// Its runs.
        runs: usize,
    },
    /// A refusal said that a request hasn't run, and it has.
    #[display("{request} was refused with {status} and has run")]
    Untrue {
        /// The request.
        request: String,
        /// The status.
        status: u16,
    },
    /// A caller's key came through, or another account's name.
    #[display("{request} reached an endpoint with a key or the wrong account")]
    Leaked {
        /// The request.
        request: String,
    },
    /// A request was lost with nothing but planned work around.
    #[display("{request} at daemon {daemon} was lost in planned work: {reply}")]
    Lost {
        /// The request.
        request: String,
        /// The daemon.
        daemon: usize,
        /// What came, in words.
        reply: String,
    },
    /// A leaving endpoint got new work.
    #[display("{request} reached {endpoint} {late} ms after it was leaving")]
    Drained {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Time since the platform knew.
        late: u128,
    },
    /// An endpoint got work of a daemon that had passed on an answer that said that it leaves.
    #[display("{request} reached e-{endpoint} {late} ms after an answer had said that it leaves")]
    Heard {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: usize,
        /// Time since that answer had ended.
        late: u128,
    },
    /// An endpoint got work of a daemon that it had asked for a pause.
    #[display("e-{endpoint} got {requests} requests of daemon {daemon} in the pause it asked for")]
    Unpaused {
        /// The endpoint.
        endpoint: usize,
        /// The daemon.
        daemon: usize,
        /// The requests.
        requests: usize,
    },
    /// A daemon that had lost its paths to all endpoints served too little.
    #[display("daemon {daemon} served {served} of {sent} requests while it was cut off")]
    CutOff {
        /// The daemon.
        daemon: usize,
        /// Requests that were served.
        served: usize,
        /// Requests.
        sent: usize,
    },
    /// An endpoint in a drained data centre got new work.
    #[display("{request} reached {endpoint} {late} ms after its data centre was drained")]
    Evacuated {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: String,
        /// Time since the platform knew.
        late: u128,
    },
    /// An endpoint that has to be spared got too many requests in a second.
    #[display("e-{endpoint} got {runs} requests in a second while it had to be spared")]
    Flooded {
        /// The endpoint.
        endpoint: usize,
        /// The requests.
        runs: usize,
    },
    /// A request failed after all trouble had ended.
    #[display("{request} at daemon {daemon} failed after recovery: {reply}")]
    NotRecovered {
        /// The request.
        request: String,
        /// The daemon.
        daemon: usize,
        /// What came, in words.
        reply: String,
    },
    /// A request that ended endpoints was sent on and on.
    #[display("requests that had ended endpoints were sent to {runs} more once all had to know")]
    Crashed {
        /// Endpoints that it reached once all had to know.
        runs: usize,
    },
    /// A stream holds events of several software versions.
    #[display("the stream of {request} holds events of {builds:?}")]
    Versions {
        /// The attempt that began it.
        request: String,
        /// The versions.
        builds: Vec<String>,
    },
    /// Too few streams went on that callers took up.
    #[display(
        "{went_on} of {taken_up} streams that were taken up went on, {share} of new ones begin"
    )]
    TakeUps {
        /// Streams that went on.
        went_on: usize,
        /// Streams that were taken up.
        taken_up: usize,
        /// Share of new streams that begin, in hundredths.
        share: usize,
    },
    /// Sound requests were served less than half as often as before, beside requests that end
    /// endpoints.
    #[display("{served} of {sent} sound requests were served, {before} in a hundred before")]
    Starved {
        /// Requests that were served.
        served: usize,
        /// Requests.
        sent: usize,
        /// Share that was served before, in hundredths.
        before: usize,
    },
    /// An answer was ended by its daemon before its deadline.
    #[display("{request} at daemon {daemon} ended {early} ms before its deadline: {reply}")]
    EndedEarly {
        /// The request.
        request: String,
        /// The daemon.
        daemon: usize,
        /// What came, in words.
        reply: String,
        /// Time left.
        early: u128,
    },
    /// A request was handled by an older version than it had to be.
    #[display("{request} at daemon {daemon}: {what}")]
    Outdated {
        /// The request, with its key.
        request: String,
        /// The daemon.
        daemon: usize,
        /// What is wrong.
        what: &'static str,
    },
    /// A success came that isn't whole.
    #[display("{request} at daemon {daemon} got a success that isn't whole: {reply}")]
    Broken {
        /// The request.
        request: String,
        /// The daemon.
        daemon: usize,
        /// What came, in words.
        reply: String,
    },
    /// An endpoint that is listed got no work.
    #[display("e-{_0} got no work though it is listed")]
    Ignored(usize),
    /// An endpoint was left late.
    LeftLate(LeftLate),
    /// A daemon ended by itself.
    #[display("daemon {_0} ended by itself")]
    Ended(usize),
}
