package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"woodrouter/internal/mailbox"
	"woodrouter/internal/recent"
	"woodrouter/policy"
	"woodrouter/spread"
)

// Errors that a front may get in place of an answer.
var (
	ErrDuplicate    = errors.New("a call of this id is open")
	ErrUnknownClass = errors.New("unknown class")
	ErrUnusableCall = errors.New("a call that no setup server could use")
	ErrOverdue      = errors.New("no outcome by the caller's deadline")
	ErrPanic        = errors.New("fault inside the agent")
)

// maxNumberBytes bounds the length of the called number.
const maxNumberBytes = 256

// Config holds an agent's configuration, apart from its backend.
type Config struct {
	Settings     policy.Settings
	Seed         uint64
	AnswerSlack  time.Duration // a final answer still counts this long after the deadline
	MailboxSize  int           // maximum number of queued events; 0: 8192
	MaxOpenCalls int           // maximum number of calls without an answer, as each holds memory; 0: 4096
	MaxCallBytes int64         // approximate maximum memory of these and the queued calls in bytes; 0: 16 MiB
	Log          *slog.Logger
	// OnUnknownEnded is called when a setup server ends a call that is unknown to this agent: the call stood
	// before a restart, and its caller still has to be told. err is as for Front.Ended.
	OnUnknownEnded func(id string, err error)
	// Promises replicates promises to further agents; nil: this agent keeps them in its own memory only.
	Promises PromiseStore
	// ObserveServers makes the agent collect Observations of the setup servers by zone.
	ObserveServers bool
}

// Route holds the limits that a call's route sets in place of the settings'; zero fields leave the settings'
// limits. Routes may only narrow them (package internal/routes checks a file before it is used).
type Route struct {
	MaxAttempts int           // maximum number of attempts of the call
	Spacing     time.Duration // minimum wait after a give-up before the next attempt
	TimeShare   float64       // fraction of the caller's time that all attempts together may use, in (0, 1]
	Pools       []int         // pools that the call may use, from those of its class
	// AttemptTimeout is the time after which an attempt that was passed to the backend is given up, unless the
	// module's deadline comes first. The module is told that the attempt timed out, so that Spacing applies.
	AttemptTimeout time.Duration
}

// Router returns a call's route. It is called on the core's goroutine, once per call, and must neither block
// nor retain the call.
type Router func(c Call) Route

// Agent is the actor that owns the decision module, the call table and the timers.
type Agent struct {
	cfg             Config
	controller      *policy.Controller
	backend         Backend
	mailbox         *mailbox.Queue[event]
	calls           map[string]*call
	classes         map[string]policy.Class
	tenants         map[string]bool
	start           time.Time
	origin          policy.Time
	idleCallbacks   []func() // called once no set-up is open
	openCalls       int      // calls without a final answer
	standingCalls   int      // calls that stand
	recent          recent.Set[string]
	unknownReleases rateLimiter // limits releases of unknown calls by callers
	unknownEnds     rateLimiter // limits ends of unknown calls by setup servers
	refusingNew     atomic.Bool
	openBytes       atomic.Int64      // bytes of the offered calls that have no final answer
	tallies         map[string]*Tally // by class; the map itself is never modified
	gauges          gauges
	router          atomic.Pointer[Router] // nil: the settings' limits apply to every call
	observations    *Observations          // nil: not collected
	adopted         map[string]*call       // standing calls with another agent's answer (adopt), by id
	serverByAddress map[string]Server      // the server listed at each address
}

// SetRouter sets the router for calls that arrive from now on; nil: none.
func (a *Agent) SetRouter(r Router) {
	if r == nil {
		a.router.Store(nil)
		return
	}
	a.router.Store(&r)
}

// route returns a call's route and how much of the remaining time the module may use.
func (a *Agent) route(in Call, left time.Duration) (Route, time.Duration) {
	r := a.router.Load()
	if r == nil {
		return Route{}, left
	}
	route := (*r)(in)
	if route.TimeShare > 0 && route.TimeShare < 1 {
		left = time.Duration(float64(left) * route.TimeShare)
	}
	return route, left
}

// Tally counts the outcomes of one class's calls. It may be read at any time.
type Tally struct{ Served, Refused, Failed atomic.Int64 }

