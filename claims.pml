/*
 * The claim log of one shard, seen through one idempotency key.
 *
 * Every step is atomic and any process may wait for any time before its next
 * step, so a pause, a slow network and a platform outage need no steps of
 * their own.  A message once sent may arrive at any later time or never: it
 * is a flag that stays set.  A create once sent may take effect at any later
 * time while its object is absent, which covers lost requests, lost answers,
 * late effects and repeated sends.
 *
 * Properties, as assertions: the key is dispatched at most once; "not run" is
 * said only while nothing of the key has run; with FINAL, nothing of the key
 * runs after it either; a granted claim is in the view of every later owner.
 * README.md lists the broken variants (-D names) that the check must reject.
 */

#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef TRIES
#define TRIES 3
#endif
#ifndef OBJECTS
#define OBJECTS 4
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

/* Incarnations are numbered from 1; daemon d starts as incarnation d + 1. */
#define INCARNATIONS (DAEMONS + CRASHES)
/* A batch: the try that is claimed and the try whose claim is voided, 0 for none.
 * An empty one takes over; OPEN does so after its writer read a close. A
 * checkpoint repeats the holder. */
#define BATCH(claim, void) ((claim) + 4 * (void))
#define SAVED(holder) (16 + (holder))
#define IS_SAVED(batch) ((batch) / 16 == 1)
#define CLAIM(batch) ((batch) < 16 -> (batch) % 4 : 0)
#define VOID(batch) ((batch) < 16 -> (batch) / 4 : 0)
#define CLOSE 32
#define OPEN 33
#define BIT(t) (1 << (t))
#define HAS(mask, t) (((mask) >> (t)) & 1)
#define ROOM 7 /* objects, with some to spare */
#define SLOT(n, i) ((n) * (INCARNATIONS + 1) + (i))

/* What an entry does with a try of the key. */
#define NEW 0     /* the caller has not made it */
#define WAITING 1 /* the right to run is asked for */
#define SENT 2    /* dispatched to an endpoint */
#define CLOSED 3  /* refused; the entry can't send it any more */
#define DEAD 4    /* lost in a crash */

/* The platform: objects 1 to OBJECTS, and creates that may yet take effect. */
byte writer[ROOM];
byte batch[ROOM];
byte offer[ROOM * (INCARNATIONS + 1)]; /* batch + 1, 0 for none */
byte fences; /* mask of objects that are never deleted */

/* Daemons as owners of the shard. */
byte life[DAEMONS];   /* incarnation */
bool owner[DAEMONS];  /* believes that it owns the shard */
byte next[DAEMONS];   /* next object to read or create, 0 if it does neither */
byte holder[DAEMONS]; /* try that holds the key, as read so far */
bool closed[DAEMONS]; /* whether the last object read is a close */
bool pending[DAEMONS];
byte sent[DAEMONS]; /* the pending batch */
byte lives = DAEMONS;

/* Tries of the key, numbered from 1, and the messages about them. */
byte state[TRIES + 1];
byte place[TRIES + 1]; /* daemon that is its entry */
byte asked;            /* masks of tries */
byte granted;
byte released;

/* Ghosts that only assertions read. */
byte told; /* tries made before an answer "not run" */
bool ran;

inline apply(d, b) {
	if
	:: IS_SAVED(b) -> holder[d] = b - 16
	:: else
	fi;
	closed[d] = (b == CLOSE);
	if
	:: VOID(b) != 0 && holder[d] == VOID(b) -> holder[d] = 0
	:: else
	fi;
	if
	:: CLAIM(b) != 0 && holder[d] == 0 -> holder[d] = CLAIM(b)
	:: else
	fi
}

inline create(d, b) {
	pending[d] = true;
	sent[d] = b;
	offer[SLOT(next[d], life[d])] = b + 1
}

/* Whether there are objects from a number on. */
#define IS(n, m) ((m) <= OBJECTS && (m) >= (n) && writer[m] != 0)
#define ANY_FROM(n) (IS(n, 1) || IS(n, 2) || IS(n, 3) || IS(n, 4) || IS(n, 5))

/* Starts to read, from the latest checkpoint. */
inline start(d) {
	if
	:: IS_SAVED(batch[5]) -> next[d] = 5
	:: else ->
		if
		:: IS_SAVED(batch[4]) -> next[d] = 4
		:: else ->
			if
			:: IS_SAVED(batch[3]) -> next[d] = 3
			:: else -> next[d] = (IS_SAVED(batch[2]) -> 2 : 1)
			fi
		fi
	fi
}

