//! Streams, endpoints and silences in model time, in milliseconds.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const STEP: u64 = 10;
const END: u64 = 16_000;
const SILENT_FROM: u64 = 5000;
/// Time between two streams.
const ARRIVAL: u64 = 20;
const EVENTS: u64 = 20;
const PACE: u64 = 60;
const DEADLINE: u64 = 3900;
/// Silence of a stream after which a rule acts.
const STUCK: u64 = 600;
/// Time until an endpoint answers a stream that goes on there.
const HEAD: u64 = 60;
/// Silence after which an endpoint is taken to hang, however many others are silent.
const HANGS: u64 = 3000;
/// Streams that an endpoint runs at a time.
const ROOM: usize = 16;

/// What is done with a stream whose endpoint is silent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// It is let go, then a successor is looked for.
    LetGoFirst,
    /// A repeat is taken and a place found, then it is let go.
    AskFirst,
    /// It is kept until a successor has begun to answer.
    KeepUntilBegun,
    /// The same, but not while many endpoints are silent.
    KeepUnlessCommon,
    /// Nothing.
    Wait,
}

impl Rule {
    pub const ALL: [Self; 5] = [
        Self::LetGoFirst,
        Self::AskFirst,
        Self::KeepUntilBegun,
        Self::KeepUnlessCommon,
        Self::Wait,
    ];
}

/// Which endpoints fall silent, for how long, and the budget of repeats.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    silent: usize,
    lasts: Option<u64>,
    /// Repeats for each stream.
    budget: f64,
}

const ENDPOINTS: usize = 9;

impl Scenario {
    pub fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for (silent, lasts) in [
            (1, Some(1100)),
            (5, Some(1100)),
            (9, Some(1100)),
            (9, Some(2000)),
            (1, None),
            (5, None),
        ] {
            for budget in [0.1, 0.0] {
                all.push(Self {
                    silent,
                    lasts,
                    budget,
                });
            }
        }
        all
    }

    pub fn name(&self) -> String {
        let Self { silent, lasts, .. } = self;
        let lasts = lasts.map_or_else(|| "for good".into(), |lasts| format!("{lasts} ms"));
        format!("{silent} of {ENDPOINTS}, {lasts}")
    }

    pub fn budget_name(&self) -> String {
        format!("{:.0} in 100", self.budget * 100.0)
    }

    fn is_silent(&self, endpoint: usize, now: u64) -> bool {
        let ends = self.lasts.map_or(u64::MAX, |lasts| SILENT_FROM + lasts);
        endpoint < self.silent && now >= SILENT_FROM && now < ends
    }
}

/// What came of the streams that met a silent endpoint.
#[derive(Clone, Copy, Default, Debug)]
pub struct Seen {
    pub met: u64,
    /// Ended before their deadline, and not complete.
    pub cut: u64,
    /// Not complete at their deadline.
    pub late: u64,
    pub repeats: u64,
    /// Those that went on elsewhere, and for how long their endpoint had been silent, summed.
    pub moved: u64,
    pub moved_after: u64,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    endpoint: usize,
    /// When it gives its next event.
    next: u64,
    /// When it last gave one.
    heard: u64,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    deadline: u64,
    events: u64,
    source: Source,
    successor: Option<Source>,
    runs: u32,
    met: bool,
}

struct World<'a> {
    scenario: &'a Scenario,
    rule: Rule,
    streams: Vec<Stream>,
    tokens: f64,
    seen: Seen,
    rng: Pcg32,
}

/// Plays a scenario by a rule.
pub fn play(scenario: &Scenario, rule: Rule, seed: u64) -> Seen {
    let mut world = World {
        scenario,
        rule,
        streams: Vec::new(),
        tokens: 0.0,
        seen: Seen::default(),
        rng: Pcg32::seed_from_u64(seed),
    };
    for now in (0..END).step_by(STEP as usize) {
        if now % ARRIVAL == 0 && now < END - DEADLINE {
            world.arrive(now);
        }
        let streams = std::mem::take(&mut world.streams);
        for stream in streams {
            let stream = world.advance(stream, now);
            world.streams.extend(stream);
        }
    }
    world.seen
}

