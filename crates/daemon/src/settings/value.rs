//! Checks of single values in a settings file.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::KeyHash;
use medlarrill_core::ids::VmId;
use medlarrill_core::units::ByteSize;

use super::keys::{Kind, MIN_DISTINCT_BYTES, MIN_SECRET, format_time};

/// Result of a check; the error describes the fault.
pub(super) type Result = std::result::Result<(), String>;

/// Checks a value, or one element of a list.
pub(super) fn check(kind: Kind, value: &Value<'_>) -> Result {
    if let Kind::Count(min, max) = kind {
        return check_count(value, min, max);
    }
    let Value::StringLit(text) = value else {
        return Err(wrong_type(kind, value));
    };
    let text = text.value.as_ref();
    match kind {
        Kind::Text(max) => check_length(text, max),
        Kind::Name => text.parse::<VmId>().map(drop).map_err(|e| e.to_string()),
        Kind::Secret => check_secret(text),
        Kind::File => check_length(text, usize::MAX),
        Kind::Address | Kind::Addresses => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("`{text}` is not an IP address and port")),
        },
        Kind::Hashes => match text.parse::<KeyHash>() {
            Ok(_) => Ok(()),
            Err(error) => Err(format!("not a hash of 64 hexadecimal digits: {error}")),
        },
        Kind::Time(min, max) => {
            let time = text.parse::<Millis>().map_err(|e| e.to_string())?;
            check_bounds(time, min, max, &|time: &Millis| format_time(*time))
        }
        Kind::Size(min, max) => {
            let size = text.parse::<ByteSize>().map_err(|e| e.to_string())?;
            check_bounds(size, min, max, &ByteSize::to_string)
        }
        Kind::Object | Kind::Count(..) => Err(wrong_type(kind, value)),
    }
}

fn wrong_type(kind: Kind, value: &Value<'_>) -> String {
    let found = match value {
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    };
    format!("wrong type: wanted {}, found {found}", kind.unit())
}

fn check_count(value: &Value<'_>, min: u32, max: u32) -> Result {
    let Value::NumberLit(number) = value else {
        return Err(wrong_type(Kind::Count(min, max), value));
    };
    match number.value.parse::<i64>() {
        Ok(count) => check_bounds(count, min.into(), max.into(), &i64::to_string),
        Err(_) => Err(format!("`{}` is not a whole number", number.value)),
    }
}

fn check_bounds<T: PartialOrd + Copy>(
    value: T,
    min: T,
    max: T,
    show: &dyn Fn(&T) -> String,
) -> Result {
    if value < min || value > max {
        let [value, min, max] = [value, min, max].map(|value| show(&value));
        return Err(format!("{value} is out of bounds: {min} to {max}"));
    }
    Ok(())
}

fn check_length(text: &str, max: usize) -> Result {
    match text.len() {
        0 => Err("must not be empty".into()),
        len if len > max => Err(format!("has {len} bytes, of at most {max}")),
        _ => Ok(()),
    }
}

/// Checks the fleet's secret.
///
/// # Errors
///
/// When the secret is too weak; the message doesn't contain the secret.
pub(super) fn check_secret(text: &str) -> Result {
    let distinct = text.bytes().collect::<BTreeSet<u8>>().len();
    if text.len() < MIN_SECRET {
        let len = text.len();
        return Err(format!(
            "a weak secret: {len} bytes, of at least {MIN_SECRET}"
        ));
    }
    if distinct < MIN_DISTINCT_BYTES {
        return Err(format!(
            "a weak secret: {distinct} different bytes, of at least {MIN_DISTINCT_BYTES}"
        ));
    }
    Ok(())
}

/// An address and its position in the text.
#[derive(Clone, Copy)]
pub(super) struct LocatedAddress {
    pub(super) address: SocketAddr,
    pub(super) offset: usize,
}

/// The address under a key of an object; `None` if it isn't a valid address.
pub(super) fn address_at(object: &Object<'_>, name: &str) -> Option<LocatedAddress> {
    let literal = object.get_string(name)?;
    let address = literal.value.parse().ok()?;
    let offset = literal.range().start;
    Some(LocatedAddress { address, offset })
}

impl LocatedAddress {
    /// Whether it is the wildcard address.
    pub(super) fn is_wildcard(self) -> bool {
        self.address.ip().is_unspecified()
    }

    /// Whether both cannot be bound at the same time.
    pub(super) fn overlaps(self, other: Self) -> bool {
        let port = self.address.port();
        let same_port = port != 0 && port == other.address.port();
        let same_ip = self.address.ip() == other.address.ip();
        same_port && (same_ip || self.is_wildcard() || other.is_wildcard())
    }
}