inline fenced(d) {
	owner[d] = false;
	pending[d] = false;
	sent[d] = 0;
	next[d] = 0;
	holder[d] = 0;
	closed[d] = false
}

/* Shows what a broken variant does at the end, beyond the loss of a claim. */
#ifndef ONLY_RUNS
#define ONLY_RUNS 0
#endif

/* A claim that was granted is in the view of every owner that is up to date. */
#define KEPT(d, t) (!HAS(granted, t) || state[t] != WAITING && state[t] != SENT || holder[d] == t)

inline settled(d) {
	apply(d, sent[d]);
	if
	:: CLAIM(sent[d]) != 0 && holder[d] == CLAIM(sent[d]) ->
		granted = granted | BIT(CLAIM(sent[d]))
	:: else
	fi;
	owner[d] = true;
	pending[d] = false;
	sent[d] = 0;
	next[d]++;
	assert(ONLY_RUNS || ANY_FROM(next[d]) || KEPT(d, 1) && KEPT(d, 2) && KEPT(d, TRIES))
}

/* A late create finds its number free again if the object was deleted. So one
 * who takes over looks for later objects after its own was made, and the object
 * by which it took over, which may be where the former owner still tries to
 * write, is never deleted, unless the former owner had closed. */
#ifdef NO_LATER_CHECK
#define OUTDATED(d) false
#else
#define OUTDATED(d) (!owner[d] && ANY_FROM(next[d] + 1))
#endif

#if defined(SAME_INCARNATION)
#define MINE(d) (writer[next[d]] == life[d] || writer[next[d]] == d + 1)
#elif defined(NO_NONCE)
#define MINE(d) (writer[next[d]] == life[d])
#else
#define MINE(d) (writer[next[d]] == life[d] && batch[next[d]] == sent[d])
#endif

/* Any create that was sent may take effect while its object is absent. */
#ifdef BLIND_WRITE
#define VACANT(n) true
#else
#define VACANT(n) (writer[n] == 0)
#endif
#define EFFECT(n, i) \
	:: d_step { \
		VACANT(n) && offer[SLOT(n, i)] != 0 -> \
		writer[n] = i; \
		batch[n] = offer[SLOT(n, i)] - 1; \
		forget(n, i) \
	   }

/* An object before a checkpoint may be deleted. */
#define DELETABLE(n, m) (n < m && m <= OBJECTS && IS_SAVED(batch[m]))
#define DELETE(n) \
	:: d_step { \
		writer[n] != 0 && !HAS(fences, n) \
			&& (DELETABLE(n, 2) || DELETABLE(n, 3) || DELETABLE(n, 4) || DELETABLE(n, 5)) -> \
		writer[n] = 0; \
		batch[n] = 0 \
	   }

/* Without deletion a create of an object that exists never takes effect. */
inline forget(n, i) {
#ifdef BLIND_WRITE
	offer[SLOT(n, i)] = 0;
#elif !defined(CHECKPOINT)
	offer[SLOT(n, 1)] = 0;
	offer[SLOT(n, 2)] = 0;
#if DAEMONS + CRASHES > 2
	offer[SLOT(n, 3)] = 0;
#endif
#if DAEMONS + CRASHES > 3
	offer[SLOT(n, 4)] = 0;
#endif
#elif !defined(DELETED_FENCE)
	fences = (batch[n] == 0 && !ANY_FROM(n + 1) -> fences | BIT(n) : fences);
#endif
	skip
}

#if DAEMONS + CRASHES == 2
#define EFFECTS(n) EFFECT(n, 1) EFFECT(n, 2)
#elif DAEMONS + CRASHES == 3
#define EFFECTS(n) EFFECT(n, 1) EFFECT(n, 2) EFFECT(n, 3)
#else
#define EFFECTS(n) EFFECT(n, 1) EFFECT(n, 2) EFFECT(n, 3) EFFECT(n, 4)
#endif

proctype Platform() {
end:
	do
	EFFECTS(1)
	EFFECTS(2)
	EFFECTS(3)
#if OBJECTS > 3
	EFFECTS(4)
#endif
#if OBJECTS > 4
	EFFECTS(5)
#endif
#ifdef CHECKPOINT
	DELETE(1)
	DELETE(2)
	DELETE(3)
#endif
	od
}

#define HOSTS(d, t) (state[t] == WAITING && place[t] == d)

inline lose_try(d, t) {
	if
	:: HOSTS(d, t) -> state[t] = DEAD; place[t] = 0
	:: else
	fi
}