// gauges are the actor's published state; they may be read at any time.
type gauges struct{ inFlight, listed, avoided atomic.Int64 }

// Tallies returns the counts of outcomes so far, by class.
func (a *Agent) Tallies() map[string]*Tally { return a.tallies }

// InFlight returns the number of calls that are open or stand.
func (a *Agent) InFlight() int64 { return a.gauges.inFlight.Load() }

// Hosts returns how many setup servers are listed, and how many of those get no calls at present.
func (a *Agent) Hosts() (listed, avoided int64) {
	return a.gauges.listed.Load(), a.gauges.avoided.Load()
}

// Limits per second on passing on ends of unknown calls. A caller's release of an unknown call costs each
// server a message. After a restart, callers release about as many calls from before it in each second as
// were set up in a second, so the limit is above the calls of a busy second. A server's end of an unknown call
// costs one caller a message, and these come all at once on the first connection after a restart, so the limit
// is the number of calls that stand in a busy hour.
const (
	unknownReleasesPerSecond = 200
	unknownEndsPerSecond     = 2000
)

// rateLimiter counts events within the current second.
type rateLimiter struct {
	since time.Time
	count int
}

// allow counts one event and reports whether it is within the limit per second.
func (l *rateLimiter) allow(now time.Time, limit int) bool {
	if now.Sub(l.since) >= time.Second {
		*l = rateLimiter{since: now}
	}
	l.count++
	return l.count <= limit
}

// event is work for the actor; id is the call that it concerns, if any.
type event struct {
	id string
	do func()
}

// call is an entry of the call table. It is removed once the call has its final answer and no attempt is out.
type call struct {
	Call
	front          Front
	resolved       bool // the call has its final answer, or needs none
	stands         bool
	callerLeft     bool // the caller has left, has released the call or was told of its end
	attempts       int
	server         string
	attemptOut     bool // an attempt is unanswered or stands
	givenUp        bool
	sentAt         policy.Time
	attemptTimer   *time.Timer   // gives the attempt up when its time is over
	cancelAttempt  func()        // ends the attempt's Context
	overdueTimer   *time.Timer   // fails the call if the module did not answer it in time
	lastFailure    *Failure      // of the latest attempt
	attemptTimeout time.Duration // for each attempt, by the call's route; 0: until the module's deadline

	claimed    bool     // the call is claimed for this agent, and its answer is not stored yet
	storing    bool     // the claim or the answer is being stored at further agents
	stored     bool     // further agents have stored that the call stands
	ended      bool     // the call stood, and ended while its answer was being stored
	endFailure *Failure // the error with which it ended; nil: normally
}

// New returns an agent, or an error if the settings can't be used. The backend may be set later with
// SetBackend, but before Run.
func New(cfg Config) (*Agent, error) {
	controller, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, controller: controller, mailbox: mailbox.New[event](cmp.Or(cfg.MailboxSize, 8192)),
		calls: map[string]*call{}, adopted: map[string]*call{}, serverByAddress: map[string]Server{}, classes: map[string]policy.Class{}, tenants: map[string]bool{}, tallies: map[string]*Tally{}, start: time.Now()}
	// The module compares its time with the Unix milliseconds of a server's start, and its time must never
	// run backwards: so the wall clock is read once, and the monotonic clock is used from then on.
	a.origin = policy.Time(a.start.UnixNano())
	for _, c := range cfg.Settings.Classes {
		a.classes[c.Name] = c
		a.tallies[c.Name] = &Tally{}
	}
	for _, t := range cfg.Settings.Tenants {
		a.tenants[t.Name] = true
	}
	if cfg.ObserveServers {
		a.observations = newObservations(cfg.Settings)
	}
	if a.cfg.OnUnknownEnded == nil {
		a.cfg.OnUnknownEnded = func(string, error) {}
	}
	if a.cfg.Log == nil {
		a.cfg.Log = slog.New(slog.DiscardHandler)
	}
	return a, nil
}

// WithSpread runs do on the core's goroutine with the module's time and its state for spreading the load of
// all senders. do must not block. It does not run once the agent has stopped.
func (a *Agent) WithSpread(do func(now policy.Time, s *spread.State)) {
	a.post("", func() { do(a.now(), a.controller.Spread()) })
}

