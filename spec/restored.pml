/* Copies of a store that may be restored from an older copy of itself, by one
 * daemon that follows the store and one that starts at any moment, reads the
 * store once and is told by the first one.
 *
 * One version that operators confirm, and one endpoint that says that it leaves.
 * What a restoration loses is written again later. Checked: a daemon that knows
 * that the endpoint leaves never takes it back; a daemon that has read all changes
 * of the store as it is knows the newest version and that the endpoint leaves, once
 * both are written again; a daemon that was told knows no less than its source.
 *
 * REVISION: the higher revision wins.  ERA: the later era wins, then the higher
 * revision.  Otherwise: within an era the higher revision; between eras what
 * is newer by its own mark, a version's number or that the endpoint leaves.
 */
#ifndef VERSIONS
#define VERSIONS 2
#endif
#ifndef RESTORES
#define RESTORES 2
#endif

typedef Item { byte era; byte rev; byte val };

byte era = 1, rev = 2;
Item version, leaving;			/* in the store */
byte newest, left;			/* what was confirmed last */
bool has_copy;
byte copy_rev;
Item copy_version, copy_leaving;
byte restores, copies;
bool lost_version, lost_leaving;	/* not written again yet */

Item known_version[2], known_leaving[2];
byte at_era[2], at_rev[2];
bool listed[2];

#ifdef REVISION
#define NEWER(told, known) (told.rev > known.rev)
#define OTHER_ERA(d) false
#define REACHED(d) (rev > at_rev[d] -> rev : at_rev[d])
#else
#define OTHER_ERA(d) (at_era[d] != era)
#define REACHED(d) rev
#ifdef ERA
#define NEWER(told, known) (told.era > known.era || (told.era == known.era && told.rev > known.rev))
#else
#define NEWER(told, known) ((told.era == known.era && told.rev > known.rev) || (told.era != known.era && told.val > known.val) || (told.era > known.era && told.val == known.val))
#endif
#endif

inline take(known, told)
{
	if
	:: NEWER(told, known) ->
		known.era = told.era; known.rev = told.rev; known.val = told.val
	:: else
	fi
}

/* Reads the store: the changes since what is known, or a list. */
inline read(d)
{
	before = known_leaving[d].val;
	if
	:: !listed[d] || at_rev[d] > rev || OTHER_ERA(d) -> take(known_version[d], version); take(known_leaving[d], leaving)
	:: else ->
		if
		:: version.rev > at_rev[d] -> take(known_version[d], version)
		:: else
		fi;
		if
		:: leaving.rev > at_rev[d] -> take(known_leaving[d], leaving)
		:: else
		fi
	fi;
	listed[d] = true;
	at_era[d] = era;
	at_rev[d] = REACHED(d);
	assert(known_leaving[d].val >= before);
	assert(lost_version || known_version[d].val == newest);
	assert(lost_leaving || known_leaving[d].val == left)
}

active proctype world()
{
	byte before;
	version.era = 1; version.rev = 1; leaving.era = 1; leaving.rev = 2;
	do
	:: atomic { newest < VERSIONS && !lost_version ->
		newest++; rev++; version.era = era; version.rev = rev; version.val = newest }
	:: atomic { !left && !lost_leaving ->
		left = 1; rev++; leaving.era = era; leaving.rev = rev; leaving.val = 1 }
	:: atomic { copies < 2 ->
		copies++; has_copy = true; copy_rev = rev;
		copy_version.rev = version.rev; copy_version.val = version.val;
		copy_leaving.rev = leaving.rev; copy_leaving.val = leaving.val }
	:: atomic { has_copy && restores < RESTORES ->
		restores++; era++; rev = copy_rev;
		version.era = era; version.rev = copy_version.rev; version.val = copy_version.val;
		leaving.era = era; leaving.rev = copy_leaving.rev; leaving.val = copy_leaving.val;
		lost_version = version.val != newest;
		lost_leaving = leaving.val != left }
	:: atomic { lost_version ->
		lost_version = false; rev++; version.era = era; version.rev = rev; version.val = newest }
	:: atomic { lost_leaving ->
		lost_leaving = false; rev++; leaving.era = era; leaving.rev = rev; leaving.val = left }
	:: atomic { read(0) }
	:: atomic { read(1) }
	:: atomic { listed[0] && listed[1] ->	/* daemon 1 is told by daemon 0 */
		before = known_leaving[1].val;
		take(known_version[1], known_version[0]);
		take(known_leaving[1], known_leaving[0]);
		assert(known_leaving[1].val >= before);
#ifndef NO_TOLD
		assert(known_leaving[1].val >= known_leaving[0].val);
		assert(known_version[1].val >= known_version[0].val);
#endif
#ifdef SEEK_KEPT
		assert(!(known_leaving[1].val > leaving.val && known_leaving[1].era < era))
#endif
	   }
	:: atomic { listed[1] ->		/* daemon 1 starts again */
		listed[1] = false; at_era[1] = 0; at_rev[1] = 0;
		known_version[1].era = 0; known_version[1].rev = 0; known_version[1].val = 0;
		known_leaving[1].era = 0; known_leaving[1].rev = 0; known_leaving[1].val = 0 }
	od
}
