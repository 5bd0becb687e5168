//! Routing of requests straight from an entry to endpoints.
//!
//! Used where the platform lists the endpoints and provides the complete
//! configuration. An entry looks up the route and the client account of a request
//! ([`config`]), picks an endpoint by cached prompt prefix and load ([`choose`]),
//! and decides after each failed attempt whether to retry ([`plan`]).
//! The state of endpoints ([`view`]) comes from the platform's list ([`mirror`],
//! [`directory`]), from their responses ([`load`], [`health`]) and from reports of
//! other daemons ([`exchange`]).

pub mod ablation;
pub mod accept;
pub mod answer;
pub mod attempt;
pub mod backoff;
pub mod body_room;
pub mod brittle;
pub mod budget;
pub mod causes;
pub mod choose;
pub mod config;
pub mod directory;
pub mod doubts;
pub mod endpoint;
pub mod events;
pub mod exchange;
pub mod fingerprint;
pub mod fleet;
pub mod health;
pub mod instance;
pub mod load;
pub mod losses;
pub mod mirror;
pub mod newcomer;
pub mod notices;
pub mod outage;
pub mod overload;
pub mod plan;
pub mod prefix_index;
pub mod proof;
pub mod quarantine;
pub mod reach;
pub mod request;
pub mod revision;
pub mod room;
pub mod runs;
pub mod silence;
pub mod slow_start;
pub mod stop;
pub mod streams;
pub mod undelivered;
pub mod unmarked;
pub mod view;
pub mod work;
