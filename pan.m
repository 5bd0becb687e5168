#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC world */
	case 3: // STATE 1 - versions.pml:121 - [(!((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][1] = 1;
		if (!( !((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 4: // STATE 3 - versions.pml:122 - [((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2))))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][3] = 1;
		if (!((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))))
			continue;
		/* merge: now = (now+1)(0, 4, 123) */
		reached[0][4] = 1;
		(trpt+1)->bup.oval = ((int)now.now);
		now.now = (((int)now.now)+1);
#ifdef VAR_RANGES
		logval("now", ((int)now.now));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 5: // STATE 6 - versions.pml:123 - [((((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&!(listed2))&&(now>0)))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][6] = 1;
		if (!((((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&& !(((int)now.listed2)))&&(((int)now.now)>0))))
			continue;
		/* merge: listed2 = 1(0, 7, 123) */
		reached[0][7] = 1;
		(trpt+1)->bup.oval = ((int)now.listed2);
		now.listed2 = 1;
#ifdef VAR_RANGES
		logval("listed2", ((int)now.listed2));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 6: // STATE 9 - versions.pml:124 - [((((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&(left1==99))&&listed2))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][9] = 1;
		if (!((((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&(((int)now.left1)==99))&&((int)now.listed2))))
			continue;
		/* merge: left1 = now(0, 10, 123) */
		reached[0][10] = 1;
		(trpt+1)->bup.oval = ((int)now.left1);
		now.left1 = ((int)now.now);
#ifdef VAR_RANGES
		logval("left1", ((int)now.left1));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 7: // STATE 12 - versions.pml:125 - [(((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&(version==0)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][12] = 1;
		if (!(((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&(((int)now.version)==0))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 8: // STATE 13 - versions.pml:80 - [((0!=0))] (21:0:1 - 1)
		IfNotBlocked
		reached[0][13] = 1;
		if (!((0!=0)))
			continue;
		/* merge: seen[0] = now(0, 14, 21) */
		reached[0][14] = 1;
		(trpt+1)->bup.oval = ((int)now.seen[0]);
		now.seen[0] = ((int)now.now);
#ifdef VAR_RANGES
		logval("seen[0]", ((int)now.seen[0]));
#endif
		;
		/* merge: .(goto)(0, 17, 21) */
		reached[0][17] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 9: // STATE 18 - versions.pml:84 - [((listed2&&(since2[0]==99)))] (26:0:1 - 1)
		IfNotBlocked
		reached[0][18] = 1;
		if (!((((int)now.listed2)&&(((int)now.since2[0])==99))))
			continue;
		/* merge: since2[0] = ( ((0==0)) -> (now) : (0) )(0, 19, 26) */
		reached[0][19] = 1;
		(trpt+1)->bup.oval = ((int)now.since2[0]);
		now.since2[0] = ( ((0==0)) ? (((int)now.now)) : (0) );
#ifdef VAR_RANGES
		logval("since2[0]", ((int)now.since2[0]));
#endif
		;
		/* merge: .(goto)(0, 22, 26) */
		reached[0][22] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 10: // STATE 23 - versions.pml:88 - [((((left1!=99)&&knows1[0])&&(gone1[0]==99)))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][23] = 1;
		if (!((((((int)now.left1)!=99)&&((int)now.knows1[0]))&&(((int)now.gone1[0])==99))))
			continue;
		/* merge: gone1[0] = ( ((0==0)) -> (0) : (now) )(123, 24, 123) */
		reached[0][24] = 1;
		(trpt+1)->bup.oval = ((int)now.gone1[0]);
		now.gone1[0] = ( ((0==0)) ? (0) : (((int)now.now)) );
#ifdef VAR_RANGES
		logval("gone1[0]", ((int)now.gone1[0]));
#endif
		;
		/* merge: .(goto)(123, 27, 123) */
		reached[0][27] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 11: // STATE 27 - versions.pml:91 - [.(goto)] (0:123:0 - 2)
		IfNotBlocked
		reached[0][27] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 12: // STATE 30 - versions.pml:126 - [((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][30] = 1;
		if (!((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 31 - versions.pml:80 - [((1!=0))] (39:0:1 - 1)
		IfNotBlocked
		reached[0][31] = 1;
		if (!((1!=0)))
			continue;
		/* merge: seen[1] = now(0, 32, 39) */
		reached[0][32] = 1;
		(trpt+1)->bup.oval = ((int)now.seen[1]);
		now.seen[1] = ((int)now.now);
#ifdef VAR_RANGES
		logval("seen[1]", ((int)now.seen[1]));
#endif
		;
		/* merge: .(goto)(0, 35, 39) */
		reached[0][35] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 14: // STATE 36 - versions.pml:84 - [((listed2&&(since2[1]==99)))] (44:0:1 - 1)
		IfNotBlocked
		reached[0][36] = 1;
		if (!((((int)now.listed2)&&(((int)now.since2[1])==99))))
			continue;
		/* merge: since2[1] = ( ((1==0)) -> (now) : (0) )(0, 37, 44) */
		reached[0][37] = 1;
		(trpt+1)->bup.oval = ((int)now.since2[1]);
		now.since2[1] = ( ((1==0)) ? (((int)now.now)) : (0) );
#ifdef VAR_RANGES
		logval("since2[1]", ((int)now.since2[1]));
#endif
		;
		/* merge: .(goto)(0, 40, 44) */
		reached[0][40] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 15: // STATE 41 - versions.pml:88 - [((((left1!=99)&&knows1[1])&&(gone1[1]==99)))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][41] = 1;
		if (!((((((int)now.left1)!=99)&&((int)now.knows1[1]))&&(((int)now.gone1[1])==99))))
			continue;
		/* merge: gone1[1] = ( ((1==0)) -> (0) : (now) )(123, 42, 123) */
		reached[0][42] = 1;
		(trpt+1)->bup.oval = ((int)now.gone1[1]);
		now.gone1[1] = ( ((1==0)) ? (0) : (((int)now.now)) );
#ifdef VAR_RANGES
		logval("gone1[1]", ((int)now.gone1[1]));
#endif
		;
		/* merge: .(goto)(123, 45, 123) */
		reached[0][45] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 16: // STATE 45 - versions.pml:91 - [.(goto)] (0:123:0 - 2)
		IfNotBlocked
		reached[0][45] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 17: // STATE 48 - versions.pml:127 - [((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][48] = 1;
		if (!((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 18: // STATE 49 - versions.pml:80 - [((2!=0))] (57:0:1 - 1)
		IfNotBlocked
		reached[0][49] = 1;
		if (!((2!=0)))
			continue;
		/* merge: seen[2] = now(0, 50, 57) */
		reached[0][50] = 1;
		(trpt+1)->bup.oval = ((int)now.seen[2]);
		now.seen[2] = ((int)now.now);
#ifdef VAR_RANGES
		logval("seen[2]", ((int)now.seen[2]));
#endif
		;
		/* merge: .(goto)(0, 53, 57) */
		reached[0][53] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 19: // STATE 54 - versions.pml:84 - [((listed2&&(since2[2]==99)))] (62:0:1 - 1)
		IfNotBlocked
		reached[0][54] = 1;
		if (!((((int)now.listed2)&&(((int)now.since2[2])==99))))
			continue;
		/* merge: since2[2] = ( ((2==0)) -> (now) : (0) )(0, 55, 62) */
		reached[0][55] = 1;
		(trpt+1)->bup.oval = ((int)now.since2[2]);
		now.since2[2] = ( ((2==0)) ? (((int)now.now)) : (0) );
#ifdef VAR_RANGES
		logval("since2[2]", ((int)now.since2[2]));
#endif
		;
		/* merge: .(goto)(0, 58, 62) */
		reached[0][58] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 20: // STATE 59 - versions.pml:88 - [((((left1!=99)&&knows1[2])&&(gone1[2]==99)))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][59] = 1;
		if (!((((((int)now.left1)!=99)&&((int)now.knows1[2]))&&(((int)now.gone1[2])==99))))
			continue;
		/* merge: gone1[2] = ( ((2==0)) -> (0) : (now) )(123, 60, 123) */
		reached[0][60] = 1;
		(trpt+1)->bup.oval = ((int)now.gone1[2]);
		now.gone1[2] = ( ((2==0)) ? (0) : (((int)now.now)) );
#ifdef VAR_RANGES
		logval("gone1[2]", ((int)now.gone1[2]));
#endif
		;
		/* merge: .(goto)(123, 63, 123) */
		reached[0][63] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 21: // STATE 63 - versions.pml:91 - [.(goto)] (0:123:0 - 2)
		IfNotBlocked
		reached[0][63] = 1;
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 22: // STATE 66 - versions.pml:128 - [(((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&old[1]))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][66] = 1;
		if (!(((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&((int)now.old[1]))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 23: // STATE 67 - versions.pml:95 - [start[1] = now] (0:123:7 - 1)
		IfNotBlocked
		reached[0][67] = 1;
		(trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((int)now.start[1]);
		now.start[1] = ((int)now.now);
#ifdef VAR_RANGES
		logval("start[1]", ((int)now.start[1]));
#endif
		;
		/* merge: old[1] = 0(123, 68, 123) */
		reached[0][68] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.old[1]);
		now.old[1] = 0;
#ifdef VAR_RANGES
		logval("old[1]", ((int)now.old[1]));
#endif
		;
		/* merge: seen[1] = now(123, 69, 123) */
		reached[0][69] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.seen[1]);
		now.seen[1] = ((int)now.now);
#ifdef VAR_RANGES
		logval("seen[1]", ((int)now.seen[1]));
#endif
		;
		/* merge: knows1[1] = (left1==99)(123, 70, 123) */
		reached[0][70] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.knows1[1]);
		now.knows1[1] = (((int)now.left1)==99);
#ifdef VAR_RANGES
		logval("knows1[1]", ((int)now.knows1[1]));
#endif
		;
		/* merge: gone1[1] = 99(123, 71, 123) */
		reached[0][71] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.gone1[1]);
		now.gone1[1] = 99;
#ifdef VAR_RANGES
		logval("gone1[1]", ((int)now.gone1[1]));
#endif
		;
		/* merge: since2[1] = ( (listed2) -> (0) : (99) )(123, 72, 123) */
		reached[0][72] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.since2[1]);
		now.since2[1] = ( (((int)now.listed2)) ? (0) : (99) );
#ifdef VAR_RANGES
		logval("since2[1]", ((int)now.since2[1]));
#endif
		;
		/* merge: held = 0(123, 74, 123) */
		reached[0][74] = 1;
		(trpt+1)->bup.ovals[6] = ((int)now.held);
		now.held = 0;
#ifdef VAR_RANGES
		logval("held", ((int)now.held));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 24: // STATE 76 - versions.pml:129 - [(((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&old[2]))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][76] = 1;
		if (!(((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&((int)now.old[2]))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 25: // STATE 77 - versions.pml:95 - [start[2] = now] (0:123:6 - 1)
		IfNotBlocked
		reached[0][77] = 1;
		(trpt+1)->bup.ovals = grab_ints(6);
		(trpt+1)->bup.ovals[0] = ((int)now.start[2]);
		now.start[2] = ((int)now.now);
#ifdef VAR_RANGES
		logval("start[2]", ((int)now.start[2]));
#endif
		;
		/* merge: old[2] = 0(123, 78, 123) */
		reached[0][78] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.old[2]);
		now.old[2] = 0;
#ifdef VAR_RANGES
		logval("old[2]", ((int)now.old[2]));
#endif
		;
		/* merge: seen[2] = now(123, 79, 123) */
		reached[0][79] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.seen[2]);
		now.seen[2] = ((int)now.now);
#ifdef VAR_RANGES
		logval("seen[2]", ((int)now.seen[2]));
#endif
		;
		/* merge: knows1[2] = (left1==99)(123, 80, 123) */
		reached[0][80] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.knows1[2]);
		now.knows1[2] = (((int)now.left1)==99);
#ifdef VAR_RANGES
		logval("knows1[2]", ((int)now.knows1[2]));
#endif
		;
		/* merge: gone1[2] = 99(123, 81, 123) */
		reached[0][81] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.gone1[2]);
		now.gone1[2] = 99;
#ifdef VAR_RANGES
		logval("gone1[2]", ((int)now.gone1[2]));
#endif
		;
		/* merge: since2[2] = ( (listed2) -> (0) : (99) )(123, 82, 123) */
		reached[0][82] = 1;
		(trpt+1)->bup.ovals[5] = ((int)now.since2[2]);
		now.since2[2] = ( (((int)now.listed2)) ? (0) : (99) );
#ifdef VAR_RANGES
		logval("since2[2]", ((int)now.since2[2]));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 26: // STATE 85 - versions.pml:132 - [(((((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&(version==0))&&(gone1[0]==99))&&((left1==99)||((now-left1)<=1))))] (123:0:3 - 1)
		IfNotBlocked
		reached[0][85] = 1;
		if (!(((((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&(((int)now.version)==0))&&(((int)now.gone1[0])==99))&&((((int)now.left1)==99)||((((int)now.now)-((int)now.left1))<=1)))))
			continue;
		/* merge: version = 1(123, 86, 123) */
		reached[0][86] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.version);
		now.version = 1;
#ifdef VAR_RANGES
		logval("version", ((int)now.version));
#endif
		;
		/* merge: began = now(123, 87, 123) */
		reached[0][87] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.began);
		now.began = ((int)now.now);
#ifdef VAR_RANGES
		logval("began", ((int)now.began));
#endif
		;
		/* merge: sent = 1(123, 88, 123) */
		reached[0][88] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.sent);
		now.sent = 1;
#ifdef VAR_RANGES
		logval("sent", ((int)now.sent));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 27: // STATE 90 - versions.pml:134 - [(((((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&(version==0))&&(since2[0]!=99))&&((now-since2[0])>=2)))] (123:0:3 - 1)
		IfNotBlocked
		reached[0][90] = 1;
		if (!(((((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&(((int)now.version)==0))&&(((int)now.since2[0])!=99))&&((((int)now.now)-((int)now.since2[0]))>=2))))
			continue;
		/* merge: version = 2(123, 91, 123) */
		reached[0][91] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.version);
		now.version = 2;
#ifdef VAR_RANGES
		logval("version", ((int)now.version));
#endif
		;
		/* merge: began = now(123, 92, 123) */
		reached[0][92] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.began);
		now.began = ((int)now.now);
#ifdef VAR_RANGES
		logval("began", ((int)now.began));
#endif
		;
		/* merge: sent = 1(123, 93, 123) */
		reached[0][93] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.sent);
		now.sent = 1;
#ifdef VAR_RANGES
		logval("sent", ((int)now.sent));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 28: // STATE 95 - versions.pml:136 - [(((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&sent))] (123:0:2 - 1)
		IfNotBlocked
		reached[0][95] = 1;
		if (!(((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&((int)now.sent))))
			continue;
		/* merge: sent = 0(123, 96, 123) */
		reached[0][96] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.sent);
		now.sent = 0;
#ifdef VAR_RANGES
		logval("sent", ((int)now.sent));
#endif
		;
		/* merge: held = 1(123, 97, 123) */
		reached[0][97] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.held);
		now.held = 1;
#ifdef VAR_RANGES
		logval("held", ((int)now.held));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 29: // STATE 99 - versions.pml:137 - [(((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&sent))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][99] = 1;
		if (!(((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&((int)now.sent))))
			continue;
		/* merge: sent = 0(0, 100, 123) */
		reached[0][100] = 1;
		(trpt+1)->bup.oval = ((int)now.sent);
		now.sent = 0;
#ifdef VAR_RANGES
		logval("sent", ((int)now.sent));
#endif
		;
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 30: // STATE 102 - versions.pml:139 - [(((((((goes_on==0)&&(now<9))&&((version==0)||((now-began)<=2)))&&(version!=0))&&(goes_on==0))&&((now-began)<=2)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][102] = 1;
		if (!(((((((((int)now.goes_on)==0)&&(((int)now.now)<9))&&((((int)now.version)==0)||((((int)now.now)-((int)now.began))<=2)))&&(((int)now.version)!=0))&&(((int)now.goes_on)==0))&&((((int)now.now)-((int)now.began))<=2))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 31: // STATE 103 - versions.pml:141 - [(held)] (123:0:1 - 1)
		IfNotBlocked
		reached[0][103] = 1;
		if (!(((int)now.held)))
			continue;
		/* merge: goes_on = version(123, 104, 123) */
		reached[0][104] = 1;
		(trpt+1)->bup.oval = ((int)now.goes_on);
		now.goes_on = ((int)now.version);
#ifdef VAR_RANGES
		logval("goes_on", ((int)now.goes_on));
#endif
		;
		/* merge: .(goto)(123, 119, 123) */
		reached[0][119] = 1;
		;
		/* merge: assert(((goes_on==0)||(goes_on==version)))(123, 120, 123) */
		reached[0][120] = 1;
		spin_assert(((((int)now.goes_on)==0)||(((int)now.goes_on)==((int)now.version))), "((goes_on==0)||(goes_on==version))", II, tt, t);
		/* merge: assert(((goes_on==0)||held))(123, 121, 123) */
		reached[0][121] = 1;
		spin_assert(((((int)now.goes_on)==0)||((int)now.held)), "((goes_on==0)||held)", II, tt, t);
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 32: // STATE 105 - versions.pml:142 - [(!(held))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][105] = 1;
		if (!( !(((int)now.held))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 33: // STATE 106 - versions.pml:106 - [(((((now-seen[2])<=1)&&((old[2]||((now-start[2])>=4))||((old[1]||((now-start[1])>=4))&&((now-seen[1])<=1))))&&((!((knows1[1]&&((gone1[1]==99)||((now-gone1[1])<4))))||(knows1[2]&&((gone1[2]==99)||((now-gone1[2])<4))))&&(!((since2[1]!=99))||(since2[2]!=99)))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][106] = 1;
		if (!(((((((int)now.now)-((int)now.seen[2]))<=1)&&((((int)now.old[2])||((((int)now.now)-((int)now.start[2]))>=4))||((((int)now.old[1])||((((int)now.now)-((int)now.start[1]))>=4))&&((((int)now.now)-((int)now.seen[1]))<=1))))&&(( !((((int)now.knows1[1])&&((((int)now.gone1[1])==99)||((((int)now.now)-((int)now.gone1[1]))<4))))||(((int)now.knows1[2])&&((((int)now.gone1[2])==99)||((((int)now.now)-((int)now.gone1[2]))<4))))&&( !((((int)now.since2[1])!=99))||(((int)now.since2[2])!=99))))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 34: // STATE 107 - versions.pml:108 - [(((knows1[2]&&((gone1[2]==99)||((now-gone1[2])<4)))&&!((since2[2]!=99))))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][107] = 1;
		if (!(((((int)now.knows1[2])&&((((int)now.gone1[2])==99)||((((int)now.now)-((int)now.gone1[2]))<4)))&& !((((int)now.since2[2])!=99)))))
			continue;
		/* merge: goes_on = 1(123, 108, 123) */
		reached[0][108] = 1;
		(trpt+1)->bup.oval = ((int)now.goes_on);
		now.goes_on = 1;
#ifdef VAR_RANGES
		logval("goes_on", ((int)now.goes_on));
#endif
		;
		/* merge: .(goto)(123, 113, 123) */
		reached[0][113] = 1;
		;
		/* merge: .(goto)(123, 116, 123) */
		reached[0][116] = 1;
		;
		/* merge: .(goto)(123, 119, 123) */
		reached[0][119] = 1;
		;
		/* merge: assert(((goes_on==0)||(goes_on==version)))(123, 120, 123) */
		reached[0][120] = 1;
		spin_assert(((((int)now.goes_on)==0)||(((int)now.goes_on)==((int)now.version))), "((goes_on==0)||(goes_on==version))", II, tt, t);
		/* merge: assert(((goes_on==0)||held))(123, 121, 123) */
		reached[0][121] = 1;
		spin_assert(((((int)now.goes_on)==0)||((int)now.held)), "((goes_on==0)||held)", II, tt, t);
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 35: // STATE 109 - versions.pml:109 - [(((since2[2]!=99)&&!((knows1[2]&&((gone1[2]==99)||((now-gone1[2])<4))))))] (123:0:1 - 1)
		IfNotBlocked
		reached[0][109] = 1;
		if (!(((((int)now.since2[2])!=99)&& !((((int)now.knows1[2])&&((((int)now.gone1[2])==99)||((((int)now.now)-((int)now.gone1[2]))<4)))))))
			continue;
		/* merge: goes_on = 2(123, 110, 123) */
		reached[0][110] = 1;
		(trpt+1)->bup.oval = ((int)now.goes_on);
		now.goes_on = 2;
#ifdef VAR_RANGES
		logval("goes_on", ((int)now.goes_on));
#endif
		;
		/* merge: .(goto)(123, 113, 123) */
		reached[0][113] = 1;
		;
		/* merge: .(goto)(123, 116, 123) */
		reached[0][116] = 1;
		;
		/* merge: .(goto)(123, 119, 123) */
		reached[0][119] = 1;
		;
		/* merge: assert(((goes_on==0)||(goes_on==version)))(123, 120, 123) */
		reached[0][120] = 1;
		spin_assert(((((int)now.goes_on)==0)||(((int)now.goes_on)==((int)now.version))), "((goes_on==0)||(goes_on==version))", II, tt, t);
		/* merge: assert(((goes_on==0)||held))(123, 121, 123) */
		reached[0][121] = 1;
		spin_assert(((((int)now.goes_on)==0)||((int)now.held)), "((goes_on==0)||held)", II, tt, t);
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 36: // STATE 120 - versions.pml:144 - [assert(((goes_on==0)||(goes_on==version)))] (0:123:0 - 8)
		IfNotBlocked
		reached[0][120] = 1;
		spin_assert(((((int)now.goes_on)==0)||(((int)now.goes_on)==((int)now.version))), "((goes_on==0)||(goes_on==version))", II, tt, t);
		/* merge: assert(((goes_on==0)||held))(123, 121, 123) */
		reached[0][121] = 1;
		spin_assert(((((int)now.goes_on)==0)||((int)now.held)), "((goes_on==0)||held)", II, tt, t);
		/* merge: .(goto)(0, 124, 123) */
		reached[0][124] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 37: // STATE 126 - versions.pml:150 - [-end-] (0:0:0 - 3)
		IfNotBlocked
		reached[0][126] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

