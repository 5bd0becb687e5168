/*
 * Where a stream goes on that its caller takes up after all daemons ended at
 * once, by the versions that the platform lists and those that it kept.
 *
 * Version 1 serves from the start; version 2 comes at some time, and each may
 * leave for good.  Before the first end a stream begins at one of them.  A hub
 * keeps the versions that it has seen on the platform; after an end it has seen
 * nothing, and adds what it reads there.  The store may go back to a copy of its
 * list and of what was kept.  A daemon that takes the stream up lists in parts,
 * and reads what was kept.
 *
 * Steps may come at any time and in any order, so that writes are late or never
 * made.  Property, as an assertion: the stream never goes on at another version
 * than the one that began it.  README.md lists the broken variants (-D names)
 * that the check must reject.
 */

#ifndef KILLS
#define KILLS 2
#endif
#ifndef RESTORES
#define RESTORES 1
#endif

/* The platform; versions are 1 and 2. */
bool alive[3];        /* whether endpoints of the version run */
bool came2;
bool listed[3];
bool kept[3];
bool unknown;         /* others may have served, by what was kept */
byte stamp;           /* era in which it was written */
byte era;

/* A copy of it. */
bool copied;
bool c_listed[3];
bool c_kept[3];
bool c_unknown;
byte c_stamp;

/* The hub. */
bool seen[3];
bool complete = true; /* whether it would have seen all that served lately */
bool loaded;
bool read[3];
bool read_unknown;
byte read_era;

/* Whether the daemons' settings still call it the first start; not where nothing was kept. */
bool first;
bool first_hub;       /* whether what the hub has read agrees */

byte ends;            /* how often all daemons ended */
bool named2;          /* whether a daemon knows that version 2 is kept */
byte version;         /* that began the stream, 0 before */
bool own[3];          /* the list of the daemon that takes it up */
byte goes_on;

#define LEFT_FOR_LONG(v) (!listed[v] && !alive[v] && version != v)

inline end_all() {
	ends++;
	seen[1] = false; seen[2] = false;
	own[1] = false; own[2] = false;
	complete = false; loaded = false; named2 = false;
	first_hub = false;
	if
	:: first = kept[1] || kept[2]
	:: first = false
	fi
}

inline copy() {
	copied = true;
	c_listed[1] = listed[1]; c_listed[2] = listed[2];
	c_kept[1] = kept[1]; c_kept[2] = kept[2];
	c_unknown = unknown; c_stamp = stamp
}

inline restore() {
	era++;
	listed[1] = c_listed[1]; listed[2] = c_listed[2];
	kept[1] = c_kept[1]; kept[2] = c_kept[2];
	unknown = c_unknown; stamp = c_stamp;
	loaded = false
}

#define IS_SEEN(kept, list) ((!kept[1] || list[1]) && (!kept[2] || list[2]))

inline load() {
	loaded = true;
	read[1] = kept[1]; read[2] = kept[2];
#ifdef OLD_COPY
	read_unknown = unknown;
#else
	read_unknown = unknown || stamp != era;
#endif
	read_era = era;
#ifdef FIRST_AGAIN
	first_hub = first
#else
	first_hub = first && !read_unknown && IS_SEEN(read, seen)
#endif
}

#define KNOWS_ALL (complete || first_hub)

/* A young hub adds what it has read; of a pool of which nothing was kept, others may have served. */
inline write() {
#ifdef HUB_TRUSTS_EMPTY
	unknown = !KNOWS_ALL && read_unknown;
#else
	unknown = !KNOWS_ALL && (read_unknown || (seen[1] || seen[2]) && !read[1] && !read[2]);
#endif
	kept[1] = seen[1] || !KNOWS_ALL && read[1];
	kept[2] = seen[2] || !KNOWS_ALL && read[2];
	stamp = read_era
}

#ifdef OLD_COPY
#define IS_CURRENT true
#else
#define IS_CURRENT (stamp == era)
#endif
#ifdef IGNORE_ARCHIVE
#define AGREES(p) true
#else
#ifdef EMPTY_PROVES
#define AGREES(p) (!kept[3 - p])
#else
#define AGREES(p) ((kept[p] || first) && !kept[3 - p])
#endif
#endif

/* A version without endpoints writes no events, whatever is concluded. */
inline conclude(p) {
	if
	:: alive[p] && own[p] && !own[3 - p] && !unknown && IS_CURRENT && AGREES(p) -> goes_on = p
	:: else
	fi
}

#ifdef NO_PAUSE
#define MAY_BEGIN2 true
#else
/* The pause is longer than a hub takes to write; it yields where no other version serves. */
#define MAY_BEGIN2 (named2 || !alive[1])
#endif

#define GOING (goes_on == 0)

active proctype world() {
	alive[1] = true; listed[1] = true;
	/* The pool may have come just now, so that nothing was kept of it. */
	if
	:: seen[1] = true; kept[1] = true
	:: true
	fi;
	do
	:: !GOING -> break
	:: atomic { GOING && !came2 -> came2 = true; alive[2] = true; listed[2] = true }
	/* A hub that goes on sees each version before it leaves. */
	:: atomic { GOING && alive[1] && came2 && (seen[1] || !complete) -> alive[1] = false }
	:: atomic { GOING && alive[2] && version != 0 && (seen[2] || !complete) -> alive[2] = false }
	:: atomic { GOING && listed[1] && !alive[1] -> listed[1] = false }
	:: atomic { GOING && listed[2] && !alive[2] -> listed[2] = false }
	:: atomic { GOING && alive[1] && !listed[1] -> listed[1] = true }
	:: atomic { GOING && alive[2] && !listed[2] -> listed[2] = true }
	:: atomic { GOING && !copied && RESTORES > 0 -> copy() }
	:: atomic { GOING && copied && era < RESTORES -> restore() }
	/* The hub. */
	:: atomic { GOING && (listed[1] && !seen[1] || listed[2] && !seen[2]) ->
		seen[1] = seen[1] || listed[1];
		seen[2] = seen[2] || listed[2] }
	:: atomic { GOING && complete && seen[1] && LEFT_FOR_LONG(1) -> seen[1] = false }
	:: atomic { GOING && complete && seen[2] && LEFT_FOR_LONG(2) -> seen[2] = false }
	:: atomic { GOING && !loaded -> load() }
	:: atomic { GOING && loaded -> write() }
	/* Daemons. */
	:: atomic { GOING && kept[2] && !named2 -> named2 = true }
	:: atomic { GOING && ends == 0 && version == 0 && alive[1] && (seen[1] || !came2) -> version = 1 }
	:: atomic { GOING && ends == 0 && version == 0 && alive[2] && listed[2] && MAY_BEGIN2 -> version = 2 }
	:: atomic { GOING && version != 0 && ends < KILLS -> end_all() }
	/* The daemon that takes the stream up. */
	:: atomic { GOING && ends > 0 && listed[1] && !own[1] -> own[1] = true }
	:: atomic { GOING && ends > 0 && listed[2] && !own[2] -> own[2] = true }
	:: atomic { GOING && ends > 0 && version != 0 && (own[1] || own[2]) ->
		if
		:: own[1] -> conclude(1)
		:: own[2] -> conclude(2)
		fi;
		assert(goes_on == 0 || goes_on == version)
#ifdef SEEK_GOES_ON
		; assert(goes_on == 0)
#endif
	}
	od
}
