//! Direct routing to endpoints: single decisions, and the exchange of loads between daemons.

mod routing {
    mod accept;
    mod backoff;
    mod blame_world;
    mod bound;
    mod brittle;
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
    mod growth;
    mod health;
    mod instance;
    mod keeper;
    mod load;
    mod mirror;
    mod notices;
    mod overload;
    mod parts;
    mod plain;
    mod plan;
    mod prefix_index;
    mod prompts;
    mod quarantine;
    mod reach;
    mod repeats;
    mod request;
    mod runs;
    mod size;
    mod slow_start;
    mod slow_start_ways;
    mod stop;
    mod streams;
    mod support;
    mod unmarked;
    mod view;
    mod world;
}
