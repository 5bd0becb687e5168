/*
 * The head of the configuration, changed by conditional update, and its
 * spread to the daemons.
 *
 * A head of generation g is the row of the changes made[1] to made[g]; it
 * carries the ids of the last LIST of them.  A change belongs to one part and
 * names the generation that its author saw.  Two daemons may handle the same
 * change, one after the other or at once: its author tries again elsewhere and
 * no longer listens to the first, unless it says "accepted".  With WITHDRAW a
 * change is checked against the head that its daemon read first, and the
 * second daemon refuses it only by a void record in the head.
 *
 * Every step is atomic and any process may wait for any time before its next
 * step.  An update once sent may take effect at any later time while the head
 * is still the one that it names, which covers lost requests, lost answers
 * and late effects.  News of a generation may arrive late and often.
 *
 * Properties, as assertions: a change that was in a head is in every later
 * one and is there once; "accepted" and "conflict" are right and stay right;
 * no daemon's generation falls during one life, and none is ready without one.
 * README.md lists the broken variants (-D names) that the check must reject.
 */

#ifndef LIST
#define LIST 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define CHANGES 3
#define DAEMONS 2
#define LAST 4 /* generations that the model has room for */

#define BIT(n) (1 << (n))
#define HAS(mask, n) (((mask) >> (n)) & 1)

/* Changes 1 and 2 touch part 1, change 3 touches part 2, a void record none. */
#define VOIDED(x) ((x) + 4)
#define PART(x) ((x) > 3 -> 0 : ((x) + 1) / 2)

/* The platform. */
byte head;
byte made[LAST + 2];     /* the change that made a generation, or VOIDED(change) */
byte offer[CHANGES + 1]; /* mask of heads that an update with the change names */
byte voids[CHANGES + 1]; /* the same for updates with a void record */

/* Changes. */
byte seen[CHANGES + 1]; /* generation that its author saw */
bool issued[CHANGES + 1];
bool repeated[CHANGES + 1]; /* the second daemon was asked */
bool answered[CHANGES + 1]; /* the author got an answer that settles it */

/* Daemons. */
byte current[DAEMONS]; /* generation in force, 0 for none */
bool ready[DAEMONS];
byte restarts;

/* Ghosts that only assertions read. */
byte ever;    /* changes that were in a head */
byte refused; /* changes whose author was told "conflict" */
byte unsure;  /* changes whose author was told "unknown" */

/* Whether generation n is among those up to g and was made by the change. */
#define MADE(x, g, n) ((n) <= (g) && made[n] == (x))
#define IN_HEAD(x, g) (MADE(x, g, 1) || MADE(x, g, 2) || MADE(x, g, 3) || MADE(x, g, 4))
/* Whether the head's list of recent changes has the change's id. */
#define LISTED_AT(x, g, n) (MADE(x, g, n) && (n) + LIST > (g))
#define LISTED(x, g) (LISTED_AT(x, g, 1) || LISTED_AT(x, g, 2) \
	|| LISTED_AT(x, g, 3) || LISTED_AT(x, g, 4))
/* Whether that list goes back to the generation that the author saw. */
#define COMPLETE(g, since) ((g) <= (since) + LIST)
/* Whether another change has touched the part since then. */
#define CLASH_AT(x, g, since, n) ((n) <= (g) && (n) > (since) && made[n] != 0 \
	&& made[n] != (x) && PART(made[n]) == PART(x))
#define CLASH(x, g, since) (CLASH_AT(x, g, since, 1) || CLASH_AT(x, g, since, 2) \
	|| CLASH_AT(x, g, since, 3) || CLASH_AT(x, g, since, 4))

/* The good ends that must be reachable: the check expects these to fail. */
#ifdef SEEK_REBASE
#define seek_effect(x, g) assert((g) == seen[x])
#else
#define seek_effect(x, g) skip
#endif
#ifdef SEEK_LATE
#define seek_accepted(x) assert(!HAS(unsure, x))
#elif defined(SEEK_ACCEPTED)
#define seek_accepted(x) assert(false)
#else
#define seek_accepted(x) skip
#endif
#ifdef SEEK_CONFLICT
#define seek_conflict(x) assert(false)
#else
#define seek_conflict(x) skip
#endif
#ifdef SEEK_WITHDRAWN
#define seek_withdrawn() assert(false)
#else
#define seek_withdrawn() skip
#endif
#ifdef SEEK_UNKNOWN
#define seek_unknown(x) assert(false)
#else
#define seek_unknown(x) skip
#endif
#ifdef SEEK_IN_FORCE
#define seek_force() assert(!(current[0] == 3 && current[1] == 3 && restarts > 0))
#else
#define seek_force() skip
#endif

