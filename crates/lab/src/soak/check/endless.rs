//! Endpoints that were read on although their bytes couldn't become an answer.

use derive_more::{Debug, Display};
use medlarrill_platform_standin::Flowed;

use super::super::world::World;

/// Bytes at which an endpoint has to be left.
const LEFT_AT: usize = 64 << 10;

/// An endpoint that was left late.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[derive(Display)]
#[display("e-{endpoint} wrote {} bytes in {} ms until it was left", flowed.bytes, flowed.time.as_millis())]
pub struct LeftLate {
    endpoint: usize,
    flowed: Flowed,
}

/// All endpoints that were left late.
pub fn left_late(world: &World) -> Vec<LeftLate> {
    let mut found = Vec::new();
    for endpoint in 0..world.endpoint_count() {
        let flows = world.flows(endpoint).into_iter();
        let late = flows.filter(|flowed| flowed.bytes > LEFT_AT);
        found.extend(late.map(|flowed| LeftLate { endpoint, flowed }));
    }
    found
}
