//! Sound endpoints that fall silent for a while and go on where they were. What counts is what callers
//! and endpoints see on their sockets: no answer ends sooner than its endpoint, its deadline or its
//! caller ended it.

use std::time::Duration;

use googletest::prelude::*;
use medlarrill_platform_standin::{Behaviour, Call, Caller, Form, Reply, Run, configuration};
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::setup::{Bench, POOL, stream_body};

/// Streams of 1.2 s.
const PACED: Behaviour = Behaviour {
    events: 20,
    pace: Duration::from_millis(60),
    ..Behaviour::DEFAULT
};
/// Plain answers of a moment.
const PROMPT: Behaviour = Behaviour {
    pace: Duration::from_millis(30),
    ..Behaviour::DEFAULT
};
/// Time that callers wait.
const DEADLINE: u64 = 3900;
/// Time after which the callers that weren't served before a deadline are.
const GRACE: u64 = 150;

/// What happens beside the silence.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The limits on idle connections and on headers become shorter.
    Limits,
    /// The route's target gap becomes shorter.
    Gap,
    /// The daemons read their settings again.
    Reload,
    /// All daemons are asked to stop.
    Stop,
}

/// Requests to two daemons before some endpoints, of which the first ones fall silent.
#[derive(Clone, Copy)]
struct Play {
    path: &'static str,
    requests: usize,
    endpoints: usize,
    silent: usize,
    behaviour: Behaviour,
    /// Milliseconds from the first request to the silence.
    after: u64,
    /// How long it lasts, in milliseconds; for good if not set.
    lasts: Option<u64>,
    times: usize,
    /// Requests that the last endpoint has room for.
    room: usize,
    beside: Beside,
}

/// Streams that may be resumed, while all endpoints are silent for 1.1 s.
const STREAMS: Play = Play {
    path: "/stream/x",
    requests: 40,
    endpoints: 4,
    silent: 4,
    behaviour: PACED,
    after: 450,
    lasts: Some(1100),
    times: 1,
    room: usize::MAX,
    beside: Beside::Nothing,
};

/// What callers saw of one request.
struct Seen {
    reply: Reply,
    passed: Duration,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Outcome {
    whole: usize,
    /// Neither whole nor waited for until the deadline.
    ended_early: usize,
    /// Requests that ran at more endpoints than their route allows.
    run_too_often: usize,
}

impl Play {
    async fn bench(&self) -> Bench {
        let mut bench = Bench::without_daemon(self.endpoints).await;
        bench.behave(self.behaviour);
        let last = Behaviour {
            room: self.room,
            ..self.behaviour
        };
        bench.behave_one(self.endpoints - 1, last);
        let platform = bench.store.address();
        bench.add_first_daemon(&[], platform);
        bench.add_first_daemon(&[0], platform);
        for daemon in [0, 1] {
            bench.ready(daemon, self.endpoints).await;
        }
        bench.until_all_live(2).await;
        bench
    }

    /// Sends the requests over a third of a second, silences endpoints, and waits for all answers.
    async fn run(&self) -> Outcome {
        let mut bench = self.bench().await;
        let started = Instant::now();
        let mut waiting = Vec::new();
        for number in 0..self.requests {
            let call = self.call(number);
            let mut caller = match number % 2 {
                0 => bench.caller(),
                _ => Caller::new(bench.daemons[1].callers()),
            };
            waiting.push(tokio::spawn(async move {
                let sent = Instant::now();
                let reply = caller.send(&call).await;
                let passed = sent.elapsed();
                Seen { reply, passed }
            }));
            Bench::pause(300 / self.requests as u64).await;
        }
        tokio::time::sleep_until(started + Duration::from_millis(self.after)).await;
        self.silence(&bench).await;
        let mut outcome = Outcome::default();
        for (number, seen) in waiting.into_iter().enumerate() {
            let seen = seen.await.expect("a reply");
            outcome.count(self, number, &seen);
            let runs = bench.ledger.runs(&self.call(number).attempt);
            outcome.run_too_often += usize::from(runs.len() > 2);
        }
        bench.daemons.clear();
        println!("{outcome:?}");
        outcome
    }

    fn call(&self, number: usize) -> Call {
        Call::new(format!("r-{number}"), self.path).with_wait(DEADLINE)
    }

    async fn silence(&self, bench: &Bench) {
        let pause = |is_paused| {
            let silent = &bench.endpoints[..self.silent];
            silent.iter().for_each(|endpoint| endpoint.pause(is_paused));
        };
        for _ in 0..self.times {
            pause(true);
            self.act_beside(bench).await;
            let Some(lasts) = self.lasts else {
                return;
            };
            Bench::pause(lasts).await;
            pause(false);
            Bench::pause(150).await;
        }
    }