// ApplyView makes the module follow a steward's view of the fleet.
func (a *Agent) ApplyView(v spread.View) {
	a.post("", func() { a.act(a.controller.ApplyView(a.now(), v)) })
}

// Observations returns what the agent observed of the setup servers; nil unless Config.ObserveServers is set.
func (a *Agent) Observations() *Observations { return a.observations }

// SetBackend sets the backend.
func (a *Agent) SetBackend(b Backend) { a.backend = b }

// Run handles events until Stop is called, then the events that are still queued.
func (a *Agent) Run() {
	for {
		e, ok := a.mailbox.Take()
		if !ok {
			return
		}
		a.handle(e)
	}
}

// RefuseNew sets whether new calls are refused. Calls that are open continue.
func (a *Agent) RefuseNew(on bool) { a.refusingNew.Store(on) }

// refusingRetryAfter is told to callers while the agent refuses new calls; it is short, as other agents
// accept calls at once.
const refusingRetryAfter = 200 * time.Millisecond

// Stop closes the event queue to further events.
func (a *Agent) Stop() { a.mailbox.Close() }

// handle runs one event. A panic fails the call that the event was about and affects nothing else.
func (a *Agent) handle(e event) {
	defer func() {
		if r := recover(); r != nil {
			a.cfg.Log.Error("panic in the core", "call", e.id, "reason", r, "stack", string(debug.Stack()))
			if c := a.calls[e.id]; c != nil {
				a.abandon(c, fmt.Errorf("%w: %v", ErrPanic, r))
			}
		}
	}()
	e.do()
	a.gauges.inFlight.Store(int64(a.openCalls + a.standingCalls))
	listed, avoided := a.controller.CountServers()
	a.gauges.listed.Store(int64(listed))
	a.gauges.avoided.Store(int64(avoided))
}

// post queues work for the actor even if the mailbox is full, as events about open calls must not be lost.
func (a *Agent) post(id string, do func()) { a.mailbox.Post(event{id, do}) }

// postAndWait queues work for the actor and returns once it is done, or at once if the agent has stopped. It is for
// messages that a peer may send without end: each goroutine that reads a peer has one of them in the queue at most,
// so the peer is slowed down to the actor's pace and the queue is bounded by the number of connections. The actor's
// own goroutine must not call it.
func (a *Agent) postAndWait(id string, do func()) {
	done := make(chan struct{})
	queued := a.mailbox.Post(event{id, func() {
		defer close(done)
		do()
	}})
	if queued {
		<-done
	}
}

// now returns the module's time.
func (a *Agent) now() policy.Time { return a.origin + time.Since(a.start) }

// Offer passes a call to the agent. It returns false if the agent is too busy; the front then refuses the
// call itself.
func (a *Agent) Offer(f Front, c Call) bool {
	if a.openBytes.Add(callMemory(c)) <= cmp.Or(a.cfg.MaxCallBytes, 16<<20) && a.mailbox.Offer(event{c.ID, func() {
		if !a.offer(f, c) {
			a.openBytes.Add(-callMemory(c))
		}
	}}) {
		return true
	}
	a.openBytes.Add(-callMemory(c))
	a.tally(c).Refused.Add(1)
	return false
}

// callOverheadBytes is a call's memory besides its description: table entries, timers, closures.
const callOverheadBytes = 1 << 10

// callMemory returns approximately how many bytes a call holds until it is answered. Hundreds of concurrent
// set-ups of 16 KiB from one caller must not exhaust a small machine's memory.
func callMemory(c Call) int64 { return int64(callOverheadBytes + len(c.Description)) }

// tally returns the counts of a call's class; for an unknown class it returns counts that are discarded.
func (a *Agent) tally(c Call) *Tally {
	if t := a.tallies[c.Class]; t != nil {
		return t
	}
	return &Tally{}
}

// answer, refuse, fail and reject pass a final answer to the front and count it.
func (a *Agent) answer(f Front, c Call, description []byte) {
	a.tally(c).Served.Add(1)
	f.Answered(c, description)
}

