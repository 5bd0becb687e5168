//! Checks single values of a settings file.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use medlarrill_core::clock::Millis;
use medlarrill_core::config::KeyHash;
use medlarrill_core::ids::VmId;
use medlarrill_core::units::ByteSize;

use super::keys::{Kind, MIN_SECRET, MIN_VARIETY, time_text};

/// Result of a check; the error says what is wrong.
pub(super) type Result = std::result::Result<(), String>;

/// Checks a value, or one element of a list.
pub(super) fn check(kind: Kind, value: &Value<'_>) -> Result {
    if let Kind::Count(least, most) = kind {
        return count(value, least, most);
    }
    let Value::StringLit(text) = value else {
        return Err(wrong_type(kind, value));
    };
    let text = text.value.as_ref();
    match kind {
        Kind::Text(most) => length(text, most),
        Kind::Name => text.parse::<VmId>().map(drop).map_err(|e| e.to_string()),
        Kind::Secret => secret(text),
        Kind::File => length(text, usize::MAX),
        Kind::Address | Kind::Addresses => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("`{text}` is not an IP address and port")),
        },
        Kind::Hashes => match text.parse::<KeyHash>() {
            Ok(_) => Ok(()),
            Err(error) => Err(format!("not a hash of 64 hexadecimal digits: {error}")),
        },
        Kind::Time(least, most) => {
            let time = text.parse::<Millis>().map_err(|e| e.to_string())?;
            within(time, least, most, &|time: &Millis| time_text(*time))
        }
        Kind::Size(least, most) => {
            let size = text.parse::<ByteSize>().map_err(|e| e.to_string())?;
            within(size, least, most, &ByteSize::to_string)
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

fn count(value: &Value<'_>, least: u32, most: u32) -> Result {
    let Value::NumberLit(number) = value else {
        return Err(wrong_type(Kind::Count(least, most), value));
    };
    match number.value.parse::<i64>() {
        Ok(count) => within(count, least.into(), most.into(), &i64::to_string),
        Err(_) => Err(format!("`{}` is not a whole number", number.value)),
    }
}

fn within<T: PartialOrd + Copy>(
    value: T,
    least: T,
    most: T,
    show: &dyn Fn(&T) -> String,
) -> Result {
    if value < least || value > most {
        let [value, least, most] = [value, least, most].map(|value| show(&value));
        return Err(format!("{value} is out of bounds: {least} to {most}"));
    }
    Ok(())
}

fn length(text: &str, most: usize) -> Result {
    match text.len() {
        0 => Err("must not be empty".into()),
        len if len > most => Err(format!("has {len} bytes, of at most {most}")),
        _ => Ok(()),
    }
}

/// Checks the fleet's secret.
///
/// # Errors
///
/// Why it is too easily guessed; the secret isn't shown.
pub(super) fn secret(text: &str) -> Result {
    let variety = text.bytes().collect::<BTreeSet<u8>>().len();
    if text.len() < MIN_SECRET {
        let len = text.len();
        return Err(format!(
            "a weak secret: {len} bytes, of at least {MIN_SECRET}"
        ));
    }
    if variety < MIN_VARIETY {
        return Err(format!(
            "a weak secret: {variety} different bytes, of at least {MIN_VARIETY}"
        ));
    }
    Ok(())
}

/// An address and where it stands in the text.
#[derive(Clone, Copy)]
pub(super) struct Placed {
    pub(super) address: SocketAddr,
    pub(super) at: usize,
}

/// The address that a key of an object holds, if it is one.
pub(super) fn address_at(object: &Object<'_>, name: &str) -> Option<Placed> {
    let literal = object.get_string(name)?;
    let address = literal.value.parse().ok()?;
    let at = literal.range().start;
    Some(Placed { address, at })
}

impl Placed {
    /// Whether it stands for every address of the VM.
    pub(super) fn is_wildcard(self) -> bool {
        self.address.ip().is_unspecified()
    }

    /// Whether both can't be bound at once.
    pub(super) fn overlaps(self, other: Self) -> bool {
        let port = self.address.port();
        let same_port = port != 0 && port == other.address.port();
        let same_ip = self.address.ip() == other.address.ip();
        same_port && (same_ip || self.is_wildcard() || other.is_wildcard())
    }
}
