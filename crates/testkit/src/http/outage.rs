//! Outages of a whole stand-in.

use derive_more::Display;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::{Cut, Result, refuse};

/// Seconds in the `Retry-After` of an outage.
const RETRY_AFTER: u64 = 1;

/// How a stand-in that is down meets a call.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The connection is closed at once.
    Cut,
    /// The answer is 503 with `Retry-After`.
    Unavailable,
    /// No answer comes until the outage ends; then the connection is closed.
    Hang,
}

/// Turns outages on and off, for all callers or for one VM.
#[derive(Debug)]
pub struct Switch(watch::Sender<State>);

#[derive(Clone, Default, Debug)]
struct State {
    outage: Option<Outage>,
    vm: Option<String>,
}

impl State {
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
    /// Sets the outage; with a `vm` only its calls are met by it.
    pub fn set(&self, outage: Option<Outage>, vm: Option<String>) {
        self.0.send_replace(State { outage, vm });
    }

    /// The outage that `caller` meets now.
    pub fn outage(&self, caller: Option<&str>) -> Option<Outage> {
        self.0.borrow().for_caller(caller)
    }

    /// Lets a call pass, or meets it as the outage says.
    pub async fn pass(&self, caller: Option<&str>) -> Result<()> {
        match self.outage(caller) {
            None => Ok(()),
            Some(Outage::Cut) => Err(Cut.into()),
            Some(Outage::Unavailable) => {
                Err(refuse(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER, "down").into())
            }
            Some(Outage::Hang) => {
                self.wait(caller, |outage| outage != Some(Outage::Hang))
                    .await;
                Err(Cut.into())
            }
        }
    }

    /// Waits until an outage begins for `caller`.
    pub async fn down(&self, caller: Option<&str>) {
        self.wait(caller, |outage| outage.is_some()).await;
    }

    async fn wait(&self, caller: Option<&str>, until: impl Fn(Option<Outage>) -> bool) {
        let mut states = self.0.subscribe();
        // The sender is held by `self`, so the wait can't fail.
        let _ = states
            .wait_for(|state| until(state.for_caller(caller)))
            .await;
    }
}
