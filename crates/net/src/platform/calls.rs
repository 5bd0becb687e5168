//! Typed calls of the object API.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use medlarrill_core::clock::Millis;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;

use super::Client;
use super::error::{Error, Result};
use super::exchange::{Call, Reply};
use super::model::{Changes, Era, Listing, MAX_OBJECT, Object, Read, Revision, Version, VmList};
use super::role::{Kind, Role};

/// Longest key, in bytes.
const MAX_KEY: usize = 1024;
/// Characters percent-encoded in keys: all but alphanumerics and these.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

impl Client {
    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// `Precondition` if it exists, and as in [`Error`].
    pub async fn create(
        &self,
        role: Role,
        key: &str,
        value: Bytes,
        timeout: Millis,
    ) -> Result<Version> {
        check_size(&value)?;
        let call = Call {
            headers: headers(IF_NONE_MATCH, "*")?,
            body: value,
            ..object_call(role, Kind::Create, Method::PUT, key, timeout)?
        };
        self.run(call, parse_version).await
    }

    /// Replaces an object that still has `version`, and returns the new one.
    ///
    /// # Errors
    ///
    /// `Precondition` if it has another version, and as in [`Error`].
    pub async fn update(
        &self,
        role: Role,
        key: &str,
        version: Version,
        value: Bytes,
        timeout: Millis,
    ) -> Result<Version> {
        check_size(&value)?;
        let call = Call {
            headers: headers(IF_MATCH, &tag(version))?,
            body: value,
            ..object_call(role, Kind::Update, Method::PUT, key, timeout)?
        };
        self.run(call, parse_version).await
    }

    /// Deletes an object that still has `version`.
    ///
    /// # Errors
    ///
    /// `Precondition`, `NotFound`, and as in [`Error`].
    pub async fn delete(
        &self,
        role: Role,
        key: &str,
        version: Version,
        timeout: Millis,
    ) -> Result<()> {
        let call = Call {
            headers: headers(IF_MATCH, &tag(version))?,
            ..object_call(role, Kind::Delete, Method::DELETE, key, timeout)?
        };
        let deleted = |reply: Reply| match reply.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Err(Error::NotFound),
            _ => Err(write_error(&reply)),
        };
        self.run(call, deleted).await
    }

    /// Reads an object; returns `NotModified` if it still has the version `known`.
    ///
    /// # Errors
    ///
    /// `NotFound`, and as in [`Error`].
    pub async fn get(
        &self,
        role: Role,
        key: &str,
        known: Option<Version>,
        timeout: Millis,
    ) -> Result<Read> {
        let mut call = object_call(role, Kind::Get, Method::GET, key, timeout)?;
        if let Some(version) = known {
            call.headers = headers(IF_NONE_MATCH, &tag(version))?;
        }
        self.run(call, read_object).await
    }

    /// Lists up to `limit` objects under `prefix`, after the key `after`.
    ///
    /// # Errors
    ///
    /// As in [`Error`].
    pub async fn list(
        &self,
        role: Role,
        prefix: &str,
        after: &str,
        limit: u32,
        timeout: Millis,
    ) -> Result<Listing> {
        let path = format!(
            "/v1/objects?prefix={}&after={}&limit={limit}",
            escape(prefix),
            escape(after)
        );
        self.run(read_call(role, Kind::List, path, timeout), parse)
            .await
    }

    /// Waits up to `poll` for changes under `prefix` after a revision of an era.
    /// The timeout starts at the end of the poll.
    ///
    /// # Errors
    ///
    /// `Gone` if the revision is no longer held or the era is another one, and as
    /// in [`Error`].
    pub async fn watch(
        &self,
        role: Role,
        prefix: &str,
        (era, after): (Era, Revision),
        poll: Millis,
        timeout: Millis,
    ) -> Result<Changes> {
        let prefix = escape(prefix);
        let path = format!(
            "/v1/watch?prefix={prefix}&era={era}&after={after}&wait={}",
            poll.0
        );
        let changes = |reply: Reply| match reply.status {
            StatusCode::GONE => Err(Error::Gone),
            // A platform may know nothing of the era that the call names.
            _ => parse(reply).and_then(|changes: Changes| match changes.era == era {
                true => Ok(changes),
                false => Err(Error::Gone),
            }),
        };
        let call = read_call(role, Kind::Watch, path, poll + timeout);
        self.run(call, changes).await
    }

    /// Reads the list of VMs, which may lag behind.
    ///
    /// # Errors
    ///
    /// As in [`Error`].
    pub async fn vms(&self, role: Role, timeout: Millis) -> Result<VmList> {
        let call = read_call(role, Kind::Vms, "/v1/vms".into(), timeout);
        let list = |reply: Reply| {
            let reply = successful(reply)?;
            VmList::parse(&reply.body).map_err(Error::malformed)
        };
        self.run(call, list).await
    }
}

fn object_call(role: Role, kind: Kind, method: Method, key: &str, timeout: Millis) -> Result<Call> {
    if key.is_empty() || key.len() > MAX_KEY {
        return Err(Error::rejected(StatusCode::BAD_REQUEST.as_u16()));
    }
    let path = format!("/v1/objects/{}", escape(key));
    Ok(Call {
        method,
        ..read_call(role, kind, path, timeout)
    })
}

fn read_call(role: Role, kind: Kind, path: String, timeout: Millis) -> Call {
    Call {
        role,
        kind,
        method: Method::GET,
        path,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout,
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, KEY_ESCAPES).to_string()
}

fn tag(version: Version) -> String {
    format!("\"{version}\"")
}

fn headers(condition: HeaderName, value: &str) -> Result<HeaderMap> {
    let value = HeaderValue::from_str(value)
        .map_err(|_| Error::rejected(StatusCode::BAD_REQUEST.as_u16()))?;
    let bytes = HeaderValue::from_static("application/octet-stream");
    Ok(HeaderMap::from_iter([
        (condition, value),
        (CONTENT_TYPE, bytes),
    ]))
}

const fn check_size(value: &Bytes) -> Result<()> {
    if value.len() as u64 > MAX_OBJECT {
        return Err(Error::TooLarge { limit: MAX_OBJECT });
    }
    Ok(())
}

fn parse_version(reply: Reply) -> Result<Version> {
    if !reply.status.is_success() {
        return Err(write_error(&reply));
    }
    reply.version.ok_or_else(|| Error::Unknown {
        cause: "the answer to a write names no version".into(),
    })
}

/// The error for a refused write.
fn write_error(reply: &Reply) -> Error {
    match reply.status {
        StatusCode::PRECONDITION_FAILED => Error::Precondition {
            present: reply.version,
        },
        StatusCode::NOT_FOUND => Error::Precondition { present: None },
        status => Error::rejected(status.as_u16()),
    }
}

fn read_object(reply: Reply) -> Result<Read> {
    match reply.status {
        StatusCode::NOT_MODIFIED => return Ok(Read::NotModified),
        StatusCode::NOT_FOUND => return Err(Error::NotFound),
        _ => {}
    }
    let reply = successful(reply)?;
    let version = reply
        .version
        .ok_or_else(|| Error::malformed("the object has no version"))?;
    Ok(Read::Object(Object {
        version,
        value: reply.body,
    }))
}

fn successful(reply: Reply) -> Result<Reply> {
    if reply.status.is_success() {
        Ok(reply)
    } else {
        Err(Error::rejected(reply.status.as_u16()))
    }
}

fn parse<T: DeserializeOwned>(reply: Reply) -> Result<T> {
    let reply = successful(reply)?;
    serde_json::from_slice(&reply.body).map_err(Error::malformed)
}
