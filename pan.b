	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC world */
;
		;
		
	case 4: // STATE 4
		;
		now.now = trpt->bup.oval;
		;
		goto R999;

	case 5: // STATE 7
		;
		now.listed2 = trpt->bup.oval;
		;
		goto R999;

	case 6: // STATE 10
		;
		now.left1 = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 8: // STATE 14
		;
		now.seen[0] = trpt->bup.oval;
		;
		goto R999;

	case 9: // STATE 19
		;
		now.since2[0] = trpt->bup.oval;
		;
		goto R999;

	case 10: // STATE 24
		;
		now.gone1[0] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 11: // STATE 27
		goto R999;
;
		;
		
	case 13: // STATE 32
		;
		now.seen[1] = trpt->bup.oval;
		;
		goto R999;

	case 14: // STATE 37
		;
		now.since2[1] = trpt->bup.oval;
		;
		goto R999;

	case 15: // STATE 42
		;
		now.gone1[1] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 16: // STATE 45
		goto R999;
;
		;
		
	case 18: // STATE 50
		;
		now.seen[2] = trpt->bup.oval;
		;
		goto R999;

	case 19: // STATE 55
		;
		now.since2[2] = trpt->bup.oval;
		;
		goto R999;

	case 20: // STATE 60
		;
		now.gone1[2] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 21: // STATE 63
		goto R999;
;
		;
		
	case 23: // STATE 74
		;
		now.held = trpt->bup.ovals[6];
		now.since2[1] = trpt->bup.ovals[5];
		now.gone1[1] = trpt->bup.ovals[4];
		now.knows1[1] = trpt->bup.ovals[3];
		now.seen[1] = trpt->bup.ovals[2];
		now.old[1] = trpt->bup.ovals[1];
		now.start[1] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;
;
		;
		
	case 25: // STATE 82
		;
		now.since2[2] = trpt->bup.ovals[5];
		now.gone1[2] = trpt->bup.ovals[4];
		now.knows1[2] = trpt->bup.ovals[3];
		now.seen[2] = trpt->bup.ovals[2];
		now.old[2] = trpt->bup.ovals[1];
		now.start[2] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 6);
		goto R999;

	case 26: // STATE 88
		;
		now.sent = trpt->bup.ovals[2];
		now.began = trpt->bup.ovals[1];
		now.version = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 27: // STATE 93
		;
		now.sent = trpt->bup.ovals[2];
		now.began = trpt->bup.ovals[1];
		now.version = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 28: // STATE 97
		;
		now.held = trpt->bup.ovals[1];
		now.sent = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 29: // STATE 100
		;
		now.sent = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 31: // STATE 104
		;
		now.goes_on = trpt->bup.oval;
		;
		goto R999;
;
		;
		;
		;
		
	case 34: // STATE 108
		;
		now.goes_on = trpt->bup.oval;
		;
		goto R999;

	case 35: // STATE 110
		;
		now.goes_on = trpt->bup.oval;
		;
		goto R999;
;
		
	case 36: // STATE 120
		goto R999;

	case 37: // STATE 126
		;
		p_restor(II);
		;
		;
		goto R999;
	}

