package policy

import (
	"cmp"
	"time"

	"woodrouter/spread"
)

// Time is a moment on the clock of the gateway's host, measured from an origin
// of the host's choice. It never runs backwards.
type Time = time.Duration

// Settings are the facts a gateway knows when it starts.
type Settings struct {
	Rank               int // this sender's place among the senders, from 0
	Senders            int // how many senders there are
	Classes            []Class
	Tenants            []Tenant       // empty where calls belong to no tenant
	Reports            ReportDelivery // how core servers report their load
	Limits             Limits
	Rules              Rules
	OverAllowanceWorth float64       // worth of a call beyond its tenant's allowance, as a share of its class's
	Repeat             time.Duration // a waiting set-up is sent again after this; 0: never
	Tick               time.Duration // least time between two batches of events
	RedialsMarked      bool          // callers mark a call that is dialled again
	FullStatesWait     bool          // a full server states how long to keep away
	Spread             spread.Config // where senders talk: this one's name and life among them
}

// allowance is the calls a second that all servers together are meant to take, as far as the
// settings tell: what all tenants may send. Where there are none, a call a second.
func (s Settings) allowance() (sum float64) {
	for _, t := range s.Tenants {
		sum += max(t.Allowance, 0)
	}
	return cmp.Or(sum, 1)
}

// Class is a class of calls.
type Class struct {
	Name         string
	Aim          time.Duration // a call that stands this soon earns its full worth
	Deadline     time.Duration // the caller's patience over all tries
	Hold         time.Duration // mean length of a call
	Worth        float64
	LateShare    float64 // share of the worth that a call earns after the aim
	Pools        []int   // numbers of the servers that may take it; nil: any
	LinesPerCall int     // lines that a call takes; 0: not known
}

// Tenant is a customer with an allowance, in calls a second over all senders.
type Tenant struct {
	Name      string
	Allowance float64
}

// Limits are the things that a deployment forbids or bounds.
type Limits struct {
	MaxAttempts   int           // most attempts of one call
	MaxRetryAfter time.Duration // longest stay-away that a caller heeds; 0: none
	AllowProbes   bool          // core servers may be probed
	AllowCancel   bool          // an attempt may be called off
}

// Rules are the figures of the rules that hold for every run.
type Rules struct {
	RetryDelay   time.Duration // wait before a call whose attempt ended badly goes out again
	WarmUp       time.Duration // a started server is warm after this
	LoadSpan     time.Duration // length of the window in which a cold server's load is summed
	ColdShare    float64       // least share of its capacity that a started server has
	CollapseLoad float64       // more than this multiple of present capacity pushes a cold server over
}

// ReportDelivery tells how load reports reach the sender.
type ReportDelivery int

// The ways in which reports come.
const (
	NoReports ReportDelivery = iota
	WithAnswers
	WhenProbed
)

// NotReported marks a figure that a report does not hold.
const NotReported = -1

// Report is what a core server tells of itself. A figure that is None, negative,
// infinite or not a number counts as absent.
type Report struct {
	FreeLines, TotalLines float64 // free lines and all lines, as they are now
	Utilisation           float64 // busy share of the processor
	QueueLength           float64 // set-ups waiting at the processor
	AcceptRate            float64 // new set-ups a second that it takes from all senders
	RefuseShare           float64 // share of first set-ups that it asks senders to refuse
	WaitSeconds           float64 // seconds that a message waits at the processor
}

// EmptyReport returns a report without figures.
func EmptyReport() Report {
	return Report{NotReported, NotReported, NotReported, NotReported, NotReported, NotReported, NotReported}
}

// State is a server's state on the list.
type State int

// The states that a list knows.
const (
	Up State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID      string
	Pool    int // the number by which calls and classes name it
	State   State
	ReadyAt Time // its latest start; 0: long ago
}

// Result tells how an attempt or a probe ended.
type Result int

// The results. Full, Unreachable and NotSent prove that the server did nothing.
const (
	OK Result = iota
	Faulted
	Full
	TimedOut
	Unreachable
	Cut
	Cancelled
	NotSent
	NoLines // the server has no free line; its processor may be idle
	Busy    // every line of the number called is busy; a server did its part
)

// Event is something that happened to a gateway.
type Event interface{ event() }

// Arrival is a call handed to this gateway.
type Arrival struct {
	ID       string
	Class    string
	Tenant   string
	TimeLeft time.Duration // until the caller abandons this try
	Pool     int           // the server of first choice
	Number   string        // the number called; "": not known
	Redial   bool          // dialled again
	// A route's limits (package routes), narrower than the settings only: most attempts
	// (0: the settings'), least wait after a give-up (below ClearWait: ClearWait), and the
	// pools it may go to beyond its class's (nil: any of those).
	MaxAttempts int
	RetryDelay  time.Duration
	Pools       []int
}

// Standing tells that a set-up was answered and the call stands.
type Standing struct {
	ID      string
	Attempt int
	Server  string
	Delay   time.Duration
}

// Ended tells how an attempt, or the call that stood on it, ended.
type Ended struct {
	ID       string
	Attempt  int
	Server   string
	Result   Result
	Delay    time.Duration
	Complete bool          // the call has had its final answer
	Wait     time.Duration // stated by a full server; 0: none
	Report   Report
}

// Departed tells that the caller has left.
type Departed struct{ ID string }

// ServerList is news of the server list: all of it, or changed entries only.
type ServerList struct {
	Whole   bool
	Servers []Server
}

// ReportReceived is a report outside an answer; Asked tells whether a probe drew it.
type ReportReceived struct {
	Server    string
	Result    Result
	Delay     time.Duration
	Solicited bool
	Report    Report
}

// Tick is a timer that was asked for with Wake.
type Tick struct{}

func (Arrival) event()        {}
func (Standing) event()       {}
func (Ended) event()          {}
func (Departed) event()       {}
func (ServerList) event()     {}
func (ReportReceived) event() {}
func (Tick) event()           {}

// Action is something that the gateway is to do, in the order given.
type Action interface{ action() }

// Send starts the next attempt of a call; it is abandoned at Until.
type Send struct {
	ID       string
	Server   string
	Deadline Time
}

// Cancel calls an attempt off; its end is still reported.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse turns a call away for good and tells the caller when to come back.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a call that could not be set up.
type Fail struct{ ID string }

// Probe asks a server for its report.
type Probe struct{ Server string }

// Wake asks for a Tick after a time.
type Wake struct{ After time.Duration }

// Log is a line for the people on call.
type Log struct{ Text string }

func (Send) action()   {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Probe) action()  {}
func (Wake) action()   {}
func (Log) action()    {}

// ApplyView takes a steward's view of the fleet: the order of servers by its shares, and what all senders
// have measured of each, worth more than this one's few reports. All of it is read, then decided on once.
func (c *Controller) ApplyView(now Time, v spread.View) []Action {
	if !c.spread.HandleView(now, v) {
		return nil
	}
	c.Handle(now, ReportReceived{}) // of no server: the time alone
	for _, d := range v.Dues {
		if d.Rate > 0 {
			r := EmptyReport()
			r.AcceptRate, r.RefuseShare = d.Rate, v.Hold
			c.handleReport(ReportReceived{Server: d.Server, Result: OK, Solicited: true, Report: r})
		}
	}
	return c.Handle(now, ReportReceived{Solicited: true})
}

// Spread is the sender's part in spreading the load of all, for whoever carries its messages.
// Like the controller it is for one goroutine.
func (c *Controller) Spread() *spread.State { return c.spread }
