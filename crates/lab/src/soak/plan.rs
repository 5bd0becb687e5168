//! The faults of one soak, drawn from its seed.

mod builds;
mod endless;
mod fault;
mod heads;
mod losses;
mod odd;
mod parts;
mod releases;
mod restores;
mod silences;

pub use self::fault::{Cut, Fault, Foreign};
pub use self::odd::Odd;

use std::time::Duration;

use derive_more::Debug;
use medlarrill_platform_standin::{
    Behaviour, Crash, End, Ending, Form, Framing, LineEnd, Outage, Place,
};
use medlarrill_testkit::proxy::Harm;
use rand::RngExt;
use rand_pcg::Pcg32;

/// Mean pause between two faults; several last longer, so that they overlap.
const PAUSE_MS: u64 = 700;
/// Time at the start without faults.
const CALM: Duration = Duration::from_millis(1500);

/// A fault and its time.
#[derive(Clone, PartialEq, Debug)]
pub struct Event {
    /// Time since the start of traffic.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The begin or the end of an event.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Step<'a> {
    /// Time since the start of traffic.
    pub at: Duration,
    /// Whether the event begins.
    pub begins: bool,
    /// The event.
    pub event: &'a Event,
}

/// A soak.
#[derive(Clone, PartialEq, Debug)]
pub struct Plan {
    /// Daemons.
    pub daemons: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Faults.
    pub events: Vec<Event>,
    /// Whether endpoints tell when they started.
    pub births: bool,
    /// Path of a request that comes again and again and ends each endpoint that runs it.
    pub crashing: Option<&'static str>,
    /// How endpoints end if it is a part of that request's prompt that ends them, and its body is
    /// another one each time.
    pub part: Option<Crash>,
    /// Whether every second endpoint runs in another data centre, and all have a slow start.
    pub places: bool,
    /// How each endpoint writes its answers.
    pub forms: Vec<Form>,
    /// Whether endpoints have software versions, which their events name, and callers take up
    /// streams that broke off.
    pub builds: bool,
    /// Time between events and for plain answers, if it isn't the usual one.
    pub pace: Option<Duration>,
    /// Retries of the fleet in ten seconds beyond a fifth of its requests.
    pub slack: u32,
    /// Whether versions of the configuration change limits and target gaps, too.
    pub has_limits: bool,
    /// Whether callers leave streams before their ends, and take them up.
    pub leaves: bool,
    /// Whether callers whose daemons are lost come back until their streams go on.
    pub losses: bool,
    /// A daemon that hears nothing of the others, nor they of it.
    pub apart: Option<usize>,
    /// Whether the store goes back; each version has a key of its own then.
    pub restores: bool,
}

impl Plan {
    /// Draws a plan.
    pub fn new(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            daemons: rng.random_range(2..=5),
            endpoints: rng.random_range(3..=6),
            events: Vec::new(),
            births: false,
            crashing: None,
            part: None,
            places: false,
            forms: Vec::new(),
            builds: false,
            pace: None,
            slack: 1000,
            has_limits: false,
            leaves: false,
            losses: false,
            apart: None,
            restores: false,
        };
        plan.forms = vec![Form::DEFAULT; plan.endpoints];
        // A fifth of the soaks hold planned work only, so that its stricter promises are checked.
        let planned = rng.random_bool(0.2);
        let mut at = CALM;
        while at < length {
            let fault = plan.draw(rng);
            if fault.is_planned() || !planned {
                plan.events.push(Event { at, fault });
            }
            at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        plan
    }

    /// Adds what happens to entries, but for soaks of planned work only. Drawn from numbers of its
    /// own, so that the rest of a seed's plan stays as it was.
    pub fn with_entries(mut self, rng: &mut Pcg32, length: Duration) -> Self {
        self.births = rng.random_bool(0.7);
        if self.events.iter().all(|event| event.fault.is_planned()) {
            return self;
        }
        let mut at = CALM;
        while at < length {
            at += Duration::from_millis(rng.random_range(0..4 * PAUSE_MS));
            let fault = self.draw_entry(rng);
            self.events.push(Event { at, fault });
        }
        self
    }