inline say_accepted(x) {
	seek_accepted(x);
	answered[x] = true;
	assert(IN_HEAD(x, head))
}

inline say_conflict(x, heard) {
	if
	:: heard ->
		seek_conflict(x);
		assert(!HAS(ever, x));
		answered[x] = true;
		refused = refused | BIT(x)
	:: else
	fi
}

inline say_unknown(x) {
	seek_unknown(x);
#ifdef SEEK_LATE
	unsure = unsure | BIT(x)
#endif
}

#ifdef BLIND_WRITE
#define CURRENT(g) (head >= (g))
#else
#define CURRENT(g) (head == (g))
#endif

/* An update that carries old parts under the new version drops what came between. */
inline carry(x, g) {
#ifdef OLD_PARTS
	if
	:: seen[x] < g -> made[g] = 0
	:: else
	fi
#else
	skip
#endif
}

/* An update that names an older head never takes effect. */
inline forget(x, g) {
#ifdef BLIND_WRITE
	offer[x] = offer[x] & (255 - BIT(g))
#else
	offer[1] = 0;
	offer[2] = 0;
	offer[3] = 0;
	voids[1] = 0;
	voids[2] = 0;
	voids[3] = 0
#endif
}

#define WITHDRAWN(x, g) \
	:: d_step { \
		HAS(voids[x], g) && CURRENT(g) -> \
		forget(x, g); \
		head = (g) + 1; \
		made[head] = VOIDED(x) \
	   }

#define EFFECT(x, g) \
	:: atomic { \
		HAS(offer[x], g) && CURRENT(g) -> \
		assert(!IN_HEAD(x, g)); \
		assert(!HAS(refused, x) && !IN_HEAD(VOIDED(x), g)); \
		seek_effect(x, g); \
		carry(x, g); \
		head = (g) + 1; \
		made[head] = x; \
		forget(x, g); \
		ever = ever | BIT(x); \
		assert(!HAS(ever, 1) || IN_HEAD(1, head)); \
		assert(!HAS(ever, 2) || IN_HEAD(2, head)); \
		assert(!HAS(ever, 3) || IN_HEAD(3, head)); \
		assert(current[0] < head && current[1] < head) \
	   }
#define EFFECTS(x) EFFECT(x, 0) EFFECT(x, 1) EFFECT(x, 2) EFFECT(x, 3)

proctype Platform() {
end:
	do
	EFFECTS(1)
	EFFECTS(2)
	EFFECTS(3)
#ifdef WITHDRAW
	WITHDRAWN(1, 1) WITHDRAWN(1, 2) WITHDRAWN(1, 3)
#endif
	od
}

/* The author listens to the daemon that it asked last. */
#define HEARD(x) (!first || !repeated[x])

/* Whether an update may be sent: the change is not in the head that was read. */
#ifdef SHORT_MEMORY
#define REACHES(x, g, since) true
#elif defined(FORGOTTEN)
#define REACHES(x, g, since) COMPLETE(g, since)
#else
#define REACHES(x, g, since) COMPLETE(g, seen[x])
#endif
#ifdef NO_CHANGE_ID
#define ABSENT(x, g, since) true
#else
#define ABSENT(x, g, since) (!LISTED(x, g) && !LISTED(VOIDED(x), g) && REACHES(x, g, since))
#endif

