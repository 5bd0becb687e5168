//! Load, experiments and the demo.

pub mod demo;
pub mod policy;
pub mod spread;
