//! A daemon's counters as its metrics show them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hyper::Method;
use medlarrill_testkit::client;

use crate::error::Result;

/// Values by name and labels, as one text.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Counters {
    values: BTreeMap<String, f64>,
}

impl Counters {
    /// Reads a daemon's metrics.
    ///
    /// # Errors
    ///
    /// When the daemon doesn't answer.
    pub async fn read(address: SocketAddr) -> Result<Self> {
        let request = client::request(Method::GET, "/metrics");
        let answer = client::send(address, request, "").await?;
        Ok(Self::parse(&String::from_utf8_lossy(answer.body())))
    }

    /// Reads OpenMetrics text without timestamps.
    pub fn parse(text: &str) -> Self {
        let value = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Self {
            values: lines.filter_map(value).collect(),
        }
    }

    /// The sum of all values of a name whose labels hold `labels`.
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let own = |key: &&String| is_named(key, name) && labels.iter().all(|l| has(key, *l));
        self.values
            .iter()
            .filter(|(key, _)| own(key))
            .map(|(_, value)| value)
            .sum()
    }

    /// Sums of a name by one of its labels, among values that hold `labels`.
    pub fn by(&self, name: &str, by: &str, labels: &[(&str, &str)]) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (key, value) in &self.values {
            let label = label(key, by);
            if let Some(label) = label
                && is_named(key, name)
                && labels.iter().all(|l| has(key, *l))
            {
                *sums.entry(label.to_owned()).or_default() += value;
            }
        }
        sums
    }
}

fn is_named(key: &str, name: &str) -> bool {
    key.split('{').next() == Some(name)
}

fn has(key: &str, (name, value): (&str, &str)) -> bool {
    label(key, name) == Some(value)
}

fn label<'a>(key: &'a str, name: &str) -> Option<&'a str> {
    let (_, labels) = key.split_once('{')?;
    let labels = labels.trim_end_matches('}');
    labels.split(',').find_map(|label| {
        let (own, value) = label.split_once('=')?;
        (own == name).then(|| value.trim_matches('"'))
    })
}
