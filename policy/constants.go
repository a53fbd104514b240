package policy

import "time"

const (
	maxB               = 0.95                   // DESIGN: b's cap
	fullInterval       = 200 * time.Millisecond // DESIGN: one 'full' a server counts in this time
	reportMaxAge       = time.Second            // DESIGN: b halves after this long without a report,
	reportMaxIntervals = 3                      // or so many of the intervals at which reports reach this sender

	giveUpRateShare = 0.1 // of Berger's give-up rate 1/aim is real, as waits are kept far below the aim

	targetShareOfRepeat = 0.6  // of the repeat gap: answers later than this shrink a server's room
	targetShareOfAim    = 0.2  // of the shortest aim, where set-ups are never repeated
	maxWindow           = 32.0 // keeps an idle server's room from growing without end
	minWindowFactor     = 0.6  // most that one late answer takes away
	windowGain          = 0.3  // gain of one answer in time while the room is in use

	lossEvidence     = 3               // set-ups without an answer: no chance
	servingFlowShare = 0.6             // of its flow lately, and
	servingMaxAge    = 3 * time.Second // calls in progress that grew so lately: a server serves the others

	suspectAfterAims   = 0.5  // of the shortest aim: so long unanswered, a server is suspect
	restartAfterAims   = 3.0  // aims: after so long without an answer a server comes back as cold,
	restartWarmUpShare = 0.25 // but only for this part of the warming, in which the list would tell of a restart

	redialWorthShare = 0.5 // of a first try: what a redial counts for
	holdShareOfAim   = 0.6 // of the aim: how long a call may wait at the gateway for room

	retriesPerCall  = 0.25 // further attempts earned by each first attempt,
	maxSavedRetries = 4.0  // and saved up at most
	busyGapDivisor  = 8    // the first gap of a busy number is the aim over this; it doubles up to the aim

	trialCapacityShare  = 0.05 // of a server's capacity, or
	trialFlowShare      = 0.25 // of the flow it shows: what all senders' trials together may take
	lostAfterTargets    = 2    // a set-up unanswered for so many targets
	lostAfterDelays     = 3    // and for so many delays is taken for lost,
	overtakenShareOfAim = 0.15 // or for this part of the shortest aim when a later one was answered before it

	maxGoneServers     = 8               // servers that are gone are remembered
	minLoggedSuspicion = 5 * time.Second // the end of a shorter suspicion is not logged

	coldBudgetShare = 0.4 // of the fall multiple: what all senders spend of a cold server's budget

	arrivalTimeConstant  = 15 * time.Second // memory of the arrivals
	loadTimeConstant     = 3 * time.Second  // memory of a server's load, and of the b it was measured under
	capacityTimeConstant = 4 * time.Second  // memory of a server's capacity

	queueDrainTime = 2 * time.Second // a queue is to be worked off in this time, and word of it fades in it

	heldWakeInterval     = 20 * time.Millisecond  // look again this soon while a call waits
	wakeInterval         = 50 * time.Millisecond  // and otherwise
	stallThreshold       = 500 * time.Millisecond // no event for so long: the gateway itself stood still
	jointProbesPerSecond = 20.0                   // probes a second that a server gets from all senders,
	minProbeInterval     = 2 * time.Second        // but no more than one in this time from one of them,
	failedProbeBackoff   = 8 * time.Second        // nor in this time after one that failed
)