/* A daemon that handles the change, as its author's first or second choice. */
proctype Handler(byte x; bool first) {
	byte at;    /* head that was read */
	byte since; /* generation against which the change is checked */
	/* Its author has seen some head, perhaps an old one. */
	atomic {
		if
		:: first -> issued[x] = true; seen[x] = head
		:: first && head > 0 -> issued[x] = true; seen[x] = head - 1
		:: !first && issued[x] && !answered[x] -> repeated[x] = true
		:: !first && answered[x] -> goto done
		fi;
		since = seen[x]
	}
#if defined(BASE_PER_DAEMON) || defined(WITHDRAW)
	since = head;
#endif
read:
	at = head;
	if
#ifndef NO_CHANGE_ID
	:: atomic { LISTED(x, at) -> say_accepted(x) }
	:: atomic {
		!LISTED(x, at) && !LISTED(VOIDED(x), at) && !REACHES(x, at, since) ->
		say_unknown(x)
	   }
#endif
#ifdef WITHDRAW
	:: atomic { LISTED(VOIDED(x), at) -> seek_withdrawn(); say_conflict(x, HEARD(x)) }
	:: atomic {
		ABSENT(x, at, since) && CLASH(x, at, since) && !first && at < LAST ->
		voids[x] = (CURRENT(at) -> voids[x] | BIT(at) : voids[x]);
		goto sent
	   }
	:: atomic { ABSENT(x, at, since) && CLASH(x, at, since) && !first && at == LAST -> say_unknown(x) }
	:: atomic { ABSENT(x, at, since) && CLASH(x, at, since) && first -> say_conflict(x, HEARD(x)) }
#else
	:: atomic { ABSENT(x, at, since) && CLASH(x, at, since) -> say_conflict(x, HEARD(x)) }
#endif
	:: atomic {
		ABSENT(x, at, since) && !CLASH(x, at, since) && at < LAST ->
		offer[x] = (CURRENT(at) -> offer[x] | BIT(at) : offer[x]);
		goto sent
	   }
	:: atomic { ABSENT(x, at, since) && !CLASH(x, at, since) && at == LAST -> say_unknown(x) }
	fi;
	goto done;
sent:
	if
	/* The head has moved on, by this update or by another: look for the id. */
	:: head > at -> goto read
	/* No answer for long: the update may yet take effect. */
#ifdef REFUSED_TOO_EARLY
	:: atomic { head == at -> say_conflict(x, HEARD(x)) }
#else
	:: atomic { head == at -> say_unknown(x) }
#endif
#ifdef NO_READ_BACK
	/* A repeated update finds that the head has moved; its own id is not looked for. */
	:: atomic { head > at -> say_conflict(x, HEARD(x)) }
#endif
	fi;
done:
	at = 0;
	since = 0
}

#define PEER(d) (1 - (d))

/* News of a generation: from the platform or a peer, late or again. */
#ifdef LOWER_GENERATION
#define WANTED(d, g) true
#else
#define WANTED(d, g) ((g) > current[d])
#endif
#define NEWS(d, g) \
	:: atomic { \
		head >= (g) && ready[d] && WANTED(d, g) -> \
		assert((g) >= current[d]); \
		current[d] = (g); \
		seek_force() \
	   }

proctype Daemon(byte d) {
end:
	do
	NEWS(d, 1)
	NEWS(d, 2)
	NEWS(d, 3)
	NEWS(d, 4)
	/* Start: from the platform, or in an outage from the peers that answer. */
	:: atomic { !ready[d] && head > 0 -> current[d] = head; ready[d] = true }
#ifdef READY_WITHOUT_PEER
	:: atomic { !ready[d] -> ready[d] = true; current[d] = current[PEER(d)] }
#else
	:: atomic { !ready[d] && ready[PEER(d)] -> current[d] = current[PEER(d)]; ready[d] = true }
#endif
	:: atomic {
		ready[d] && restarts < RESTARTS ->
		restarts++;
		ready[d] = false;
		current[d] = 0
	   }
	:: atomic { ready[d] && current[d] == 0 -> assert(false) }
	od
}

init {
	atomic {
		run Platform();
#ifndef HEAD_ONLY
		run Daemon(0);
		run Daemon(1);
#endif
		run Handler(1, true);
		run Handler(2, true);
		run Handler(3, true);
		/* The second daemon, which the author asks after the first. */
#ifdef HEAD_ONLY
		run Handler(1, false);
#ifndef WITHDRAW
		run Handler(3, false)
#endif
#endif
	}
}