func (a *Agent) refuse(f Front, c Call, retryAfter time.Duration) {
	a.tally(c).Refused.Add(1)
	a.cfg.Log.Debug("call refused", "call", c.ID, "retry_after", retryAfter)
	f.Refused(c, retryAfter)
}

func (a *Agent) fail(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	a.cfg.Log.Debug("call failed", "call", c.ID, "error", err)
	f.Failed(c, err)
}

func (a *Agent) reject(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	f.Rejected(c, err)
}

// Withdraw reports that the caller has left: it gave up the set-up, released the standing call, or can't be
// reached with the answer. The front needs no further message about the call.
func (a *Agent) Withdraw(f Front, id string) { a.post(id, func() { a.withdraw(f, id) }) }

// ReleaseUnknown reports that a caller released a call that its front does not know. A call from before a
// restart still stands at some server and is released at all of them; a call that was handled here needs
// nothing more. Each release costs every server a message, so callers that invent ids are limited to
// unknownReleasesPerSecond. It blocks until the core has handled the release.
func (a *Agent) ReleaseUnknown(id string) {
	a.postAndWait(id, func() {
		if a.calls[id] == nil && !a.recent.Has(id) && a.unknownReleases.allow(time.Now(), unknownReleasesPerSecond) {
			a.backend.ReleaseUnknown(id)
		}
	})
}

// Servers updates the server list. whole: servers that are not in the list are gone.
func (a *Agent) Servers(list []Server, whole bool) {
	a.post("", func() { a.servers(list, whole) })
}

// Stands reports that an attempt was answered and the call stands.
func (a *Agent) Stands(id string, n int, description []byte) {
	a.post(id, func() { a.handleStands(id, n, description) })
}

// Ended reports the end of an attempt, or of the call that stood on it. err is nil if the call ended
// normally, and a *Failure otherwise.
func (a *Agent) Ended(id string, n int, err *Failure, r policy.Report) {
	a.post(id, func() { a.handleEnded(id, n, err, r) })
}

// UnknownEnded reports that a server ended a call that the backend does not know. It blocks until the core has
// handled the report.
func (a *Agent) UnknownEnded(id string, err *Failure) {
	a.postAndWait(id, func() {
		if a.calls[id] == nil && !a.adoptedEnded(id, err) && !a.recent.Has(id) && a.unknownEnds.allow(time.Now(), unknownEndsPerSecond) {
			a.recent.Add(id) // a server may report the end on several connections
			a.cfg.OnUnknownEnded(id, failureOrNil(err))
		}
	})
}

// Reported passes on a report that did not come with an answer, or the outcome of a probe. It blocks until the core
// has handled an unsolicited report; the number of the others is bounded by the probes.
func (a *Agent) Reported(p policy.ReportReceived) {
	post := a.post
	if !p.Solicited {
		post = a.postAndWait
	}
	post("", func() {
		a.observations.recordReport(p)
		a.act(a.controller.Handle(a.now(), p))
	})
}

// NotifyIdle calls done once no call waits for its final answer.
func (a *Agent) NotifyIdle(done func()) {
	a.post("", func() {
		a.idleCallbacks = append(a.idleCallbacks, done)
		a.notifyIfIdle()
	})
}

// RefuseAll refuses every call that has no final answer yet. It is meant for a shutdown that can't wait
// longer.
func (a *Agent) RefuseAll(retryAfter time.Duration) {
	a.post("", func() {
		for _, c := range a.calls {
			if !c.resolved {
				a.resolve(c)
				a.refuse(c.front, c.Call, retryAfter)
				a.closeClaim(c, Promise{Outcome: Refused, RetryAfter: retryAfter})
				a.endAtServer(c)
			}
		}
	})
}

