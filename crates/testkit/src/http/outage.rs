//! Outages of a whole stand-in.

use derive_more::Display;
use hyper::StatusCode;
use medlarrill_core::clock::Millis;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::{Cut, Result, error, refuse};

/// Seconds in the `Retry-After` of an outage.
const RETRY_AFTER: u64 = 1;

/// How a stand-in that is down meets a call.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// New connections are refused, and calls on old ones cut.
    ///
    /// Over HTTP it needs a time to last, for no call can end it.
    Refuse,
    /// The connection is closed when the call has come.
    Cut,
    /// The answer is 503 with `Retry-After`.
    Unavailable,
    /// No answer comes until the outage ends; then the connection is closed.
    Hang,
}

/// An outage as it is asked for.
#[derive(Clone, Default, Debug)]
pub struct Plan {
    /// The outage, or none.
    pub outage: Option<Outage>,
    /// How long it lasts; zero means until another plan.
    pub lasting: Millis,
    /// The VM whose calls alone are met by it, which are then cut and not refused.
    pub vm: Option<String>,
}

/// Turns outages on and off.
#[derive(Clone, Debug)]
pub struct Switch(watch::Sender<State>);

#[derive(Clone, Default, Debug)]
struct State {
    plan: Plan,
    /// Counts plans, so that an outage which lasts for a time ends only itself.
    number: u64,
}

impl Plan {
    /// Answers 400 to a plan that no call could end.
    pub fn check(&self) -> Result<()> {
        if self.refuses() && self.lasting == Millis::ZERO {
            let text = "`refuse` needs `lasting`: no call could end it";
            return Err(error(StatusCode::BAD_REQUEST, text).into());
        }
        Ok(())
    }

    fn refuses(&self) -> bool {
        self.outage == Some(Outage::Refuse) && self.vm.is_none()
    }

    fn for_caller(&self, caller: Option<&str>) -> Option<Outage> {
        let meant = self.vm.is_none() || self.vm.as_deref() == caller;
        self.outage.filter(|_| meant)
    }
}

impl Default for Switch {
    fn default() -> Self {
        Self(watch::Sender::new(State::default()))
    }
}

impl Switch {
    /// Follows `plan` from now on. A plan that lasts for a time needs a runtime.
    pub fn set(&self, plan: Plan) {
        let lasting = plan.lasting;
        let mut number = 0;
        self.0.send_modify(|state| {
            state.plan = plan;
            state.number += 1;
            number = state.number;
        });
        if lasting > Millis::ZERO {
            tokio::spawn(self.clone().end(number, lasting));
        }
    }

    /// The outage that `caller` meets now.
    pub fn outage(&self, caller: Option<&str>) -> Option<Outage> {
        self.0.borrow().plan.for_caller(caller)
    }

    /// Makes a call, unless an outage goes on or begins meanwhile.
    pub async fn guard(&self, caller: Option<&str>, call: impl Future<Output = Result>) -> Result {
        let down = self.wait(|plan| plan.for_caller(caller).is_some());
        // An outage that has begun goes first, so that no call slips through.
        tokio::select! {
            biased;
            () = down => self.meet(caller).await,
            answer = call => answer,
        }
    }

    /// Waits until connections are refused, or no longer refused.
    pub(super) async fn refusing(&self, refusing: bool) {
        self.wait(|plan| plan.refuses() == refusing).await;
    }

    async fn meet(&self, caller: Option<&str>) -> Result {
        match self.outage(caller) {
            Some(Outage::Unavailable) => {
                Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER, "down"))
            }
            Some(Outage::Hang) => {
                self.wait(|plan| plan.for_caller(caller) != Some(Outage::Hang))
                    .await;
                Err(Cut.into())
            }
            Some(Outage::Cut | Outage::Refuse) | None => Err(Cut.into()),
        }
    }

    async fn wait(&self, until: impl Fn(&Plan) -> bool) {
        let mut states = self.0.subscribe();
        // The sender is held by `self`, so that the wait can't fail.
        let _ = states.wait_for(|state| until(&state.plan)).await;
    }

    async fn end(self, number: u64, after: Millis) {
        tokio::time::sleep(after.as_duration()).await;
        self.0.send_if_modified(|state| {
            let own = state.number == number;
            if own {
                state.plan = Plan::default();
            }
            own
        });
    }
}
