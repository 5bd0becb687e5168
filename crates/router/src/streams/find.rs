//! Looks up where a stream began that its caller takes up.

use std::net::SocketAddr;

use derive_more::Debug;
use medlarrill_core::clock::Millis;
use medlarrill_core::routing::config::Route;
use medlarrill_core::routing::streams::history::STREAM_LIFETIME;
use medlarrill_core::routing::streams::lookup::{
    Doubt, Knowledge, LookupError, Place, Reply, Result, Source, told_origin,
};
use medlarrill_core::routing::streams::message::{Message, Question};
use medlarrill_core::routing::streams::{Origin, PoolHash, StreamKey};
use medlarrill_net::now::now;
use medlarrill_platform::store::Kind;
use tokio::sync::mpsc;

use super::archive::{KEPT_WITHIN, Needs};
use super::{Streams, place_of, with_keeper};

/// Time for the answers of other daemons. A VM that has used up its processor share answers up to
/// a tenth of a second late.
const ANSWER_TIMEOUT: Millis = Millis(300);
/// Longest time for which a stream isn't refused while the platform or some of the daemons that were
/// asked are silent: one that stands still for a second knows it when it goes on.
const SILENCE_WAIT: Millis = Millis(1500);
/// The same as a share of the route's timeout, so that the caller may still begin anew.
const SILENCE_SHARE: u64 = 3;
/// Time for which a platform that refuses what it keeps is asked again: it is busy when all daemons
/// have started at once.
const REFUSED_WAIT: Millis = Millis(600);
/// Interval at which a question is sent again, since datagrams are lost.
const ASK_INTERVAL: Millis = Millis(60);

/// Where a stream goes on, and who knew it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Debug)]
pub struct Found {
    /// The pool and software version.
    pub place: Place,
    /// Who knew it.
    pub source: Source,
}

/// A stream that a request takes up.
struct Search<'a> {
    /// None if its caller doesn't name it.
    key: Option<StreamKey>,
    route: &'a Route,
    /// When the request came.
    came: Millis,
    /// Until when it isn't refused while something may still be learnt.
    until: Millis,
}

/// What other daemons answered.
#[derive(Debug, Default)]
struct Answers {
    replies: Vec<Reply>,
    /// Whether some of those that were asked are silent.
    has_silent: bool,
}

/// Removes a question once nobody waits for its answers.
struct Asking<'a> {
    streams: &'a Streams,
    token: u64,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.streams.lock().questions.remove(&self.token);
    }
}

impl Streams {
    /// Finds where a stream may go on; `key` is none if its caller doesn't name it.
    ///
    /// # Errors
    ///
    /// If it can't go on for certain at the software version that began it.
    pub async fn find(&self, key: Option<StreamKey>, route: &Route) -> Result<Found> {
        let wait = SILENCE_WAIT.min(Millis(route.timeout.0 / SILENCE_SHARE));
        let search = Search {
            key,
            route,
            came: now(),
            until: now() + wait,
        };
        let found = self.look_up(&search).await;
        self.count(match &found {
            Ok(found) => found.source.code(),
            Err(error) => error.code(),
        });
        found
    }

    async fn look_up(&self, search: &Search<'_>) -> Result<Found> {
        if let Some(own) = self.remembered(search) {
            return self.found(search, own?, Source::Own).await;
        }
        // Without a name, any others are asked for what they know of versions.
        let asked = search.key.unwrap_or_else(|| StreamKey(rand::random()));
        loop {
            let joins_others = self.placement.joins_others(now());
            let answers = self.ask(asked).await;
            if let Some(origin) = told_origin(&answers.replies)? {
                return self.found(search, origin, Source::Told).await;
            }
            let reading = self
                .read_platform(&self.needs(search, &answers.replies))
                .await;
            if let Some(kept) = self.remembered(search) {
                return self.found(search, kept?, Source::Platform).await;
            }
            let knowledge = Knowledge {
                is_current: reading.has_list,
                joins_others,
                ..self.knowledge(search.route, &answers)
            };
            let place = knowledge.single_place();
            let may_learn = answers.has_silent
                || !reading.is_answered
                || reading.is_refused && now() < search.came + REFUSED_WAIT
                || place == Err(Doubt::Outdated);
            let is_last = !may_learn || now() >= search.until;
            if place.is_ok() || is_last {
                self.log_knowledge(&knowledge, answers.has_silent, search.came);
            }
            match place {
                Ok(Place { pool, build }) => {
                    let origin = Origin::new(&pool, &build);
                    return self.found(search, origin, Source::Single).await;
                }
                Err(doubt) if is_last => return Err(LookupError::Unknown(doubt)),
                Err(_) => {}
            }
            tokio::time::sleep(ASK_INTERVAL.as_duration()).await;
        }
    }

    /// What has to be read for a stream that nobody knows. A daemon to which no other one answers may
    /// be the only one that wasn't told of it.
    fn needs(&self, search: &Search<'_>, replies: &[Reply]) -> Needs {
        let is_cut_off = replies.is_empty() && !self.is_single && self.are_archived();
        let delay = if is_cut_off {
            KEPT_WITHIN
        } else {
            Millis::ZERO
        };
        let is_forgotten = self.may_have_forgotten(replies);
        Needs {
            list_from: search.came,
            archive_from: is_forgotten.then_some(search.came + delay),
        }
    }

    /// What this daemon remembers of a stream.
    fn remembered(&self, search: &Search<'_>) -> Option<Result<Origin>> {
        let origin = self.lock().memory.get(search.key?, now())?;
        Some(origin.ok_or(LookupError::Ambiguous))
    }

