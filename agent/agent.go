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

// What a front may hear instead of an outcome.
var (
	ErrDuplicate    = errors.New("a call of this id is open")
	ErrUnknownClass = errors.New("unknown class")
	ErrUnusableCall = errors.New("a call that no setup server could use")
	ErrOverdue      = errors.New("no outcome by the caller's deadline")
	ErrPanic        = errors.New("fault inside the agent")
)

// maxNumberBytes bounds the number called.
const maxNumberBytes = 256

// Config is what an agent needs beside its backend.
type Config struct {
	Settings     policy.Settings
	Seed         uint64
	AnswerSlack  time.Duration // a final answer counts so long after the deadline
	MailboxSize  int           // most events that wait; 0: 8192
	MaxOpenCalls int           // most calls without a final answer, as each holds memory; 0: 4096
	MaxCallBytes int64         // most memory that these and the waiting ones hold, about; 0: 16 MiB
	Log          *slog.Logger
	// OnUnknownEnded hears of a call's end at a setup server when the call is none of this agent's:
	// it stood before a restart, and its caller still waits to be told. err as for Ended.
	OnUnknownEnded func(id string, err error)
	// Promises copies promises to further agents; nil: this agent keeps them for itself alone.
	Promises PromiseStore
	// ObserveServers has the agent count what it sees of the setup servers by zone (Agent.Sights).
	ObserveServers bool
}

// Route is what a call's route gives it beyond the settings; zero fields leave the settings.
// Routes may only narrow (package internal/routes proves a file before it is used).
type Route struct {
	MaxAttempts int           // most attempts of the call
	Spacing     time.Duration // least wait after a give-up before the next attempt
	TimeShare   float64       // of the caller's time that all attempts may use, in (0, 1]
	Pools       []int         // the pools it may go to, within its class's
	// AttemptTimeout gives each attempt up this long after it was handed on, unless the
	// module's deadline comes first; the module then hears it timed out, and its spacing holds.
	AttemptTimeout time.Duration
}

// Router finds a call's route. It is called on the core's goroutine, once for each call, and
// must neither block nor keep the call.
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
	idleCallbacks   []func() // told when no set-up is open
	openCalls       int      // calls without a final answer
	standingCalls   int      // calls that stand
	recent          recent.Set[string]
	unknownReleases rateLimiter // of callers
	unknownEnds     rateLimiter // of setup servers
	refusingNew     atomic.Bool
	openBytes       atomic.Int64      // memory of the calls offered that have no final answer
	tallies         map[string]*Tally // by class; the map itself never changes
	gauges          gauges
	router          atomic.Pointer[Router] // nil: every call has the settings' limits
	observations    *Observations          // nil: not counted
	adopted         map[string]*call       // calls that stand by another agent's answer, told here
	serverByAddress map[string]Server      // who is listed at each address
}

// SetRouter has the calls that arrive from now on take their routes from r; nil: none.
func (a *Agent) SetRouter(r Router) {
	if r == nil {
		a.router.Store(nil)
		return
	}
	a.router.Store(&r)
}

// route is a call's route and the time the module may use of the caller's.
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

// gauges are what the actor tells of itself without being asked.
type gauges struct{ inFlight, listed, avoided atomic.Int64 }

// Tallies returns what has come of the calls so far, by class.
func (a *Agent) Tallies() map[string]*Tally { return a.tallies }

// InFlight is how many calls are open or stand.
func (a *Agent) InFlight() int64 { return a.gauges.inFlight.Load() }

// Hosts is how many setup servers are listed, and how many of them get no calls now.
func (a *Agent) Hosts() (listed, avoided int64) {
	return a.gauges.listed.Load(), a.gauges.avoided.Load()
}

// How many releases of unknown calls a second go on. Callers' cost each server a message:
// the bound is more than the calls of a busy second, which is what a restart leaves behind of
// each. Servers' cost one caller a message, and come all at once on the first connection
// after a restart: the bound is the calls that stand in a busy hour.
const (
	unknownReleasesPerSecond = 200
	unknownEndsPerSecond     = 2000
)

// rateLimiter counts what may happen so many times a second.
type rateLimiter struct {
	since time.Time
	count int
}

func (l *rateLimiter) allow(now time.Time, limit int) bool {
	if now.Sub(l.since) >= time.Second {
		*l = rateLimiter{since: now}
	}
	l.count++
	return l.count <= limit
}