    /// Adds a request that ends endpoints, to half of the soaks in which these tell when they
    /// started; by that their starts are told apart. Drawn from numbers of its own, too.
    pub fn with_crashing(mut self, rng: &mut Pcg32) -> Self {
        let is_planned = self.events.iter().all(|event| event.fault.is_planned());
        let paths = ["/plain/x", "/once/x", "/stream/x", "/stream-once/x"];
        let path = paths[rng.random_range(0..paths.len())];
        let comes = rng.random_bool(0.5) && self.births && !is_planned;
        self.crashing = comes.then_some(path);
        self
    }

    /// Adds drains of a data centre and endpoints that have to be spared, to half of the soaks.
    /// Drawn from numbers of its own, too.
    pub fn with_places(mut self, rng: &mut Pcg32, length: Duration) -> Self {
        self.places = rng.random_bool(0.5);
        let mut at = CALM;
        while self.places && at < length {
            let lasts = Duration::from_millis(rng.random_range(3000..6000));
            let fault = match rng.random_bool(0.3) {
                true => Fault::DrainCentre(lasts),
                false => Fault::Warm(rng.random_range(0..self.endpoints), lasts),
            };
            self.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..4 * PAUSE_MS));
        }
        self
    }

    /// Adds endpoints that say in their answers that they leave or want a pause, to half of the
    /// soaks in which endpoints tell when they started. Drawn from numbers of its own, too.
    pub fn with_notices(mut self, rng: &mut Pcg32, length: Duration) -> Self {
        let is_planned = self.events.iter().all(|event| event.fault.is_planned());
        let has_notices = rng.random_bool(0.5) && self.births;
        let mut at = CALM;
        while has_notices && at < length {
            let lasts = Duration::from_millis(rng.random_range(2000..5000));
            let endpoint = rng.random_range(0..self.endpoints);
            let fault = match is_planned || rng.random_bool(0.5) {
                true => Fault::Leave(endpoint, lasts),
                false => Fault::Pause(endpoint, lasts),
            };
            self.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..6 * PAUSE_MS));
        }
        self
    }

    /// Has endpoints mark the ends of their answers in different ways and end connections in
    /// different ways when answers break off, in half of the soaks; more break off there. Drawn from
    /// numbers of its own, too.
    pub fn with_forms(mut self, rng: &mut Pcg32, length: Duration) -> Self {
        if !rng.random_bool(0.5) {
            return self;
        }
        let lines = [LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr][rng.random_range(0..3)];
        for form in &mut self.forms {
            *form = draw_form(rng, lines, self.crashing.is_some());
        }
        let is_planned = self.events.iter().all(|event| event.fault.is_planned());
        let mut at = CALM;
        while !is_planned && at < length {
            let cuts = Behaviour {
                cuts: rng.random_range(0.1..1.0),
                ..Behaviour::default()
            };
            let endpoint = rng.random_range(0..self.endpoints);
            let lasts = Duration::from_millis(rng.random_range(1000..4000));
            let fault = Fault::Behave(endpoint, Box::new(cuts), lasts);
            self.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..6 * PAUSE_MS));
        }
        self
    }

    /// Adds daemons that lose their paths to all endpoints, but for soaks of planned work only: one
    /// after the other, or all at once. Drawn from numbers of its own, too.
    pub fn with_cuts(self, rng: &mut Pcg32, length: Duration) -> Self {
        match self.events.iter().all(|event| event.fault.is_planned()) {
            true => self,
            false => self.with_cut_daemons(rng, length),
        }
    }

    /// Draws a plan in which daemons lose their paths to all endpoints, and hardly anything else
    /// happens, so that it shows what they serve meanwhile.
    pub fn of_cuts(rng: &mut Pcg32, length: Duration) -> Self {
        let mut plan = Self {
            events: Vec::new(),
            ..Self::new(rng, Duration::ZERO)
        };
        let mut at = CALM;
        while at < length {
            let fault = match rng.random_range(0..3) {
                0 => Fault::Reload(rng.random_range(0..plan.daemons)),
                1 => Fault::Forget,
                _ => Fault::Configure,
            };
            plan.events.push(Event { at, fault });
            at += Duration::from_millis(rng.random_range(0..4 * PAUSE_MS));
        }
        plan.with_cut_daemons(rng, length)
    }

    fn with_cut_daemons(mut self, rng: &mut Pcg32, length: Duration) -> Self {
        let mut at = CALM;
        while at < length {
            let lasts = Duration::from_millis(rng.random_range(1500..4500));
            let cut = [Cut::Hang, Cut::Reset, Cut::NewOnly][rng.random_range(0..3)];
            let all = rng.random_bool(0.2);
            let one = rng.random_range(0..self.daemons);
            for daemon in (0..self.daemons).filter(|daemon| all || *daemon == one) {
                let fault = Fault::CutOff(daemon, cut, lasts);
                self.events.push(Event { at, fault });
            }
            at += lasts + Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
        }
        self
    }

    fn draw_entry(&self, rng: &mut Pcg32) -> Fault {
        let endpoint = rng.random_range(0..self.endpoints);
        let length = Duration::from_millis(rng.random_range(200..3500));
        let foreign = match rng.random_range(0..8) {
            0 => Foreign::Text,
            1 => Foreign::Missing,
            2 => Foreign::OtherType,
            3 => Foreign::State,
            _ => return Fault::Restart(endpoint),
        };
        Fault::Foreign(endpoint, foreign, length)
    }

    /// Begins and ends of the events, by time.
    pub fn steps(&self) -> Vec<Step<'_>> {
        let steps = |event| {
            let step = |at, begins| Step { at, begins, event };
            let end = event.at + event.fault.length();
            [step(event.at, true), step(end, false)]
        };
        let mut steps: Vec<Step<'_>> = self.events.iter().flat_map(steps).collect();
        steps.sort_by_key(|step| step.at);
        steps
    }

    fn draw(&self, rng: &mut Pcg32) -> Fault {
        let daemon = rng.random_range(0..self.daemons);
        let endpoint = rng.random_range(0..self.endpoints);
        let length = Duration::from_millis(rng.random_range(200..3500));
        match rng.random_range(0..14) {
            0 | 1 => Fault::Stop(daemon),
            2 => Fault::Kill(daemon),
            3 => Fault::Freeze(daemon, length),
            4 => Fault::Reload(daemon),
            5 => Fault::HarmStore(daemon, harm(rng), length),
            6 => Fault::HarmEndpoint(endpoint, harm(rng), length),
            7 => Fault::Store(outage(rng), length),
            8 => Fault::Forget,
            9 => Fault::Configure,
            10 | 11 => Fault::Behave(endpoint, Box::new(behaviour(rng)), length),
            12 => Fault::Drain(endpoint, length),
            _ => Fault::Unlist(endpoint, length),
        }
    }
}

