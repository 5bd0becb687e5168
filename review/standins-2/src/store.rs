//! The platform's store: lists, watches, writes on condition, entries that expire. Can be down.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, write_message};
use crate::json::{Json, number, object, text};

/// Interval at which replicas write.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
    beat: Instant,
}

struct Event {
    kind: String,
    name: String,
    revision: u64,
    object: Object,
    is_removal: bool,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    is_down: bool,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

type Answer = (u16, Json);

fn metadata(name: &str, object: &Object) -> Json {
    self::object(vec![
        ("name", text(name)),
        ("revision", number(object.revision)),
        ("create_revision", number(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ])
}

fn whole(name: &str, object: &Object) -> Json {
    self::object(vec![
        ("metadata", metadata(name, object)),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ])
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store can't listen");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                revision: 100,
                objects: BTreeMap::new(),
                events: Vec::new(),
                is_down: false,
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expired = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expired.expire();
            }
        });
        store
    }

    /// The store is down: it closes each connection without an answer, and watches are cut off.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        // Replicas that live write again within two seconds; their time begins anew.
        for object in state.objects.values_mut() {
            object.beat = Instant::now();
        }
        self.changed.notify_all();
    }

    /// Writes an object without condition, as operators and replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.lock().unwrap();
        state.write(kind, name, spec);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        let late = |(key, object): (&(String, String), &Object)| {
            (key.0 == "servers" && object.beat.elapsed() > 3 * HEARTBEAT).then(|| key.1.clone())
        };
        let names: Vec<String> = state.objects.iter().filter_map(late).collect();
        for name in names {
            state.remove("servers", &name);
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let body = String::from_utf8(body).unwrap_or_default();
            let Some((status, answer)) = self.answer(&head, &body) else {
                return;
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "1".to_owned()),
            ];
            if write_message(
                &mut stream,
                &format!("HTTP/1.1 {status} -"),
                &headers,
                answer.write().as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    /// Answers a call; none while the store is down.
    fn answer(&self, head: &Head, body: &str) -> Option<Answer> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name, part) = (parts.next().unwrap_or_default(), parts.next(), parts.next());
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return None;
        }
        Some(match (head.method(), name) {
            ("GET", None) if query.contains_key("watch") => {
                let from: u64 = query["watch"].parse().unwrap_or(0);
                let wait = query
                    .get("wait_ms")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.is_down {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    let events = state.events_of(kind, from);
                    if !events.is_empty() || left.is_zero() {
                        break (
                            200,
                            object(vec![
                                ("events", Json::List(events)),
                                ("as_of", number(state.revision)),
                            ]),
                        );
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
                let items = of_kind
                    .map(|((_, name), object)| whole(name, object))
                    .collect();
                let items = ("items", Json::List(items));
                (
                    200,
                    object(vec![
                        items,
                        ("more_pages", Json::Bool(false)),
                        ("as_of", number(state.revision)),
                    ]),
                )
            }
            ("GET", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(known) => (200, whole(name, known)),
                None => (404, Json::Null),
            },
            ("POST", None) => state.create(kind, body),
            ("PUT", Some(name)) if query.contains_key("beat") => {
                let Some(spec) = Json::parse(body) else {
                    return Some((400, Json::Null));
                };
                state.write(kind, name, spec);
                (200, Json::Null)
            }
            ("PUT", Some(name)) => state.replace(kind, name, body, part == Some("status")),
            ("DELETE", Some(name)) => state.delete(
                kind,
                name,
                query.get("revision").and_then(|at| at.parse().ok()),
            ),
            _ => (400, Json::Null),
        })
        .inspect(|_| self.changed.notify_all())
    }
}

impl State {
    fn events_of(&self, kind: &str, from: u64) -> Vec<Json> {
        let newer = self
            .events
            .iter()
            .filter(|event| event.kind == kind && event.revision > from);
        let json = newer.map(|event| {
            object(vec![
                ("object", whole(&event.name, &event.object)),
                ("tombstone", Json::Bool(event.is_removal)),
            ])
        });
        json.collect()
    }

    fn record(&mut self, kind: &str, name: &str, object: Object, is_removal: bool) {
        let (kind, name, revision) = (kind.to_owned(), name.to_owned(), self.revision);
        self.events.push(Event {
            kind,
            name,
            revision,
            object,
            is_removal,
        });
    }

    /// Writes an object. An entry of a replica in which only `seq` changes doesn't change.
    fn write(&mut self, kind: &str, name: &str, spec: Json) {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key).cloned();
        let is_same = before
            .as_ref()
            .is_some_and(|before| before.spec.without("seq") == spec.without("seq"));
        if is_same {
            let known = self.objects.get_mut(&key).unwrap();
            known.beat = Instant::now();
            known.spec = spec;
            return;
        }
        self.revision += 1;
        let created = before.map_or(self.revision, |before| before.created);
        let object = Object {
            revision: self.revision,
            created,
            spec,
            status: Json::Null,
            beat: Instant::now(),
        };
        self.objects.insert(key, object.clone());
        self.record(kind, name, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, name, object, true);
        }
    }

    fn create(&mut self, kind: &str, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return (400, Json::Null);
        };
        let Some(name) = body.at("metadata.name").and_then(Json::as_str) else {
            return (400, Json::Null);
        };
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            return (409, whole(name, known));
        }
        self.write(kind, name, body.get("spec").cloned().unwrap_or(Json::Null));
        (200, whole(name, &self.objects[&key]))
    }

    fn replace(&mut self, kind: &str, name: &str, body: &str, is_status: bool) -> Answer {
        let Some(body) = Json::parse(body) else {
            return (400, Json::Null);
        };
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = self.objects.get_mut(&key) else {
            return (404, Json::Null);
        };
        let expected = body.at("metadata.revision").and_then(Json::as_u64);
        if expected.is_some_and(|expected| expected != known.revision) {
            return (409, whole(name, known));
        }
        if is_status {
            known.status = body.get("status").cloned().unwrap_or(Json::Null);
        } else if let Some(spec) = body.get("spec").cloned() {
            self.write(kind, name, spec);
        }
        (200, whole(name, &self.objects[&key]))
    }

    fn delete(&mut self, kind: &str, name: &str, expected: Option<u64>) -> Answer {
        let Some(known) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return (404, Json::Null);
        };
        if expected.is_some_and(|expected| expected != known.revision) {
            return (409, whole(name, known));
        }
        self.remove(kind, name);
        (200, Json::Null)
    }
}