// offer adds a call to the table and reports whether it was accepted.
func (a *Agent) offer(f Front, in Call) bool {
	if a.calls[in.ID] != nil {
		a.reject(f, in, ErrDuplicate)
		return false
	}
	if err := a.check(in); err != nil {
		a.reject(f, in, err)
		return false
	}
	a.recent.Add(in.ID)
	if a.refusingNew.Load() {
		a.refuse(f, in, min(refusingRetryAfter, a.cfg.Settings.Limits.MaxRetryAfter))
		return false
	}
	if a.openCalls >= cmp.Or(a.cfg.MaxOpenCalls, 4096) {
		a.refuse(f, in, a.cfg.Settings.Limits.MaxRetryAfter)
		return false
	}
	a.observations.recordCall(in.Class)
	c := &call{Call: in, front: f}
	a.calls[in.ID] = c
	a.openCalls++
	left := max(time.Until(in.Deadline), 0)
	// The module answers every call in time. This timer makes sure that the caller gets an answer even if it
	// does not.
	c.overdueTimer = time.AfterFunc(left+a.cfg.AnswerSlack/2, func() {
		a.post(in.ID, func() {
			if a.calls[in.ID] == c && !c.resolved {
				a.cfg.Log.Warn("call overdue", "call", in.ID, "out", c.attemptOut, "server", c.server)
				a.abandon(c, c.overdueError())
			}
		})
	})
	if a.cfg.Promises != nil {
		a.claim(c)
	} else {
		a.notifyArrival(c)
	}
	return true
}

// notifyArrival passes a call to the module, with its route's limits.
func (a *Agent) notifyArrival(c *call) {
	in := c.Call
	route, left := a.route(in, max(time.Until(in.Deadline), 0))
	c.attemptTimeout = route.AttemptTimeout
	a.act(a.controller.Handle(a.now(), policy.Arrival{ID: in.ID, Class: in.Class, Tenant: in.Tenant,
		TimeLeft: left, Pool: in.Pool, Number: in.Number, Redial: in.Redialled,
		MaxAttempts: route.MaxAttempts, RetryDelay: route.Spacing, Pools: route.Pools}))
}

// check validates a caller's parameters before anything of the call is stored. A setup server answers
// unusable parameters with an error, or closes the connection and thereby ends other calls' set-ups.
func (a *Agent) check(c Call) error {
	class, ok := a.classes[c.Class]
	unusable := func(format string, args ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrUnusableCall}, args...)...)
	}
	switch {
	case !ok:
		return ErrUnknownClass
	case strings.Trim(c.ID, "0") == "":
		return unusable("no id")
	case len(a.tenants) > 0 && !a.tenants[c.Tenant]:
		return unusable("unknown tenant %.40q", c.Tenant)
	case c.Number == "" || len(c.Number) > maxNumberBytes:
		return unusable("number %.40q", c.Number)
	case len(c.Description) == 0:
		return unusable("no description")
	case c.Pool < -1 || c.Pool >= 0 && class.Pools != nil && !slices.Contains(class.Pools, c.Pool):
		return unusable("first choice %d", c.Pool)
	case c.Width != 0 && class.LinesPerCall != 0 && c.Width != class.LinesPerCall:
		return unusable("width %d", c.Width)
	}
	return nil
}

// withdraw ends a call whose caller has left, here and at its setup server.
func (a *Agent) withdraw(f Front, id string) {
	c := a.calls[id]
	if c == nil {
		a.adoptedReleased(f, id)
		return
	}
	if c.front != f || c.callerLeft { // a release may cross the call's end
		return
	}
	c.callerLeft = true
	if !c.resolved {
		a.resolve(c)
		a.closeClaim(c, Promise{Outcome: Failed})
	}
	a.endAtServer(c)
}

// abandon fails the call, whatever the module decides later.
func (a *Agent) abandon(c *call, err error) {
	if !c.resolved {
		a.resolve(c)
		a.fail(c.front, c.Call, err)
		a.closeClaim(c, Promise{Outcome: Failed})
	}
	a.endAtServer(c)
}

// endAtServer gives up the attempt that a resolved call still has at a setup server, and tells the module
// that the call is gone.
func (a *Agent) endAtServer(c *call) {
	if c.attemptOut {
		a.giveUp(c, policy.Cancelled)
	}
	a.forgetIfDone(c)
	if !c.stands {
		a.act(a.controller.Handle(a.now(), policy.Departed{ID: c.ID}))
	}
}

