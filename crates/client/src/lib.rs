//! Skeleton.