    /// Finds where a stream goes on whose origin is known. A version that this daemon's list lacks may
    /// be newer than the list.
    async fn found(&self, search: &Search<'_>, origin: Origin, source: Source) -> Result<Found> {
        let mut is_last = false;
        loop {
            let place = place_of(&self.places(search.route), origin);
            let place = place.filter(|place| self.placement.is_served(place));
            if let Some(place) = place {
                return Ok(Found { place, source });
            }
            if is_last {
                self.log_gone(search, origin);
                return Err(LookupError::Gone);
            }
            let needs = Needs {
                list_from: search.came,
                archive_from: None,
            };
            let reading = self.read_platform(&needs).await;
            is_last = reading.has_list || now() >= search.until;
            if !is_last {
                tokio::time::sleep(ASK_INTERVAL.as_duration()).await;
            }
        }
    }

    /// The places of a route by this daemon's list.
    fn places(&self, route: &Route) -> Vec<Place> {
        self.placement.stream_places(route.pools(), now())
    }

    fn knowledge<'a>(&self, route: &Route, answers: &'a Answers) -> Knowledge<'a> {
        Knowledge {
            places: self.places(route),
            pools: route.pools().map(PoolHash::from).collect(),
            own: self.seen_builds(),
            archived: self.archived_builds(),
            replies: &answers.replies,
            is_current: false,
            joins_others: false,
        }
    }

    /// Logs what was known of the versions at which a stream may have begun that nobody remembers.
    fn log_knowledge(&self, knowledge: &Knowledge<'_>, has_silent: bool, came: Millis) {
        let places = knowledge.places.iter();
        let listed: Vec<&str> = places.map(|place| place.build.as_str()).collect();
        log::info!(
            target: "streams", listed:?, own:? = knowledge.own, archived:? = knowledge.archived,
            replies:? = knowledge.replies, has_silent, is_current = knowledge.is_current,
            joins_others = knowledge.joins_others, list_age = self.list_age(), archive_age = self.archive_age(), passed = now().since(came).0;
            "streams: nobody remembers a stream"
        );
    }

    /// Logs that no endpoint of the version at which a stream began takes work.
    fn log_gone(&self, search: &Search<'_>, origin: Origin) {
        let places = self.places(search.route);
        let listed: Vec<&str> = places.iter().map(|place| place.build.as_str()).collect();
        log::info!(
            target: "streams", origin:%, listed:?, list_age = self.list_age(),
            passed = now().since(search.came).0;
            "streams: the version of a stream isn't served"
        );
    }

    /// Milliseconds since the list was last known to be up to date.
    fn list_age(&self) -> Option<u64> {
        self.copies.age(Kind::Endpoints, now()).map(|age| age.0)
    }

    /// Milliseconds since the archive was read.
    fn archive_age(&self) -> Option<u64> {
        self.lock().archived.age(now()).map(|age| age.0)
    }

    /// Whether some of the daemons that may have known a stream, this one included, have started
    /// since, or don't answer.
    fn may_have_forgotten(&self, replies: &[Reply]) -> bool {
        let is_young = |reply: &Reply| match reply {
            Reply::Unknown(evidence) => !evidence.is_complete,
            Reply::Known(_) | Reply::Ambiguous => false,
        };
        let is_new = now() < STREAM_LIFETIME;
        is_new
            || !self.seen_builds().is_complete
            || replies.is_empty()
            || replies.iter().any(is_young)
    }

    /// Whether some of these daemons were heard of lately, so that they may go on.
    fn have_heard(&self, daemons: &[SocketAddr]) -> bool {
        let state = self.lock();
        let mut daemons = daemons.iter();
        daemons.any(|daemon| state.is_large || state.holders.is_heard(daemon))
    }

    /// Asks other daemons for a stream. Ends early when one of them knows it or all have answered.
    async fn ask(&self, key: StreamKey) -> Answers {
        let mut asked = {
            let state = self.lock();
            with_keeper(state.holders.asked(key), state.keeper)
        };
        if asked.is_empty() {
            return Answers::default();
        }
        let (sender, mut answers) = mpsc::unbounded_channel();
        let token = rand::random();
        self.lock().questions.insert(token, sender);
        let _asking = Asking {
            streams: self,
            token,
        };
        let mut replies = Vec::new();
        let until = now() + ANSWER_TIMEOUT;
        while !asked.is_empty() && now() < until {
            for daemon in &asked {
                let question = Question::new(token, key);
                self.send(*daemon, Message::Question(question));
            }
            let again = (now() + ASK_INTERVAL).min(until);
            while let Some((from, reply)) = next(&mut answers, again).await {
                if !asked.contains(&from) {
                    continue;
                }
                asked.retain(|daemon| *daemon != from);
                let is_known = matches!(reply, Reply::Known(_));
                replies.push(reply);
                if is_known || asked.is_empty() {
                    asked.clear();
                    break;
                }
            }
        }
        Answers {
            has_silent: self.have_heard(&asked),
            replies,
        }
    }
}

/// The next answer, if it comes in time.
async fn next(
    answers: &mut mpsc::UnboundedReceiver<(SocketAddr, Reply)>,
    until: Millis,
) -> Option<(SocketAddr, Reply)> {
    let wait = until.since(now());
    let answer = tokio::time::timeout(wait.as_duration(), answers.recv()).await;
    answer.ok().flatten()
}
