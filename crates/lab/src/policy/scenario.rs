//! What happens during a run: load, bursts and faults.

use super::size::Size;
use super::trace::Accounts;

/// Whose requests come on top of the steady ones.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BurstKind {
    /// New chats of one institution.
    Institution(usize),
    /// Many callers in one chat with a long prompt.
    Chat,
}

/// A burst of requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Burst {
    /// Whose.
    pub kind: BurstKind,
    /// Rate added, as a multiple of the usual one.
    pub factor: f64,
    /// Start, in seconds of model time.
    pub from: f64,
    /// End, in seconds of model time.
    pub until: f64,
}

/// One thing that happens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Event {
    /// A new endpoint, with an empty cache, takes work.
    Join(usize),
    /// An endpoint takes no new work and finishes what runs.
    Leave(usize),
    /// An endpoint is lost with all that runs on it; its cache stays.
    Down(usize),
    /// A lost endpoint is back.
    Up(usize),
    /// A daemon begins a graceful stop.
    Stop(usize),
    /// A daemon starts, knowing nothing.
    Start(usize),
    /// Each daemon misses some of the others for a while.
    Disagree,
    /// All see the same daemons again.
    Agree,
    /// The platform's service stops answering.
    OutageBegins,
    /// The platform's service answers again.
    OutageEnds,
}

/// An event and when it happens, in milliseconds of model time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Timed {
    /// When.
    pub at: u64,
    /// What.
    pub event: Event,
}

/// One scenario.
#[derive(Clone, PartialEq, Debug)]
pub struct Scenario {
    /// Its name in the output.
    pub name: &'static str,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Bursts on top.
    pub bursts: Vec<Burst>,
    /// Events in order.
    pub events: Vec<Timed>,
    /// The institution that bursts, if one does.
    pub bursting: Option<usize>,
}

/// Names of all scenarios.
pub const NAMES: [&str; 12] = [
    "steady", "join", "leave", "flap", "churn", "restart", "disagree", "surge", "hot-chat",
    "outage", "load-95", "load-130",
];

/// Usual offered load.
const USUAL: f64 = 0.7;
/// How long a disagreement lasts, in milliseconds.
const DISAGREE: u64 = 8000;
/// How long a flapping endpoint is away, and back, in milliseconds.
const FLAP: u64 = 10_000;
/// How long a stopped daemon is away, in milliseconds.
const AWAY: u64 = 8000;
/// Factor of an institution's surge.
const SURGE: f64 = 9.0;
/// Rate on a hot chat, as a share of all.
const HOT: f64 = 0.25;

struct Plan<'a> {
    size: &'a Size,
    events: Vec<Timed>,
}

impl Plan<'_> {
    /// A point of the measured time, by share.
    fn at(&self, share: f64) -> u64 {
        self.size.warm * 1000 + (self.size.measured as f64 * 1000.0 * share) as u64
    }

    fn add(&mut self, at: u64, event: Event) {
        self.events.push(Timed { at, event });
    }

    /// Endpoints touched at once: one, or one in fifty.
    fn some(&self) -> usize {
        self.size.endpoints().div_ceil(50)
    }

    fn spread(&self, n: usize) -> usize {
        n * self.size.endpoints() / self.some() % self.size.endpoints()
    }

    fn each(&mut self, at: u64, event: impl Fn(usize) -> Event) {
        for n in 0..self.some() {
            let endpoint = self.spread(n);
            self.add(at, event(endpoint));
        }
    }

    fn join(&mut self) {
        self.each(0, Event::Down);
        let at = self.at(0.25);
        self.each(at, Event::Join);
    }

    fn flap(&mut self) {
        let mut at = self.at(0.1);
        while at + 2 * FLAP < self.at(0.9) {
            self.each(at, Event::Down);
            self.each(at + FLAP, Event::Up);
            at += 3 * FLAP;
        }
    }

    /// Endpoints leave and new ones join, one at a time, all along.
    fn churn(&mut self) {
        let rounds = 8;
        for round in 0..rounds {
            let at = self.at(0.05 + 0.9 * f64::from(round) / f64::from(rounds));
            let back = self.at(0.05 + 0.9 * (f64::from(round) + 0.5) / f64::from(rounds));
            for n in 0..self.some() {
                let endpoint = (self.spread(n) + 3 * round as usize) % self.size.endpoints();
                self.add(at, Event::Leave(endpoint));
                self.add(back, Event::Join(endpoint));
            }
        }
    }

    fn restart(&mut self) {
        let daemons = self.size.daemons();
        let step = (self.at(0.9) - self.at(0.1)) / daemons as u64;
        for daemon in 0..daemons {
            let at = self.at(0.1) + step * daemon as u64;
            self.add(at, Event::Stop(daemon));
            self.add(at + AWAY, Event::Start(daemon));
        }
    }

    fn disagree(&mut self) {
        for share in [0.1, 0.4, 0.7] {
            let at = self.at(share);
            self.add(at, Event::Disagree);
            self.add(at + DISAGREE, Event::Agree);
        }
    }

    fn outage(&mut self) {
        let (from, until) = (self.at(0.2), self.at(0.8));
        self.add(from, Event::OutageBegins);
        let at = self.at(0.4);
        self.each(at, Event::Down);
        self.add(until, Event::OutageEnds);
    }
}

impl Scenario {
    /// The scenario of this name.
    pub fn named(name: &str, size: &Size) -> Option<Self> {
        let name = NAMES.into_iter().find(|known| *known == name)?;
        let mut plan = Plan {
            size,
            events: Vec::new(),
        };
        let mut load = USUAL;
        let mut bursts = Vec::new();
        let mut bursting = None;
        let (from, until) = (plan.at(0.3) as f64 / 1000.0, plan.at(0.7) as f64 / 1000.0);
        let mut burst = |kind, factor| {
            bursts.push(Burst {
                kind,
                factor,
                from,
                until,
            });
        };
        match name {
            "join" => plan.join(),
            "leave" => {
                let at = plan.at(0.25);
                plan.each(at, Event::Leave);
            }
            "flap" => plan.flap(),
            "churn" => plan.churn(),
            "restart" => plan.restart(),
            "disagree" => plan.disagree(),
            "outage" => plan.outage(),
            "surge" => {
                let institution = surging(size);
                bursting = Some(institution);
                burst(BurstKind::Institution(institution), SURGE);
            }
            "hot-chat" => burst(BurstKind::Chat, HOT),
            "load-95" => load = 0.95,
            "load-130" => load = 1.3,
            _ => {}
        }
        plan.events.sort_by_key(|timed| timed.at);
        Some(Self {
            name,
            load,
            bursts,
            events: plan.events,
            bursting,
        })
    }
}

/// The institution whose share of the requests is nearest to a sixth.
fn surging(size: &Size) -> usize {
    let accounts = Accounts::new(size);
    let off = |institution: &usize| (accounts.institution_share(*institution) - 1.0 / 6.0).abs();
    (0..size.institutions)
        .min_by(|a, b| off(a).total_cmp(&off(b)))
        .unwrap_or(0)
}
