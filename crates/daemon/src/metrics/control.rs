//! Control traffic and the configuration generation, collected at each scrape.

use std::fmt;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

use derive_more::Debug;
use medlarrill_net::link::Links;
use medlarrill_net::platform::Client;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{
    DescriptorEncoder, EncodeLabelSet, EncodeMetric, MetricEncoder, NoLabelSet,
};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;
use tokio::sync::watch;

use crate::configuration::ConfigView;

/// Sources of the collected counts.
#[derive(Debug)]
pub struct ControlSources {
    /// Links to other daemons.
    #[debug(skip)]
    pub links: Links,
    /// Client of the platform.
    pub platform: Client,
    /// The configuration in force.
    #[debug(skip)]
    pub config: watch::Receiver<Arc<ConfigView>>,
}

/// Collects from the sources, once they are set.
#[derive(Debug)]
pub(super) struct ControlCollector {
    pub(super) sources: Arc<OnceLock<ControlSources>>,
}

/// Labels of traffic on links.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, EncodeLabelSet)]
struct LinkLabel {
    direction: &'static str,
    kind: &'static str,
}

/// Labels of calls to the platform.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, EncodeLabelSet)]
struct CallLabel {
    role: String,
    kind: String,
    ending: String,
}

/// Labels of bytes to and from the platform.
#[derive(Clone, PartialEq, Eq, Hash)]
#[derive(Debug, EncodeLabelSet)]
struct ByteLabel {
    role: String,
    direction: &'static str,
}

impl Collector for ControlCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let Some(sources) = self.sources.get() else {
            return Ok(());
        };
        generation(sources, &mut encoder)?;
        links(sources, &mut encoder)?;
        refused(sources, &mut encoder)?;
        platform(sources, &mut encoder)
    }
}

fn generation(sources: &ControlSources, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let generation = sources.config.borrow().config.generation;
    let gauge = ConstGauge::new(i64::try_from(generation.0).unwrap_or(i64::MAX));
    let help = "Generation of the configuration in force";
    let metric = encoder.encode_descriptor("generation", help, None, MetricType::Gauge)?;
    gauge.encode(metric)
}

fn links(sources: &ControlSources, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let counts = sources.links.counts();
    let all = [("sent", counts.sent()), ("heard", counts.received())];
    let each = || {
        all.iter().flat_map(|(direction, kinds)| {
            kinds.iter().map(move |(kind, count)| {
                let label = LinkLabel { direction, kind };
                (label, *count)
            })
        })
    };
    let mut messages = counter(encoder, "link_messages", "Messages on links")?;
    for (label, count) in each() {
        add(&mut messages, &label, count.messages)?;
    }
    let mut bytes = counter(encoder, "link_bytes", "Bytes on links, with framing")?;
    for (label, count) in each() {
        add(&mut bytes, &label, count.bytes)?;
    }
    Ok(())
}

fn refused(sources: &ControlSources, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let counts = sources.links.counts();
    let refused = counts.refused.load(Ordering::Relaxed);
    let help = "Links refused for a wrong fleet or key";
    let mut metric = counter(encoder, "links_refused", help)?;
    metric.encode_counter::<NoLabelSet, _, u64>(&refused, None)?;
    let malformed = counts.malformed.load(Ordering::Relaxed);
    let help = "Links closed for a message that can't be read";
    let mut metric = counter(encoder, "links_malformed", help)?;
    metric.encode_counter::<NoLabelSet, _, u64>(&malformed, None)
}

fn platform(sources: &ControlSources, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let snapshot = sources.platform.snapshot();
    let mut calls = counter(encoder, "platform_calls", "Calls to the platform")?;
    for call in &snapshot.calls {
        let label = CallLabel {
            role: call.role.to_string(),
            kind: call.kind.to_string(),
            ending: call.ending.to_string(),
        };
        add(&mut calls, &label, call.count)?;
    }
    let help = "Bytes of paths and bodies to and from the platform";
    let mut bytes = counter(encoder, "platform_bytes", help)?;
    for count in &snapshot.bytes {
        for (direction, value) in [("sent", count.sent), ("heard", count.received)] {
            let role = count.role.to_string();
            add(&mut bytes, &ByteLabel { role, direction }, value)?;
        }
    }
    Ok(())
}

fn counter<'a>(
    encoder: &'a mut DescriptorEncoder<'_>,
    name: &'a str,
    help: &'a str,
) -> Result<MetricEncoder<'a>, fmt::Error> {
    encoder.encode_descriptor(name, help, None, MetricType::Counter)
}

fn add(metric: &mut MetricEncoder<'_>, label: &impl EncodeLabelSet, value: u64) -> fmt::Result {
    let mut one = metric.encode_family(label)?;
    one.encode_counter::<NoLabelSet, _, u64>(&value, None)
}
