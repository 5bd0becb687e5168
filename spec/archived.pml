/*
 * What the platform has of streams after all daemons ended, while two hubs
 * write it and a release goes on.
 *
 * There are two objects: the whole archive names the versions that its writer
 * knows, and its tail has what began since; what the tail says of versions ends
 * with the next write of the whole archive.  Two hubs may both count themselves
 * as the first one.  Each writes on condition of the revisions that it knows;
 * an answer may be lost though the write took effect, and a hub's list may lag.
 * A stream begins at a version, hubs are told of it or not, and its first event
 * goes out once it is written, or without that where the pause of new versions
 * holds.  Then all daemons end; hubs that start again add what they read.  A
 * daemon that takes the stream up lists in parts, and reads the objects at any
 * moment.
 *
 * Properties, as assertions: the stream never goes on at another version than
 * its own; a stream that was confirmed is always found; a reader counts the
 * versions of the last whole archive and of a tail after it, and no others.
 * README.md lists the broken variants (-D names) that the check must reject.
 */

#ifndef KILLS
#define KILLS 1
#endif
#ifndef WHOLES
#define WHOLES 2      /* writes of the whole archive */
#endif
#ifndef TAILS
#define TAILS 1       /* writes of its tail */
#endif

typedef Object {
	bool names[3];
	bool unknown;     /* other versions may have served */
	bool has;         /* whether the stream is there */
	byte rev;
	byte after        /* for a tail, the revision of the whole archive */
};

typedef Hub {
	bool list[3];
	bool kept[3];     /* what it read */
	bool kept_unknown;
	bool loaded;
	byte whole;       /* revisions that it knows */
	byte tail;
	bool built[3];    /* versions that it wrote last */
	bool built_unknown;
	bool told;        /* whether it knows the stream */
	bool wrote        /* whether that is in its last whole archive */
};

Object whole, tail;
Hub hub[2];
bool named[3];        /* by the last whole archive, or a tail after it */

bool alive[3];
bool listed[3];
bool came2;
bool named2;          /* whether the archive has named version 2 for as long as the pause is */
bool confirmed;
bool begun;           /* whether the first event is out */
byte version;         /* that began the stream, 0 before */
byte ends;

/* The daemon that takes the stream up. */
bool own[3];
bool got[3];
bool got_unknown;
bool has_read;
bool is_known;
byte goes_on;

#define GOING (goes_on == 0)
#define IS_OLD (ends == 0)
#define LEFT_FOR_LONG(v) (!listed[v] && !alive[v] && version != v && (v == 1 || came2))
#ifdef TAIL_FOREVER
#define IN_FORCE true
#else
#ifdef TAIL_IGNORED
#define IN_FORCE false
#else
#define IN_FORCE (tail.after == whole.rev)
#endif
#endif
#define COUNTS(v) (whole.names[v] || IN_FORCE && tail.names[v])
#define COUNTS_UNKNOWN (whole.unknown || IN_FORCE && tail.unknown)
#define HAS_STREAM (whole.has || tail.has)

#define KEEPS(h, v) (hub[h].list[v] || !IS_OLD && hub[h].kept[v])
#define KEEPS_UNKNOWN(h) (!IS_OLD && (hub[h].kept_unknown || !hub[h].kept[1] && !hub[h].kept[2]))
#define IS_CHANGED(h) (KEEPS(h, 1) != hub[h].built[1] || KEEPS(h, 2) != hub[h].built[2] || KEEPS_UNKNOWN(h) != hub[h].built_unknown)

/* An old hub follows all changes; another one lists what there is. */
inline list_all(h) {
	hub[h].list[1] = hub[h].list[1] || listed[1];
	hub[h].list[2] = hub[h].list[2] || listed[2] || IS_OLD && came2
}

inline load(h) {
	hub[h].loaded = true;
	hub[h].whole = whole.rev; hub[h].tail = tail.rev;
	hub[h].kept[1] = !IS_OLD && COUNTS(1); hub[h].kept[2] = !IS_OLD && COUNTS(2);
	hub[h].kept_unknown = COUNTS_UNKNOWN;
#ifndef NO_LEARN
	hub[h].told = hub[h].told || HAS_STREAM;
#endif
#ifndef NO_LIST
	list_all(h)
#endif
}

inline unload(h) {
	hub[h].loaded = false;
	hub[h].whole = 0; hub[h].tail = 0
}

/* The answer may be lost; the hub then reads again what is there. */
inline answer(h, known, latest, written) {
	if
	:: known = latest; confirmed = confirmed || written
	:: unload(h)
	fi
}

#ifdef BLIND_WRITE
#define IS_KNOWN(object, revision) true
#else
#define IS_KNOWN(object, revision) (object.rev == revision)
#endif

inline write_whole(h) {
	if
	:: IS_KNOWN(whole, hub[h].whole) ->
		whole.names[1] = KEEPS(h, 1) || hub[h].told && version == 1;
		whole.names[2] = KEEPS(h, 2) || hub[h].told && version == 2;
		whole.unknown = KEEPS_UNKNOWN(h);
		whole.has = hub[h].told;
		whole.rev++;
		named[1] = whole.names[1]; named[2] = whole.names[2];
		answer(h, hub[h].whole, whole.rev, hub[h].told);
		if
		:: hub[h].loaded ->
			hub[h].built[1] = KEEPS(h, 1); hub[h].built[2] = KEEPS(h, 2);
			hub[h].built_unknown = KEEPS_UNKNOWN(h);
			hub[h].wrote = hub[h].told
		:: else
		fi
	:: else -> unload(h)
#ifdef SEEK_CONFLICT
		; assert(false)
#endif
#ifdef CONFIRM_EARLY
		; confirmed = confirmed || hub[h].told
#endif
	fi
}

