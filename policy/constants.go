package policy

import "time"

// Percent blocking (Berger). maxB, fullInterval and reportMaxAge are set by the platform's DESIGN page.
const (
	maxB = 0.95 // largest blocking share b

	// A "processor full" answer counts once for each server in this time, and keeps the server closed for
	// at least as long.
	fullInterval = 200 * time.Millisecond

	// b is halved after the longer of this time and so many report intervals without a report.
	reportMaxAge       = time.Second
	reportMaxIntervals = 3

	// Berger assumes that callers give up at the rate 1/aim. Waits are kept far below the aim, so that only
	// this share of the rate occurs.
	giveUpRateShare = 0.1

	// Time in which a server's queue should be worked off, and time constant with which an observed wait
	// decays.
	queueDrainTime = 2 * time.Second
)

// Time constants of exponential smoothing.
const (
	arrivalTimeConstant  = 15 * time.Second // calls that arrive in each group
	loadTimeConstant     = 3 * time.Second  // load and flow of a server, and the b in force meanwhile
	capacityTimeConstant = 4 * time.Second  // capacity of a server
)

// Window of a server: the number of unanswered set-ups that it may have from this sender.
const (
	// An answer is late, and shrinks the window, if its delay exceeds that of an idle server by this
	// share of the repeat interval, or of the shortest aim where set-ups are not repeated.
	targetShareOfRepeat = 0.6
	targetShareOfAim    = 0.2

	maxWindow       = 32.0 // keeps the window of an idle server from growing without bound
	minWindowFactor = 0.6  // a late answer shrinks the window to no less than this share of it
	windowGain      = 0.3  // an answer in time grows a fully used window by this, divided by the window
)

// Suspect servers.
const (
	// A server whose oldest set-up is unanswered for this share of the shortest aim becomes suspect.
	suspectAfterAims = 0.5

	// A server is not made suspect while its reports show that it serves calls: while fewer than
	// lossEvidence set-ups of this sender are unanswered (so many are unlikely to be lost by
	// chance), its latest flow is at least this share of the mean flow, and its calls in progress
	// grew within servingMaxAge.
	lossEvidence     = 3
	servingFlowShare = 0.6
	servingMaxAge    = 3 * time.Second

	// A server that was silent for this many shortest aims may have restarted, so that it is treated as
	// cold, but only for this share of the warm-up: by its end the server list would show a restart.
	restartAfterAims   = 3.0
	restartWarmUpShare = 0.25

	// The trials of a suspect server from all senders together take the larger of this share of its
	// capacity and this share of the flow that it serves.
	trialCapacityShare = 0.05
	trialFlowShare     = 0.25

	minLoggedSuspicion = 5 * time.Second // the end of a shorter suspicion is not logged
)

// Lost set-ups.
const (
	// A set-up counts as lost when it is unanswered for the longer of this many target delays
	// and this many mean delays of its server's answers.
	lostAfterTargets = 2
	lostAfterDelays  = 3

	// If a later set-up was answered first, this share of the shortest aim replaces the target delays.
	overtakenShareOfAim = 0.15
)

// Waiting calls and further attempts.
const (
	redialWorthShare = 0.5 // worth of a redial, as a share of that of a first try
	holdShareOfAim   = 0.6 // a call waits at the gateway for at most this share of its aim

	retriesPerCall  = 0.25 // further attempts that each first attempt adds to the budget
	maxSavedRetries = 4.0  // largest budget of further attempts

	// The first gap between tries of a busy number is the shortest aim divided by this. The gap doubles
	// with each try, up to the shortest aim.
	busyGapDivisor = 8
)

// coldBudgetShare is the share of a cold server's budget that all senders together use at a steady rate;
// the rest is for rights that were saved up.
const coldBudgetShare = 0.4

// maxGoneServers is the number of servers that are remembered after they have left the list.
const maxGoneServers = 8

// Timers and probes.
const (
	heldWakeInterval = 20 * time.Millisecond  // longest time to the next wake-up while a call waits
	wakeInterval     = 50 * time.Millisecond  // and while none waits
	stallThreshold   = 500 * time.Millisecond // after this long without an event the gateway itself had stalled

	jointProbesPerSecond = 20.0            // probes of one server by all senders together
	minProbeInterval     = 2 * time.Second // between probes of one server by one sender
	failedProbeBackoff   = 8 * time.Second // until the next probe after one that failed
)
