//! How counters and lines are read.

use googletest::prelude::*;
use medlarrill_lab::control::Line;
use medlarrill_lab::sample::Counters;

const TEXT: &str = "\
# HELP medlarrill_link_bytes Bytes.
medlarrill_link_bytes_total{direction=\"sent\",kind=\"gossip\"} 120
medlarrill_link_bytes_total{direction=\"sent\",kind=\"chunk\"} 30
medlarrill_link_bytes_total{direction=\"received\",kind=\"gossip\"} 7
medlarrill_link_bytes_total_more 1000
medlarrill_generation 4
# EOF
";

#[gtest]
fn counters_are_summed_by_label() {
    let counters = Counters::parse(TEXT);
    let name = "medlarrill_link_bytes_total";
    expect_that!(counters.sum(name, &[]), eq(157.0));
    expect_that!(counters.sum(name, &[("direction", "sent")]), eq(150.0));
    expect_that!(counters.sum("medlarrill_generation", &[]), eq(4.0));
    let kinds = counters.by(name, "kind", &[("direction", "sent")]);
    expect_that!(kinds["gossip"], eq(120.0));
    expect_that!(kinds["chunk"], eq(30.0));
    expect_that!(kinds.len(), eq(2));
}

#[gtest]
fn a_line_goes_through_its_points() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    expect_that!(line.base, near(3.0, 1e-9));
    expect_that!(line.slope, near(2.0, 1e-9));
    let flat = Line::through(&[(6.0, 9.0)]);
    expect_that!(
        flat,
        eq(Line {
            base: 9.0,
            slope: 0.0
        })
    );
}
