//! A daemon that routes on the platform, as a process of its own, against the platform's
//! stand-ins.

mod route {
    mod answers;
    mod brittle;
    mod clock_set_back;
    mod copies;
    mod crash;
    mod crowd;
    mod cut;
    mod drains;
    mod endless;
    mod ends;
    mod heads;
    mod hushed_daemons;
    mod hushed_ways;
    mod incident;
    mod isolated;
    mod last_daemon;
    mod left;
    mod left_ids;
    mod losses;
    mod odd_entries;
    mod out_of_step;
    mod own_word;
    mod parts;
    mod rebuilt;
    mod rejoined;
    mod remains;
    mod requests;
    mod restored;
    mod restored_known;
    mod restored_play;
    mod room;
    mod same_id;
    mod setup;
    mod silence;
    mod silence_play;
    mod stand_ins;
    mod stop;
    mod store;
    mod tunnel;
    mod versions;
    mod whose_word;
    mod work;
}
