//! Routing straight to endpoints: each decision by itself, and loads told between daemons.

mod routing {
    mod backoff;
    mod instance;
    mod bound;
    mod budget;
    mod centres;
    mod choose;
    mod choose_plain;
    mod config;
    mod directory;
    mod drains;
    mod events;
    mod evidence;
    mod exchange;
    mod fingerprint;
    mod fleet;
    mod health;
    mod prefix_index;
    mod keeper;
    mod load;
    mod mirror;
    mod notices;
    mod overload;
    mod plain;
    mod plan;
    mod prompts;
    mod quarantine;
    mod repeats;
    mod request;
    mod slow_start;
    mod slow_start_ways;
    mod stop;
    mod support;
    mod view;
    mod world;
}
