package agent

import (
	"cmp"
	"errors"
	"log/slog"
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
	// MaxStandingCalls is the maximum number of calls that stand, as each holds memory until its end: while there are as
	// many, new calls are refused; 0: 65536.
	MaxStandingCalls int
	MaxCallBytes     int64 // approximate maximum memory of these and the queued calls in bytes; 0: 16 MiB
	Log              *slog.Logger
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