// giveUp has the backend end the call's current attempt, once.
func (a *Agent) giveUp(c *call, why policy.Result) {
	if c.attemptOut && !c.givenUp {
		c.givenUp = true
		a.cfg.Log.Debug("attempt given up", "call", c.ID, "attempt", c.attempts-1, "server", c.server, "stands", c.stands)
		c.cancelAttempt()
		a.backend.GiveUp(c.server, c.ID, c.attempts-1, why)
	}
}

// resolve marks a call as finally answered. Nothing else sets resolved.
func (a *Agent) resolve(c *call) {
	c.resolved = true
	a.openBytes.Add(-callMemory(c.Call))
	c.overdueTimer.Stop()
	a.openCalls--
	a.notifyIfIdle()
}

// notifyIfIdle calls the idle callbacks if no call waits for its final answer.
func (a *Agent) notifyIfIdle() {
	if a.openCalls > 0 {
		return
	}
	for _, done := range a.idleCallbacks {
		done()
	}
	a.idleCallbacks = nil
}

// forgetIfDone removes a call from the table if nothing more can happen to it.
func (a *Agent) forgetIfDone(c *call) {
	if c.resolved && !c.attemptOut && a.calls[c.ID] == c {
		delete(a.calls, c.ID)
	}
}

// dropReplaced marks the servers as gone whose address another server with a later start has taken over. A
// server is replaced at its address before the list says that it is gone, and calls meant for the old server
// would reach the new one, which is cold. The given list is not modified.
func (a *Agent) dropReplaced(list []Server, whole bool) []Server {
	list = slices.Clone(list)
	if whole {
		clear(a.serverByAddress)
	}
	for i, s := range list {
		maps.DeleteFunc(a.serverByAddress, func(address string, holder Server) bool { return holder.ID == s.ID && address != s.Address })
		holder, held := a.serverByAddress[s.Address]
		switch {
		case s.State == policy.Gone || s.Address == "":
			if held && holder.ID == s.ID {
				delete(a.serverByAddress, s.Address)
			}
		case held && holder.ID != s.ID && holder.ReadyAt > s.ReadyAt:
			list[i].State = policy.Gone
		case held && holder.ID != s.ID:
			a.cfg.Log.Info("setup server replaced by another at the same address", "address", s.Address, "old", holder.ID, "new", s.ID)
			holder.State = policy.Gone
			list = append(list, holder)
			a.serverByAddress[s.Address] = s
		default:
			a.serverByAddress[s.Address] = s
		}
	}
	return list
}

// servers passes an updated server list to the backend and to the module.
func (a *Agent) servers(list []Server, whole bool) {
	list = a.dropReplaced(list, whole)
	update := policy.ServerList{Whole: whole}
	for _, s := range list {
		update.Servers = append(update.Servers, s.Server)
	}
	a.observations.recordList(list, whole)
	a.backend.Servers(list, whole) // first: the backend must know the servers to which the module sends next
	a.act(a.controller.Handle(a.now(), update))
}

// currentAttempt returns the call if n is its latest attempt and that attempt is still out.
func (a *Agent) currentAttempt(id string, n int) *call {
	if c := a.calls[id]; c != nil && c.attemptOut && n == c.attempts-1 {
		return c
	}
	return nil
}

// handleStands handles the answer to an attempt: the call stands, and its caller gets the answer.
func (a *Agent) handleStands(id string, n int, description []byte) {
	c := a.currentAttempt(id, n)
	// An answer after the give-up is too late: the backend releases the call at the server.
	if c == nil || c.givenUp || c.resolved || c.storing {
		return
	}
	c.attemptTimer.Stop()
	a.cfg.Log.Debug("call stands", "call", id, "attempt", n, "server", c.server)
	c.stands = true
	a.standingCalls++
	a.storeAndAnswer(c, Promise{Outcome: Served, Description: description}, func() {
		c.Description = nil
		a.answer(c.front, c.Call, description)
	})
	a.observations.recordAttempt(c.server, policy.OK, a.now()-c.sentAt, policy.EmptyReport())
	a.act(a.controller.Handle(a.now(), policy.Standing{ID: id, Attempt: n, Server: c.server,
		Delay: a.now() - c.sentAt}))
}

