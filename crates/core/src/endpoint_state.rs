//! What is known of an endpoint, and whether it may be given new work.