inline write_tail(h) {
	if
	:: IS_KNOWN(tail, hub[h].tail) ->
		tail.has = hub[h].told && !hub[h].wrote;
		tail.names[1] = hub[h].built[1] || tail.has && version == 1;
		tail.names[2] = hub[h].built[2] || tail.has && version == 2;
		tail.unknown = hub[h].built_unknown;
		tail.rev++;
		tail.after = hub[h].whole;
		named[1] = whole.names[1] || tail.after == whole.rev && tail.names[1];
		named[2] = whole.names[2] || tail.after == whole.rev && tail.names[2];
		answer(h, hub[h].tail, tail.rev, tail.has)
	:: else -> unload(h)
	fi
}

inline end_hub(h) {
	hub[h].list[1] = false; hub[h].list[2] = false;
	hub[h].kept[1] = false; hub[h].kept[2] = false; hub[h].kept_unknown = false;
	hub[h].built[1] = false; hub[h].built[2] = false; hub[h].built_unknown = false;
	hub[h].told = false; hub[h].wrote = false;
	unload(h)
}

inline read_archive() {
#ifndef ONLY_JOINS
	assert(COUNTS(1) == named[1] && COUNTS(2) == named[2]);
	assert(!confirmed || HAS_STREAM);
#endif
	/* One that is complete replaces what was read before. */
	got[1] = COUNTS(1) || COUNTS_UNKNOWN && got[1];
	got[2] = COUNTS(2) || COUNTS_UNKNOWN && got[2];
	got_unknown = COUNTS_UNKNOWN;
	has_read = true;
	/* One that is known goes on at its version or not at all. */
	is_known = is_known || HAS_STREAM;
	if
	:: is_known && alive[version] -> goes_on = version
#ifdef SEEK_KEPT
		; assert(whole.has)
#endif
	:: else
	fi
}

inline conclude(p) {
	if
	:: alive[p] && own[p] && !own[3 - p] && got[p] && !got[3 - p] && !got_unknown ->
		goes_on = p;
		assert(goes_on == version)
#ifdef SEEK_SINGLE
		; assert(false)
#endif
	:: else
	fi
}

#ifdef NO_PAUSE
#define MAY_PASS true
#else
#define MAY_PASS (confirmed || version == 1 || named2 || !alive[1])
#endif

/* A hub counts itself as the first one at any time, beside another one. */
#define HUB(h) \
	:: atomic { GOING -> list_all(h) } \
	:: atomic { GOING && IS_OLD && hub[h].list[1] && LEFT_FOR_LONG(1) -> hub[h].list[1] = false } \
	:: atomic { GOING && IS_OLD && hub[h].list[2] && LEFT_FOR_LONG(2) -> hub[h].list[2] = false } \
	:: atomic { GOING && !hub[h].loaded -> load(h) } \
	:: atomic { GOING && hub[h].loaded && whole.rev < WHOLES -> write_whole(h) } \
	:: atomic { GOING && hub[h].loaded && tail.rev < TAILS && !IS_CHANGED(h) -> write_tail(h) } \
	:: atomic { GOING && IS_OLD && version != 0 && !hub[h].told -> hub[h].told = true }

active proctype world() {
	alive[1] = true; listed[1] = true;
	whole.names[1] = true; named[1] = true;
	hub[0].list[1] = true; hub[1].list[1] = true;
	do
	:: !GOING -> break
	:: atomic { GOING && IS_OLD && !came2 -> came2 = true; alive[2] = true; listed[2] = true }
	:: atomic { GOING && came2 && alive[1] -> alive[1] = false; listed[1] = false }
	:: atomic { GOING && alive[2] && version != 0 -> alive[2] = false; listed[2] = false }
	HUB(0)
	HUB(1)
	/* The stream. */
	:: atomic { GOING && !named2 && COUNTS(2) && version == 0 -> named2 = true }
	:: atomic { GOING && version == 0 && alive[1] -> version = 1 }
	:: atomic { GOING && version == 0 && alive[2] -> version = 2 }
	:: atomic { GOING && IS_OLD && version != 0 && !begun && MAY_PASS -> begun = true }
	/* The daemons. */
	:: atomic { GOING && begun && ends < KILLS ->
		ends++;
		end_hub(0); end_hub(1);
		own[1] = false; own[2] = false;
		got[1] = false; got[2] = false; got_unknown = false;
		has_read = false; is_known = false }
	/* The one that takes the stream up. */
	:: atomic { GOING && !IS_OLD && listed[1] && !own[1] -> own[1] = true }
	:: atomic { GOING && !IS_OLD && listed[2] && !own[2] -> own[2] = true }
	:: atomic { GOING && !IS_OLD && (own[1] || own[2]) -> read_archive() }
	:: atomic { GOING && has_read && !is_known && (own[1] || own[2]) ->
		if
		:: own[1] -> conclude(1)
		:: own[2] -> conclude(2)
		fi }
	od
}
