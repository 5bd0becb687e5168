//! The platform's metadata store: lists, watches, writes with conditions.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};
use crate::json;

#[derive(Debug, Clone)]
struct Object {
    created: u64,
    revision: u64,
    /// None once it was removed.
    spec: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Writes or removes an object, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).filter(|known| known.spec.is_some());
        let created = known.map_or(revision, |known| known.created);
        state.objects.insert(
            key,
            Object {
                created,
                revision,
                spec,
            },
        );
        self.0.1.notify_all();
        revision
    }

    /// The contents of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key)?.spec.clone()
    }

    /// Serves on a loopback address, which it returns.
    pub fn open(&self) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(address)
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(call) = wire.message() {
            let (status, body) = self.call(&call);
            let headers = [("Content-Type", "application/json".to_owned())];
            if wire.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let rest = path.strip_prefix("/objects/").unwrap_or_default();
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match call.method() {
            "GET" => match param("watch").and_then(|text| text.parse::<u64>().ok()) {
                Some(after) => {
                    let wait = param("wait_ms")
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None if name.is_empty() => self.page(kind, param("after").as_deref()),
                None => match self.object(kind, name) {
                    Some(object) => (200, object),
                    None => (404, "{}".into()),
                },
            },
            method => self.write(method, kind, name, &body, param("revision")),
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        body: &str,
        at: Option<String>,
    ) -> (u16, String) {
        let named = json::text(body, &["metadata", "name"]).unwrap_or_default();
        let name = if name.is_empty() {
            named.as_str()
        } else {
            name
        };
        let known = {
            let state = self.0.0.lock().unwrap();
            let known = state
                .objects
                .get(&(kind.to_owned(), name.to_owned()))
                .cloned();
            known.filter(|known| known.spec.is_some())
        };
        let wanted = json::get(body, &["metadata", "revision"]).or(at);
        let wanted = wanted
            .and_then(|text| text.parse::<u64>().ok())
            .filter(|at| *at > 0);
        match (method, known) {
            ("POST", Some(_)) => return (409, self.object(kind, name).unwrap_or_default()),
            ("POST", None) => {}
            (_, None) => return (404, "{}".into()),
            (_, Some(known)) if wanted.is_some_and(|at| at != known.revision) => {
                return (409, self.object(kind, name).unwrap_or_default());
            }
            ("DELETE", Some(_)) => {
                self.put(kind, name, None);
                return (200, "{}".into());
            }
            _ => {}
        }
        let spec = json::get(body, &["spec"]).unwrap_or_else(|| "null".into());
        if self.get(kind, name).as_ref() != Some(&spec) {
            self.put(kind, name, Some(spec));
        }
        (200, self.object(kind, name).unwrap_or_default())
    }

    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        object.spec.as_ref()?;
        Some(encode(name, object))
    }

    fn page(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let state = self.0.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let live = of_kind.filter(|((_, name), object)| {
            object.spec.is_some() && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<String> = live
            .map(|((_, name), object)| encode(name, object))
            .collect();
        let items = items.join(",");
        let as_of = state.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"more_pages\":false,\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        if after > state.revision {
            return (410, "{}".into());
        }
        loop {
            let mut events: Vec<(&String, &Object)> = state
                .objects
                .iter()
                .filter(|((known, _), object)| known == kind && object.revision > after)
                .map(|((_, name), object)| (name, object))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                events.sort_by_key(|(_, object)| object.revision);
                let event = |(name, object): (&String, &Object)| {
                    let tombstone = object.spec.is_none();
                    format!(
                        "{{\"tombstone\":{tombstone},\"object\":{}}}",
                        encode(name, object)
                    )
                };
                let events: Vec<String> = events.into_iter().map(event).collect();
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            let left = until - now;
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn encode(name: &str, object: &Object) -> String {
    let spec = object.spec.as_deref().unwrap_or("null");
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_revision\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}",
        object.revision, object.created
    )
}