inline lose(d) {
	lose_try(d, 1);
	lose_try(d, 2);
#if TRIES > 2
	lose_try(d, 3)
#endif
}

/* The key is held by a try that was given up. */
#ifdef VOID_ON_SUSPICION
#define GIVEN_UP(d) (holder[d] != 0)
#else
#define GIVEN_UP(d) (holder[d] != 0 && HAS(released, holder[d]))
#endif

#ifdef NO_VOID
#define CLAIMABLE(d) (holder[d] == 0)
#else
#define CLAIMABLE(d) (holder[d] == 0 || GIVEN_UP(d))
#endif

#define CLAIMS(d, t) \
	:: atomic { \
		owner[d] && !pending[d] && next[d] <= OBJECTS && HAS(asked, t) \
			&& t != holder[d] && CLAIMABLE(d) -> \
		create(d, BATCH(t, holder[d])) \
	   }

proctype Daemon(byte d) {
end:
	do
	/* Take over: read to the end, then create the next object, empty. */
#ifdef CHECKPOINT
	:: atomic {
		!owner[d] && !pending[d] && next[d] == 0 && writer[OBJECTS] == 0 ->
		start(d)
	   }
	:: atomic {
		!owner[d] && !pending[d] && next[d] != 0 && writer[next[d]] != 0 ->
		apply(d, batch[next[d]]);
		next[d]++
	   }
	:: atomic {
		!owner[d] && !pending[d] && next[d] != 0 && writer[next[d]] == 0 ->
		if
		:: next[d] <= OBJECTS -> create(d, (closed[d] -> OPEN : 0))
		:: else -> fenced(d)
		fi
	   }
#else
	:: atomic {
		!owner[d] && !pending[d] && writer[OBJECTS] == 0 ->
		start(d);
		do
		:: writer[next[d]] != 0 -> apply(d, batch[next[d]]); next[d]++
		:: else -> break
		od;
		create(d, 0)
	   }
#endif
	/* Write a batch. */
	CLAIMS(d, 1)
	CLAIMS(d, 2)
#if TRIES > 2
	CLAIMS(d, 3)
#endif
#ifdef NO_VOID
	:: atomic { owner[d] && !pending[d] && GIVEN_UP(d) -> holder[d] = 0 }
#else
	:: atomic {
		owner[d] && !pending[d] && next[d] <= OBJECTS && GIVEN_UP(d) ->
		create(d, BATCH(0, holder[d]))
	   }
#endif
	/* Learn what became of the pending object. */
	:: atomic {
		pending[d] && writer[next[d]] != 0 ->
		if
		:: OUTDATED(d) -> fenced(d)
		:: !OUTDATED(d) && MINE(d) && sent[d] == CLOSE -> fenced(d)
		:: !OUTDATED(d) && MINE(d) && sent[d] != CLOSE -> settled(d)
#ifdef NO_FENCE
		:: !OUTDATED(d) && !MINE(d) && owner[d] && next[d] < OBJECTS ->
			next[d]++;
			create(d, sent[d])
		:: !OUTDATED(d) && !MINE(d) && !(owner[d] && next[d] < OBJECTS) -> fenced(d)
#else
		:: !OUTDATED(d) && !MINE(d) -> fenced(d)
#endif
		fi
	   }
#ifdef NO_READ_BACK
	/* An answer that did not come is taken for success. */
	:: atomic { pending[d] && owner[d] && writer[next[d]] == 0 -> settled(d) }
#endif
#ifdef NEW_NUMBER_BEFORE_SETTLE
	/* An answer that did not come is taken for failure. */
	:: atomic {
		pending[d] && owner[d] && writer[next[d]] == 0 && next[d] < OBJECTS ->
		pending[d] = false;
		sent[d] = 0;
		next[d]++
	   }
#endif
#ifdef NO_NONCE
	/* Another batch is sent under the same number, and never arrives. */
	:: atomic { pending[d] && owner[d] && CLAIM(sent[d]) == 1 -> sent[d] = BATCH(2, VOID(sent[d])) }
#endif
#ifdef CHECKPOINT
	/* Write a checkpoint. */
	:: atomic {
		owner[d] && !pending[d] && next[d] <= OBJECTS ->
		create(d, SAVED(holder[d]))
	   }
	/* Leave in order. */
	:: atomic { owner[d] && !pending[d] && next[d] <= OBJECTS -> create(d, CLOSE) }
#endif
	/* Crash: memory is lost, messages and creates are not. */
	:: atomic {
		lives < INCARNATIONS && (owner[d] || pending[d] || HOSTS(d, 1) || HOSTS(d, 2) || HOSTS(d, TRIES)) ->
		lives++;
		life[d] = lives;
		fenced(d);
		lose(d)
	   }
	od
}

