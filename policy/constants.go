package policy

import "time"

const (
	bCap         = 0.95                   // DESIGN: b's cap
	fullHold     = 200 * time.Millisecond // DESIGN: one 'full' a server counts in this time
	reportMaxAge = time.Second            // DESIGN: b halves after this long without a report,
	reportGaps   = 3                      // or so many of the intervals at which reports reach this sender

	badShare = 0.1 // of Berger's give-up rate 1/aim is real, as waits are kept far below the aim

	targetShare = 0.6  // of the repeat gap: answers later than this shrink a server's room
	targetOfAim = 0.2  // of the shortest aim, where set-ups are never repeated
	mostRoom    = 32.0 // keeps an idle server's room from growing without end
	cutRoom     = 0.6  // most that one late answer takes away
	growRoom    = 0.3  // gain of one answer in time while the room is in use

	proof     = 3               // set-ups without an answer: no chance
	serveFlow = 0.6             // of its flow lately, and
	serveSpan = 3 * time.Second // calls in progress that grew so lately: a server serves the others

	suspectAge = 0.5  // of the shortest aim: so long unanswered, a server is suspect
	silentAge  = 3.0  // aims: after so long without an answer a server comes back as cold,
	silentPart = 0.25 // but only for this part of the warming, in which the list would tell of a restart

	againWorth = 0.5 // of a first try: what a redial counts for
	holdShare  = 0.6 // of the aim: how long a call may wait at the gateway for room

	retryShare = 0.25 // further attempts earned by each first attempt,
	retryMost  = 4.0  // and saved up at most
	busyPart   = 8    // first gap between tries of a busy number, as a part of the aim; it doubles up to the aim

	trialShare  = 0.05 // of a server's capacity, or
	trialFlow   = 0.25 // of the flow it shows: what all senders' trials together may take
	lostTargets = 2    // a set-up unanswered for so many targets
	lostDelays  = 3    // and for so many delays is taken for lost,
	overPart    = 0.15 // or for this part of the shortest aim when a later one was answered before it

	goneMost = 8               // servers that are gone are remembered
	logSpan  = 5 * time.Second // a server that was suspect for longer is told of when it is trusted again

	coldUse = 0.4 // of the fall multiple: what all senders spend of a cold server's budget

	rateSpan = 15 * time.Second // memory of the arrivals
	flowSpan = 3 * time.Second  // memory of a server's load, and of the b it was measured under
	muSpan   = 4 * time.Second  // memory of a server's capacity

	drainSpan = 2 * time.Second // a queue is to be worked off in this time, and word of it fades in it

	waitTick   = 20 * time.Millisecond  // look again this soon while a call waits
	busyTick   = 50 * time.Millisecond  // and otherwise
	stallGap   = 500 * time.Millisecond // no event for so long: the gateway itself stood still
	probeJoint = 20.0                   // probes a second that a server gets from all senders,
	probeMost  = 2 * time.Second        // but no more than one in this time from one of them,
	probeLeast = 8 * time.Second        // nor in this time after one that failed
)