impl World<'_> {
    fn arrive(&mut self, now: u64) {
        self.tokens = (self.tokens + self.scenario.budget).min(20.0);
        if let Some(endpoint) = self.draw(None) {
            self.streams.push(Stream {
                deadline: now + DEADLINE,
                events: 0,
                source: Source::begin(endpoint, now),
                successor: None,
                runs: 1,
                met: false,
            });
        }
    }

    /// An endpoint that isn't full, other than one.
    fn draw(&mut self, other: Option<usize>) -> Option<usize> {
        let load = |endpoint: usize| {
            let sources = self.streams.iter().flat_map(Stream::sources);
            sources.filter(|source| source.endpoint == endpoint).count()
        };
        let open: Vec<usize> = (0..ENDPOINTS)
            .filter(|endpoint| Some(*endpoint) != other && load(*endpoint) < ROOM)
            .collect();
        match open.is_empty() {
            true => None,
            false => Some(open[self.rng.random_range(0..open.len())]),
        }
    }

    /// Whether many of the endpoints with streams are silent, as far as the streams tell.
    fn is_common(&self, now: u64) -> bool {
        let mut heard = [None; ENDPOINTS];
        for source in self.streams.iter().flat_map(Stream::sources) {
            let last: &mut Option<u64> = &mut heard[source.endpoint];
            *last = (*last).max(Some(source.heard));
        }
        let known: Vec<u64> = heard.into_iter().flatten().collect();
        let silent = known.iter().filter(|at| now - **at >= STUCK / 2).count();
        silent >= 2 && silent * 3 >= known.len()
    }

    /// The stream a moment later; none if it has ended.
    fn advance(&mut self, mut stream: Stream, now: u64) -> Option<Stream> {
        let is_silent = self.scenario.is_silent(stream.source.endpoint, now);
        if is_silent && !stream.met {
            stream.met = true;
            self.seen.met += 1;
        }
        if now >= stream.deadline {
            self.seen.late += u64::from(stream.met);
            return None;
        }
        stream.events += u64::from(stream.source.speaks(self.scenario, now));
        if stream.events >= EVENTS {
            return None;
        }
        if stream.source.heard == now {
            stream.successor = None;
        }
        if let Some(mut successor) = stream.successor
            && successor.speaks(self.scenario, now)
        {
            self.record_move(&stream.source, now);
            stream.source = successor;
            stream.successor = None;
        }
        let is_stuck = now - stream.source.heard >= STUCK && stream.successor.is_none();
        match is_stuck {
            true => self.act(stream, now),
            false => Some(stream),
        }
    }

    fn record_move(&mut self, from: &Source, now: u64) {
        self.seen.moved += 1;
        self.seen.moved_after += now - from.heard;
    }

    fn act(&mut self, mut stream: Stream, now: u64) -> Option<Stream> {
        if self.rule == Rule::Wait {
            return Some(stream);
        }
        let hangs = now - stream.source.heard >= HANGS;
        if self.rule == Rule::KeepUnlessCommon && !hangs && self.is_common(now) {
            return Some(stream);
        }
        let next = match stream.runs < 2 && self.tokens >= 1.0 {
            true => self.draw(Some(stream.source.endpoint)),
            false => None,
        };
        let Some(endpoint) = next else {
            let lets_go = self.rule == Rule::LetGoFirst && stream.runs < 2;
            self.seen.cut += u64::from(lets_go);
            return (!lets_go).then_some(stream);
        };
        self.tokens -= 1.0;
        self.seen.repeats += 1;
        stream.runs += 1;
        let successor = Source::begin(endpoint, now);
        match self.rule {
            Rule::LetGoFirst | Rule::AskFirst => {
                self.record_move(&stream.source, now);
                stream.source = successor;
            }
            _ => stream.successor = Some(successor),
        }
        Some(stream)
    }
}

impl Stream {
    fn sources(&self) -> impl Iterator<Item = &Source> {
        std::iter::once(&self.source).chain(&self.successor)
    }
}

impl Source {
    const fn begin(endpoint: usize, now: u64) -> Self {
        Self {
            endpoint,
            next: now + HEAD,
            heard: now,
        }
    }

    /// Whether it gives an event now.
    fn speaks(&mut self, scenario: &Scenario, now: u64) -> bool {
        if scenario.is_silent(self.endpoint, now) || now < self.next {
            return false;
        }
        self.heard = now;
        self.next = now + PACE;
        true
    }
}