#define MADE(t) (state[t] != NEW -> BIT(t) : 0)
#if TRIES > 2
#define ALL_MADE (MADE(1) | MADE(2) | MADE(3))
#else
#define ALL_MADE (MADE(1) | MADE(2))
#endif

/* The answer "not run": nothing of the key ran. */
inline say_not_run() {
	assert(!ran);
#ifdef FINAL
	told = told | ALL_MADE
#endif
}

/* The good ends that must be reachable: the check expects these to fail. */
inline seek(t) {
#ifdef SEEK_RUN
	assert(false)
#elif defined(SEEK_TAKEOVER)
	assert(!(CLAIM(batch[3]) == t && writer[3] != writer[1]))
#elif defined(SEEK_VOID)
	assert(!(VOID(batch[3]) != 0 && state[VOID(batch[3])] == CLOSED))
#elif defined(SEEK_CRASH)
	assert(!(state[1] == DEAD && lives > DAEMONS))
#elif defined(SEEK_CHECKPOINT)
	assert(!(IS_SAVED(batch[3]) && writer[2] == 0 && writer[4] == writer[1] % 2 + 1))
#else
	skip
#endif
}

/* An owner, perhaps an outdated one, sees that a try which was given up holds the key. */
#define HELD_BY_CLOSED(d, t) (holder[d] != 0 && holder[d] != t && state[holder[d]] == CLOSED)

/* One try of the key at its entry; the entry alone may dispatch it. */
proctype Try(byte t) {
	/* The caller tries at any daemon.  Tries are alike, so they start in order. */
	atomic {
		t == 1 || state[t - 1] != NEW;
		if
		:: place[t] = 0
		:: t > 1 -> place[t] = 1
#if DAEMONS > 2
		:: t > 1 -> place[t] = 2
#endif
		fi;
		state[t] = WAITING;
		asked = asked | BIT(t)
	}
#ifdef RELEASE_WHILE_ABLE
	released = released | BIT(t);
#endif
wait:
	if
	/* Granted: dispatch. */
	:: atomic {
		state[t] == WAITING && HAS(granted, t) ->
		assert(!ran);
		assert(!HAS(told, t));
		seek(t);
		ran = true;
		state[t] = SENT
	   }
	/* Granted, but refused before it was sent. */
	:: atomic {
		state[t] == WAITING && HAS(granted, t) ->
#ifdef NOT_RUN_WHILE_ABLE
		told = told | BIT(t);
#else
		state[t] = CLOSED;
#endif
		say_not_run();
#if !defined(FINAL) || defined(RELEASE_AFTER_NOT_RUN)
		released = released | BIT(t)
#endif
	   }
#ifdef NOT_RUN_WHILE_ABLE
	   goto wait
#endif
	/* Given up before a grant arrived: only this try is known not to be sent. */
	:: atomic {
		state[t] == WAITING ->
		state[t] = CLOSED;
#ifdef NOT_RUN_WITHOUT_CLAIM
		say_not_run();
#endif
		released = released | BIT(t)
	   }
#ifdef NON_CLAIMANT_NOT_RUN
	/* The owner answers that another try holds the key. */
	:: atomic {
		state[t] == WAITING && (owner[0] && holder[0] != 0 && holder[0] != t
			|| owner[1] && holder[1] != 0 && holder[1] != t) ->
		state[t] = CLOSED;
		say_not_run();
		released = released | BIT(t)
	   }
#endif
#ifdef RELAYED_NOT_RUN
	/* The claimant of the try that holds the key says that it never will send. */
	:: atomic {
		state[t] == WAITING && (HELD_BY_CLOSED(0, t) || HELD_BY_CLOSED(1, t)) ->
		state[t] = CLOSED;
		say_not_run();
		released = released | BIT(t)
	   }
#endif
	/* Lost with its entry. */
	:: state[t] == DEAD
	fi;
	place[t] = 0
}

init {
	byte d;
	atomic {
		do
		:: d < DAEMONS ->
			life[d] = d + 1;
			run Daemon(d);
			d++
		:: else -> break
		od;
		d = 0;
		run Platform();
		run Try(1);
		run Try(2);
#if TRIES > 2
		run Try(3)
#endif
	}
}
