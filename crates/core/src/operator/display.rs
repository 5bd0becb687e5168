//! Formats statements as text; parsing the text gives the same statements.

use std::fmt::{Display, Formatter, Result};

use super::statement::List;
use super::terms::{AccountTerms, EndpointTerms, InstitutionTerms, PoolTerms, RuleTerms};

fn pair(f: &mut Formatter<'_>, key: &str, value: &Option<impl Display>) -> Result {
    match value {
        Some(value) => write!(f, " {key} {value}"),
        None => Ok(()),
    }
}

impl Display for InstitutionTerms {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.id)?;
        pair(f, "share", &self.share)?;
        pair(f, "key-lifetime", &self.key_lifetime)?;
        pair(f, "queue-wait", &self.queue_wait)
    }
}

impl Display for AccountTerms {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.path)?;
        pair(f, "key-hash", &self.key)?;
        pair(f, "rate", &self.rate)?;
        pair(f, "concurrency", &self.concurrency)
    }
}

impl Display for PoolTerms {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.id)?;
        pair(f, "kind", &self.kind)?;
        pair(f, "model", &self.model)?;
        pair(f, "slots", &self.slots)?;
        pair(f, "load-bound", &self.load_bound)?;
        pair(f, "queue", &self.queue)?;
        pair(f, "refusal", &self.refusal)?;
        pair(f, "first-byte", &self.first_byte)?;
        pair(f, "gap", &self.gap)
    }
}

impl Display for EndpointTerms {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.id)?;
        pair(f, "pool", &self.pool)?;
        pair(f, "address", &self.address)?;
        pair(f, "data-centre", &self.data_centre)?;
        pair(f, "vm", &self.vm)?;
        pair(f, "fencing", &self.fencing)
    }
}

impl Display for RuleTerms {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.path)?;
        pair(f, "pool", &self.pool)?;
        match self.idempotent {
            Some(true) => f.write_str(" idempotent"),
            Some(false) => f.write_str(" non-idempotent"),
            None => Ok(()),
        }
    }
}

impl Display for List {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.topic)?;
        pair(f, "of", &self.of)?;
        for (index, condition) in self.conditions.iter().enumerate() {
            let word = if index == 0 { "where" } else { "and" };
            write!(f, " {word} {condition}")?;
        }
        Ok(())
    }
}