// event is work for the actor; id names the call it is about, if any.
type event struct {
	id string
	do func()
}

// call is an entry of the call table. It leaves once resolved with no attempt out.
type call struct {
	Call
	front          Front
	resolved       bool // has its final answer, or needs none
	stands         bool
	callerLeft     bool // the caller has left or released it
	attempts       int
	server         string
	attemptOut     bool // an attempt is unanswered or stands
	givenUp        bool
	sentAt         policy.Time
	attemptTimer   *time.Timer   // of the attempt
	cancelAttempt  func()        // ends the attempt's Wanted
	overdueTimer   *time.Timer   // of the call: the core's own last word
	lastFailure    *Failure      // of its latest attempt
	attemptTimeout time.Duration // of each attempt, by its route; 0: until the module's deadline

	claimed    bool     // further agents know that this one alone sends it, and no answer of it
	storing    bool     // its claim or its answer is on the way to further agents
	stored     bool     // further agents hold that it stands
	ended      bool     // it stood, and ended while its answer was being kept
	endFailure *Failure // how
}

// New returns an agent, or tells why the settings can't be used. The backend may be
// set later with Attach, but before Run.
func New(cfg Config) (*Agent, error) {
	controller, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, controller: controller, mailbox: mailbox.New[event](cmp.Or(cfg.MailboxSize, 8192)),
		calls: map[string]*call{}, adopted: map[string]*call{}, serverByAddress: map[string]Server{}, classes: map[string]policy.Class{}, tenants: map[string]bool{}, tallies: map[string]*Tally{}, start: time.Now()}
	// The module compares its time with the Unix milliseconds of a server's start, and
	// must never see it run backwards: the wall clock once, then the monotonic one.
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

// WithSpread hands the module's part in spreading the load of all senders, and the module's time, to
// do on the core's goroutine, which must not wait. It does nothing once the agent has stopped.
func (a *Agent) WithSpread(do func(now policy.Time, s *spread.State)) {
	a.post("", func() { do(a.now(), a.controller.Spread()) })
}

// ApplyView has the module follow a steward's view of the fleet.
func (a *Agent) ApplyView(v spread.View) {
	a.post("", func() { a.act(a.controller.ApplyView(a.now(), v)) })
}

// Observations is what the agent sees of the setup servers; nil where Config.Sights is not set.
func (a *Agent) Observations() *Observations { return a.observations }

// SetBackend names the backend.
func (a *Agent) SetBackend(b Backend) { a.backend = b }

// Run handles events until Stop, then what has come in before it.
func (a *Agent) Run() {
	for {
		e, ok := a.mailbox.Take()
		if !ok {
			return
		}
		a.handle(e)
	}
}

// RefuseNew has calls that come from now on refused, or taken again. What is open goes on.
func (a *Agent) RefuseNew(on bool) { a.refusingNew.Store(on) }

// refusingRetryAfter is told to callers while the agent takes no calls: others take them at once.
const refusingRetryAfter = 200 * time.Millisecond

// Stop lets no further events in.
func (a *Agent) Stop() { a.mailbox.Close() }

// handle runs one event; a panic ends the call it was about and nothing else.
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

func (a *Agent) post(id string, do func()) { a.mailbox.Post(event{id, do}) }

func (a *Agent) now() policy.Time { return a.origin + time.Since(a.start) }

// Offer hands a call in. It reports false when the agent is too busy to take it; the
// front then refuses the call itself.
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

// callOverheadBytes is what a call takes beside its description: tables, timers, closures.
const callOverheadBytes = 1 << 10

// callMemory tells about how much memory a call holds until it is answered. Hundreds of set-ups of
// 16 KiB at once, from one caller, must not take a small machine's.
func callMemory(c Call) int64 { return int64(callOverheadBytes + len(c.Description)) }

// tally returns the counts of a call's class; those of a class unknown are nobody's.
func (a *Agent) tally(c Call) *Tally {
	if t := a.tallies[c.Class]; t != nil {
		return t
	}
	return &Tally{}
}

// The ways in which a front hears of a final answer, counted.
func (a *Agent) answer(f Front, c Call, description []byte) {
	a.tally(c).Served.Add(1)
	f.Answered(c, description)
}

func (a *Agent) refuse(f Front, c Call, retryAfter time.Duration) {
	a.tally(c).Refused.Add(1)
	f.Refused(c, retryAfter)
}

func (a *Agent) fail(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	f.Failed(c, err)
}