    async fn act_beside(&self, bench: &Bench) {
        let mut next = configuration(8, POOL);
        match self.beside {
            Beside::Nothing => {}
            Beside::Limits => {
                next["limits"]["idle_timeout_ms"] = 700.into();
                next["limits"]["header_timeout_ms"] = 500.into();
                bench.store.put("config", "main", next);
            }
            Beside::Gap => {
                for route in next["routes"].as_array_mut().expect("routes") {
                    route["gap_target_ms"] = 100.into();
                }
                bench.store.put("config", "main", next);
            }
            Beside::Reload => self.signal(bench, Signal::SIGHUP),
            Beside::Stop => self.signal(bench, Signal::SIGTERM),
        }
    }

    fn signal(&self, bench: &Bench, signal: Signal) {
        for daemon in &bench.daemons {
            daemon.signal(signal).expect("a signal");
        }
    }
}

impl Outcome {
    fn count(&mut self, play: &Play, number: usize, seen: &Seen) {
        let attempt = play.call(number).attempt;
        let expected = match play.path.starts_with("/stream") {
            true => stream_body(&attempt, 1, play.behaviour.events),
            false => format!("{attempt} 2"),
        };
        let is_whole = seen.reply.is_success() && seen.reply.body == expected;
        let deadline = Duration::from_millis(DEADLINE - GRACE);
        self.whole += usize::from(is_whole);
        if !is_whole && seen.passed < deadline {
            println!("{attempt} after {:?}: {:?}", seen.passed, seen.reply.status);
            self.ended_early += 1;
        }
    }
}

/// Plays; all requests are served, each at no more endpoints than its route allows.
async fn serves_all(play: Play) {
    let outcome = play.run().await;
    expect_that!(outcome.whole, eq(play.requests));
    expect_that!(outcome.run_too_often, eq(0));
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_all_endpoints_are_silent() {
    serves_all(STREAMS).await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_all_endpoints_are_silent_twice() {
    serves_all(Play {
        lasts: Some(800),
        times: 2,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_all_endpoints_are_silent_for_two_seconds() {
    serves_all(Play {
        lasts: Some(2000),
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_three_of_five_endpoints_are_silent() {
    serves_all(Play {
        endpoints: 5,
        silent: 3,
        lasts: Some(1000),
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_while_the_only_other_endpoint_is_full() {
    serves_all(Play {
        requests: 12,
        endpoints: 2,
        silent: 1,
        lasts: Some(1000),
        room: 6,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_by_a_silence_within_an_event() {
    let form = Form {
        is_halved: true,
        ..Form::DEFAULT
    };
    let behaviour = Behaviour { form, ..PACED };
    serves_all(Play {
        behaviour,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_refused_for_a_silence_before_their_first_event() {
    serves_all(Play {
        after: 0,
        lasts: Some(1300),
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn plain_requests_refused_for_a_silence_before_the_head() {
    serves_all(Play {
        path: "/plain/x",
        behaviour: PROMPT,
        after: 0,
        lasts: Some(1200),
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_by_a_silence_beside_a_stop() {
    serves_all(Play {
        requests: 20,
        lasts: Some(1300),
        beside: Beside::Stop,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_by_a_silence_beside_shorter_limits() {
    serves_all(Play {
        beside: Beside::Limits,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_by_a_silence_beside_a_shorter_target_gap() {
    serves_all(Play {
        beside: Beside::Gap,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_by_a_silence_beside_a_reload() {
    serves_all(Play {
        beside: Beside::Reload,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn requests_that_run_once_cut_by_a_silence() {
    serves_all(Play {
        path: "/stream-once/x",
        ..STREAMS
    })
    .await;
    serves_all(Play {
        path: "/once/x",
        behaviour: PROMPT,
        after: 100,
        ..STREAMS
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn streams_cut_before_their_deadline_while_one_endpoint_hangs() {
    let play = Play {
        endpoints: 5,
        silent: 1,
        lasts: None,
        ..STREAMS
    };
    let outcome = play.run().await;
    expect_that!(outcome.ended_early, eq(0));
    expect_that!(outcome.run_too_often, eq(0));
    // A fifth of the streams is at the endpoint that hangs.
    expect_that!(outcome.whole, ge(play.requests * 4 / 5));
}

#[gtest]
#[tokio::test]
async fn endpoints_avoided_after_a_silence_of_a_second() {
    let bench = STREAMS.bench().await;
    let play = Play {
        lasts: Some(1000),
        silent: 2,
        ..STREAMS
    };
    let mut waiting = Vec::new();
    for number in 0..24 {
        let mut caller = bench.caller();
        let call = play.call(number);
        waiting.push(tokio::spawn(async move { caller.send(&call).await }));
    }
    Bench::pause(300).await;
    play.silence(&bench).await;
    for reply in waiting {
        assert_that!(reply.await.expect("a reply").is_success(), eq(true));
    }
    let before = bench.ledger.all().len();
    for number in 100..180 {
        let call = Call::new(format!("r-{number}"), "/plain/x");
        assert_that!(bench.send(&call).await.is_success(), eq(true));
    }
    let runs = bench.ledger.all();
    let at_silent = |run: &&Run| ["e-0", "e-1"].contains(&run.endpoint.as_str());
    let at_silent = runs[before..].iter().filter(at_silent).count();
    // Half of the endpoints get a fair share, less what chance may take.
    expect_that!(at_silent, ge(24));
}
