//! Load, experiments and the demo.

pub mod blame;
pub mod child;
pub mod control;
pub mod demo;
pub mod error;
pub mod load;
pub mod policy;
pub mod sample;
pub mod silence;
pub mod soak;
pub mod spread;