func (a *Agent) reject(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	f.Rejected(c, err)
}

// Withdraw tells that the caller has left: it gave the set-up up, released the call that
// stands, or can't be reached with the answer. Nothing more is owed for the call.
func (a *Agent) Withdraw(f Front, id string) { a.post(id, func() { a.withdraw(f, id) }) }

// ReleaseUnknown tells that a caller released a call its front knows nothing of. One from
// before a restart still stands at some server; of one handled here all is said. Each
// costs every server a message, so a caller that makes ids up is held to unknownMost a second.
func (a *Agent) ReleaseUnknown(id string) {
	a.post(id, func() {
		if a.calls[id] == nil && !a.recent.Has(id) && a.unknownReleases.allow(time.Now(), unknownReleasesPerSecond) {
			a.backend.ReleaseUnknown(id)
		}
	})
}

// Servers brings news of the server list.
func (a *Agent) Servers(list []Server, whole bool) {
	a.post("", func() { a.servers(list, whole) })
}

// Stands tells that an attempt was answered.
func (a *Agent) Stands(id string, n int, description []byte) {
	a.post(id, func() { a.handleStands(id, n, description) })
}

// Ended tells how an attempt ended, or the call that stood on it; err is nil where the
// call came to its end, and a *Failure otherwise.
func (a *Agent) Ended(id string, n int, err *Failure, r policy.Report) {
	a.post(id, func() { a.handleEnded(id, n, err, r) })
}

// UnknownEnded tells that a server ended a call of which the backend knows nothing.
func (a *Agent) UnknownEnded(id string, err *Failure) {
	a.post(id, func() {
		if a.calls[id] == nil && !a.adoptedEnded(id, err) && !a.recent.Has(id) && a.unknownEnds.allow(time.Now(), unknownEndsPerSecond) {
			a.cfg.OnUnknownEnded(id, failureOrNil(err))
		}
	})
}

// Reported brings a report that came outside an answer, or the outcome of a probe.
func (a *Agent) Reported(p policy.ReportReceived) {
	a.post("", func() {
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

// RefuseAll gives every unresolved call its final answer now. For a shutdown that can
// wait no longer.
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

// offer enters a call and tells whether it was taken.
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
	// The module answers every call in time. Should it ever not, the caller still hears.
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

// notifyArrival tells the module of a call, with its route's limits.
func (a *Agent) notifyArrival(c *call) {
	in := c.Call
	route, left := a.route(in, max(time.Until(in.Deadline), 0))
	c.attemptTimeout = route.AttemptTimeout
	a.act(a.controller.Handle(a.now(), policy.Arrival{ID: in.ID, Class: in.Class, Tenant: in.Tenant,
		TimeLeft: left, Pool: in.Pool, Number: in.Number, Redial: in.Redialled,
		MaxAttempts: route.MaxAttempts, RetryDelay: route.Spacing, Pools: route.Pools}))
}

// check looks at what a caller claims before anything is kept of it. A setup server answers
// what it can't use with an error, or ends the connection and with it others' set-ups.
func (a *Agent) check(c Call) error {
	class, ok := a.classes[c.Class]
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrUnusableCall}, args...)...)
	}
	switch {
	case !ok:
		return ErrUnknownClass
	case strings.Trim(c.ID, "0") == "":
		return bad("no id")
	case len(a.tenants) > 0 && !a.tenants[c.Tenant]:
		return bad("unknown tenant %.40q", c.Tenant)
	case c.Number == "" || len(c.Number) > maxNumberBytes:
		return bad("number %.40q", c.Number)
	case len(c.Description) == 0:
		return bad("no description")
	case c.Pool < -1 || c.Pool >= 0 && class.Pools != nil && !slices.Contains(class.Pools, c.Pool):
		return bad("first choice %d", c.Pool)
	case c.Width != 0 && class.LinesPerCall != 0 && c.Width != class.LinesPerCall:
		return bad("width %d", c.Width)
	}
	return nil
}

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

// abandon is the core's own final answer, whatever the module thinks.
func (a *Agent) abandon(c *call, err error) {
	if !c.resolved {
		a.resolve(c)
		a.fail(c.front, c.Call, err)
		a.closeClaim(c, Promise{Outcome: Failed})
	}
	a.endAtServer(c)
}

