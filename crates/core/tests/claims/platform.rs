//! The platform's object API in memory.

use std::collections::BTreeMap;

use bytes::Bytes;
use medlarrill_core::claims::{CallId, ListedObject, LogAction, Reply};

/// Objects, and what was asked of them.
#[derive(Clone, Default)]
pub struct Platform {
    pub objects: BTreeMap<String, Object>,
    pub writes: u64,
    pub reads: u64,
    revision: u64,
}

/// One object.
#[derive(Clone)]
pub struct Object {
    pub version: u64,
    pub bytes: Bytes,
}

impl Platform {
    /// Carries out a call; `None` for actions that aren't calls.
    pub fn carry_out(&mut self, action: &LogAction) -> Option<Reply> {
        match action {
            LogAction::Create { key, bytes, .. } => Some(self.create(key, bytes)),
            LogAction::Read { key, .. } => Some(self.read(key)),
            LogAction::List {
                prefix,
                after,
                limit,
                ..
            } => Some(self.list(prefix, after, *limit)),
            LogAction::Delete { key, version, .. } => Some(self.delete(key, *version)),
            LogAction::Answer { .. } => None,
        }
    }

    pub fn create(&mut self, key: &str, bytes: &Bytes) -> Reply {
        self.writes += 1;
        if self.objects.contains_key(key) {
            return Reply::Exists;
        }
        self.revision += 1;
        let object = Object {
            version: self.revision,
            bytes: bytes.clone(),
        };
        self.objects.insert(key.into(), object);
        Reply::Created
    }

    fn read(&mut self, key: &str) -> Reply {
        self.reads += 1;
        let object = self.objects.get(key);
        object.map_or(Reply::NotFound, |object| Reply::Found(object.bytes.clone()))
    }

    fn list(&mut self, prefix: &str, after: &str, limit: usize) -> Reply {
        self.reads += 1;
        let mut objects: Vec<_> = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(limit + 1)
            .map(|(key, object)| ListedObject {
                key: key.clone(),
                version: object.version,
            })
            .collect();
        let more = objects.len() > limit;
        objects.truncate(limit);
        Reply::Listed { objects, more }
    }

    fn delete(&mut self, key: &str, version: u64) -> Reply {
        self.writes += 1;
        match self.objects.get(key) {
            None => Reply::NotFound,
            Some(object) if object.version != version => Reply::Changed,
            Some(_) => {
                self.revision += 1;
                self.objects.remove(key);
                Reply::Deleted
            }
        }
    }
}

/// The call that an action makes.
pub fn call_of(action: &LogAction) -> Option<CallId> {
    match action {
        LogAction::Create { call, .. }
        | LogAction::Read { call, .. }
        | LogAction::List { call, .. }
        | LogAction::Delete { call, .. } => Some(*call),
        LogAction::Answer { .. } => None,
    }
}