/// Draws how an endpoint writes its answers. If it may end at any moment, its answers have marks: the
/// end of one without can't be told from that of a complete answer between two events.
fn draw_form(rng: &mut Pcg32, lines: LineEnd, may_end: bool) -> Form {
    let framings = [Framing::Chunks, Framing::Length, Framing::None];
    let count = framings.len() - usize::from(may_end);
    let framing = framings[rng.random_range(0..count)];
    let ends = [End::Closed, End::HalfClosed, End::Reset, End::Marked];
    let places = [Place::Middle, Place::FirstLine, Place::BeforeEnd];
    let ending = Ending::new(framing).with_end(ends[rng.random_range(0..ends.len())]);
    Form {
        ending: Some(ending),
        lines,
        cut_event: rng.random_bool(0.5).then(|| rng.random_range(1..=6)),
        cut_place: places[rng.random_range(0..places.len())],
        cuts_streams_only: true,
        ..Form::DEFAULT
    }
}

fn millis(rng: &mut Pcg32, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn harm(rng: &mut Pcg32) -> Harm {
    match rng.random_range(0..5) {
        0 => Harm::Delay(Duration::from_millis(rng.random_range(10..200))),
        1 => Harm::Silence,
        2 => Harm::CutThere,
        3 => Harm::CutBack,
        _ => Harm::Reset,
    }
}

fn outage(rng: &mut Pcg32) -> Outage {
    match rng.random_range(0..3) {
        0 => Outage::Silent,
        1 => Outage::Busy,
        _ => Outage::Reset,
    }
}

fn behaviour(rng: &mut Pcg32) -> Behaviour {
    let mut behaviour = Behaviour::default();
    let share = rng.random_range(0.1..1.0);
    match rng.random_range(0..7) {
        0 => behaviour.fails = share,
        1 => behaviour.full = share,
        2 => behaviour.hangs = share,
        3 => behaviour.drops = share,
        4 => behaviour.cuts = share,
        5 => behaviour.foreign = share,
        _ => behaviour.pace = Duration::from_millis(rng.random_range(50..600)),
    }
    behaviour
}