// endAtServer ends what a resolved call still has at a setup server, and tells the module.
func (a *Agent) endAtServer(c *call) {
	if c.attemptOut {
		a.giveUp(c, policy.Cancelled)
	}
	a.forgetIfDone(c)
	if !c.stands {
		a.act(a.controller.Handle(a.now(), policy.Departed{ID: c.ID}))
	}
}

func (a *Agent) giveUp(c *call, why policy.Result) {
	if c.attemptOut && !c.givenUp {
		c.givenUp = true
		c.cancelAttempt()
		a.backend.GiveUp(c.server, c.ID, c.attempts-1, why)
	}
}

// resolve marks that a call has its final answer: the one place where that is set.
func (a *Agent) resolve(c *call) {
	c.resolved = true
	a.openBytes.Add(-callMemory(c.Call))
	c.overdueTimer.Stop()
	a.openCalls--
	a.notifyIfIdle()
}

func (a *Agent) notifyIfIdle() {
	if a.openCalls > 0 {
		return
	}
	for _, done := range a.idleCallbacks {
		done()
	}
	a.idleCallbacks = nil
}

// forgetIfDone forgets a call that needs nothing more.
func (a *Agent) forgetIfDone(c *call) {
	if c.resolved && !c.attemptOut && a.calls[c.ID] == c {
		delete(a.calls, c.ID)
	}
}

// dropReplaced takes those off a list whose address a later one has: a server is replaced at its address
// before the list tells that it is gone, and what was meant for it would reach the new one, which
// is cold. It leaves the list it was given as it is.
func (a *Agent) dropReplaced(list []Server, whole bool) []Server {
	list = slices.Clone(list)
	if whole {
		clear(a.serverByAddress)
	}
	for i, s := range list {
		maps.DeleteFunc(a.serverByAddress, func(at string, h Server) bool { return h.ID == s.ID && at != s.Address })
		h, held := a.serverByAddress[s.Address]
		switch {
		case s.State == policy.Gone || s.Address == "":
			if held && h.ID == s.ID {
				delete(a.serverByAddress, s.Address)
			}
		case held && h.ID != s.ID && h.ReadyAt > s.ReadyAt:
			list[i].State = policy.Gone
		case held && h.ID != s.ID:
			a.cfg.Log.Info("setup server replaced at its address", "address", s.Address, "old", h.ID, "new", s.ID)
			h.State = policy.Gone
			list = append(list, h)
			a.serverByAddress[s.Address] = s
		default:
			a.serverByAddress[s.Address] = s
		}
	}
	return list
}

func (a *Agent) servers(list []Server, whole bool) {
	list = a.dropReplaced(list, whole)
	news := policy.ServerList{Whole: whole}
	for _, s := range list {
		news.Servers = append(news.Servers, s.Server)
	}
	a.observations.recordList(list, whole)
	a.backend.Servers(list, whole) // first: what the module sends next must find its server
	a.act(a.controller.Handle(a.now(), news))
}

// currentAttempt returns the call whose latest attempt is n and still out.
func (a *Agent) currentAttempt(id string, n int) *call {
	if c := a.calls[id]; c != nil && c.attemptOut && n == c.attempts-1 {
		return c
	}
	return nil
}

func (a *Agent) handleStands(id string, n int, description []byte) {
	c := a.currentAttempt(id, n)
	// Once given up, the answer comes too late: the backend releases it at the server.
	if c == nil || c.givenUp || c.resolved || c.storing {
		return
	}
	c.attemptTimer.Stop()
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
	if !c.stands { // how a call that stood ended shows nothing of the way to its server
		a.observations.recordAttempt(c.server, e.Result, e.Delay, r)
	}
	a.forgetIfDone(c)
	a.act(a.controller.Handle(a.now(), e))
}

// overdueError tells how far the latest attempt of a call without an outcome had come.
func (c *call) overdueError() error {
	if c.lastFailure == nil {
		return ErrOverdue
	}
	return fmt.Errorf("%w: %w", ErrOverdue, c.lastFailure)
}

// failureOrNil keeps a failure that is none from becoming an error that is not nil.
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

func (a *Agent) send(d policy.Send) {
	c := a.calls[d.ID]
	if c == nil || c.resolved || c.attemptOut || c.storing {
		a.cfg.Log.Error("set-up for a call that is over or out", "call", d.ID, "server", d.Server)
		return
	}
	n := c.attempts
	c.attempts++
	c.server, c.attemptOut, c.givenUp, c.sentAt = d.Server, true, false, a.now()
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