// handleEnded handles the end of an attempt or of the call that stood on it.
func (a *Agent) handleEnded(id string, n int, err *Failure, r policy.Report) {
	c := a.currentAttempt(id, n)
	if c == nil {
		return
	}
	c.attemptOut = false
	c.attemptTimer.Stop()
	c.cancelAttempt()
	if c.stands {
		a.standingCalls--
	}
	switch {
	case c.stands && c.storing:
		c.ended, c.endFailure = true, err
	case c.stands && !c.callerLeft:
		a.notifyEnded(c, err)
	}
	if c.stored {
		a.cfg.Promises.MarkEnded(id)
	}
	e := policy.Ended{ID: id, Attempt: n, Server: c.server, Delay: a.now() - c.sentAt,
		Complete: c.resolved || c.storing, Report: r}
	if err != nil {
		c.lastFailure = err
		e.Result, e.Wait = err.Result, err.Wait
		a.cfg.Log.Debug("attempt ended", "call", id, "attempt", n, "error", err)
	}
	if !c.stands { // the end of a standing call says nothing about reaching its server
		a.observations.recordAttempt(c.server, e.Result, e.Delay, r)
	}
	a.forgetIfDone(c)
	a.act(a.controller.Handle(a.now(), e))
}

// overdueError is the error of a call without an outcome; it says how far the latest attempt got.
func (c *call) overdueError() error {
	if c.lastFailure == nil {
		return ErrOverdue
	}
	return fmt.Errorf("%w: %w", ErrOverdue, c.lastFailure)
}

// failureOrNil returns f as an error, so that a nil *Failure becomes a nil error.
func failureOrNil(f *Failure) error {
	if f == nil {
		return nil
	}
	return f
}

// act carries out the module's decisions, in order.
func (a *Agent) act(actions []policy.Action) {
	for _, action := range actions {
		switch d := action.(type) {
		case policy.Send:
			a.send(d)
		case policy.Cancel:
			if c := a.currentAttempt(d.ID, d.Attempt); c != nil && !c.stands {
				a.giveUp(c, policy.Cancelled)
			}
		case policy.Refuse:
			if c := a.calls[d.ID]; c != nil && !c.resolved && !c.storing {
				a.storeAndAnswer(c, Promise{Outcome: Refused, RetryAfter: d.RetryAfter}, func() { a.refuse(c.front, c.Call, d.RetryAfter) })
			}
		case policy.Fail:
			if c := a.calls[d.ID]; c != nil && !c.resolved && !c.storing {
				a.storeAndAnswer(c, Promise{Outcome: Failed}, func() { a.fail(c.front, c.Call, c.overdueError()) })
			}
		case policy.Probe:
			a.backend.Probe(d.Server)
		case policy.Wake:
			time.AfterFunc(d.After, func() {
				a.post("", func() { a.act(a.controller.Handle(a.now(), policy.Tick{})) })
			})
		case policy.Log:
			a.cfg.Log.Info(d.Text)
		}
	}
}

// send starts an attempt that the module decided on, with a timer that gives it up.
func (a *Agent) send(d policy.Send) {
	c := a.calls[d.ID]
	if c == nil || c.resolved || c.attemptOut || c.storing {
		a.cfg.Log.Error("set-up ignored: the call has ended or another attempt is out", "call", d.ID, "server", d.Server)
		return
	}
	n := c.attempts
	c.attempts++
	c.server, c.attemptOut, c.givenUp, c.sentAt = d.Server, true, false, a.now()
	a.cfg.Log.Debug("attempt sent", "call", c.ID, "attempt", n, "server", c.server)
	left := d.Deadline - c.sentAt
	if c.attemptTimeout > 0 {
		left = min(left, c.attemptTimeout)
	}
	c.attemptTimer = time.AfterFunc(left, func() {
		a.post(c.ID, func() {
			if a.currentAttempt(c.ID, n) == c && !c.stands {
				a.giveUp(c, policy.TimedOut)
			}
		})
	})
	ctx, cancel := context.WithCancel(cmp.Or(c.CallerContext, context.Background()))
	c.cancelAttempt = cancel
	a.backend.SetUp(Attempt{ID: c.ID, Index: n, Server: d.Server, Class: c.Class, Number: c.Number,
		Deadline: time.Now().Add(left), Description: c.Description, Context: ctx})
}
