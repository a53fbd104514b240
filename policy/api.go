package policy

import (
	"cmp"
	"time"

	"woodrouter/spread"
)

// Time is a reading of the gateway's monotonic clock, counted from an origin that the host chooses.
type Time = time.Duration

// Settings configure the controller of one gateway. They do not change while it runs.
type Settings struct {
	Rank               int // index of this sender among all senders, from 0
	Senders            int // number of senders
	Classes            []Class
	Tenants            []Tenant       // empty where calls belong to no tenant
	Reports            ReportDelivery // how servers report their load
	Limits             Limits
	Rules              Rules
	OverAllowanceWorth float64       // worth of a call beyond its tenant's allowance, as a share of its class's
	RepeatInterval     time.Duration // an unanswered set-up is repeated after this time; 0: never
	BatchInterval      time.Duration // shortest time between two batches of events
	RedialsMarked      bool          // callers mark redialled calls
	FullStatesWait     bool          // a full server states how long it wants no set-ups
	Spread             spread.Config // spreading of load among senders, with this sender's name and life
}

// allowance returns the planned load of all servers together in calls a second: the sum of the
// tenants' allowances, or 1 where no tenant has one.
func (s Settings) allowance() (sum float64) {
	for _, t := range s.Tenants {
		sum += max(t.Allowance, 0)
	}
	return cmp.Or(sum, 1)
}

// Class is a class of calls.
type Class struct {
	Name         string
	Aim          time.Duration // a call that stands within this time earns its full worth
	Deadline     time.Duration // time after which the caller gives up, over all its tries
	Hold         time.Duration // mean length of a call
	Worth        float64
	LateShare    float64 // share of the worth that a call earns when it stands after the aim
	Pools        []int   // pool numbers of the servers that may take its calls; nil: any
	LinesPerCall int     // 0: not known
}

// Tenant is a customer with an allowance, in calls a second over all senders.
type Tenant struct {
	Name      string
	Allowance float64
}

// Limits are the bounds that a deployment sets on what the controller does.
type Limits struct {
	MaxAttempts   int           // of one call
	MaxRetryAfter time.Duration // longest retry-after time that callers respect; 0: they respect none
	AllowProbes   bool          // whether servers may be probed
	AllowCancel   bool          // whether an attempt may be cancelled
}

// Rules are the figures of the rules that hold in every deployment.
type Rules struct {
	RetryDelay   time.Duration // shortest time between a given-up, cut or cancelled attempt and the next one
	WarmUp       time.Duration // a server is warm this long after its start
	LoadWindow   time.Duration // time over which the load of a cold server is summed
	ColdShare    float64       // share of its capacity that a server has at its start
	CollapseLoad float64       // load above this multiple of its present capacity makes a cold server collapse
}

// ReportDelivery is the way in which load reports reach the sender.
type ReportDelivery int

// The ways in which load reports reach the sender.
const (
	NoReports ReportDelivery = iota
	WithAnswers
	WhenProbed
)

// NotReported is the value of a figure that a report does not contain.
const NotReported = -1

// Report is a server's report of its load. A figure that is NotReported, negative, infinite or NaN
// counts as absent.
type Report struct {
	FreeLines, TotalLines float64 // lines that are free now, and all lines
	Utilisation           float64 // busy share of the processor's time
	QueueLength           float64 // set-ups that wait for the processor
	AcceptRate            float64 // new set-ups a second that the server accepts from all senders together
	RefuseShare           float64 // share of new calls that the server asks senders to refuse
	WaitSeconds           float64 // time that a message waits for the processor
}

// EmptyReport returns a report without figures.
func EmptyReport() Report {
	return Report{NotReported, NotReported, NotReported, NotReported, NotReported, NotReported, NotReported}
}

// State is the state of a server in the server list.
type State int

// The states of a listed server.
const (
	Up State = iota
	Draining
	Gone
)

// Server is an entry of the server list.
type Server struct {
	ID      string
	Pool    int // number by which calls and classes refer to it
	State   State
	ReadyAt Time // when it last started; 0: long ago
}

// Result is the result of an attempt or a probe.
type Result int

// The results of attempts and probes. Full, Unreachable and NotSent prove that the server did no work.
const (
	OK Result = iota
	Faulted
	Full
	TimedOut
	Unreachable
	Cut
	Cancelled
	NotSent
	NoLines // the server has no free line, although its processor may be idle
	Busy    // all lines of the called number are busy; the server did its work
)

// Event is an input of the controller.
type Event interface{ event() }

// Arrival is a new call at this gateway.
type Arrival struct {
	ID       string
	Class    string
	Tenant   string
	TimeLeft time.Duration // until the caller gives up this try
	Pool     int           // number of the server of first choice
	Number   string        // called number; "": not known
	Redial   bool          // the caller dials this call again
	// Limits of the call's route (package routes). They can only narrow the settings:
	// MaxAttempts counts attempts (0: as in the settings), RetryDelay is the shortest time between a
	// given-up attempt and the next (raised to that of the rules), and Pools are the pools that the
	// call may use among those of its class (nil: all of them).
	MaxAttempts int
	RetryDelay  time.Duration
	Pools       []int
}

// Standing reports that a set-up was answered and the call stands.
type Standing struct {
	ID      string
	Attempt int
	Server  string
	Delay   time.Duration
}

// Ended reports the end of an attempt, or of the call that stood on it.
type Ended struct {
	ID       string
	Attempt  int
	Server   string
	Result   Result
	Delay    time.Duration
	Complete bool          // the caller has its final answer
	Wait     time.Duration // time for which a full server wants no set-ups; 0: not stated
	Report   Report
}

// Departed reports that the caller has left.
type Departed struct{ ID string }

// ServerList is an update of the server list. It holds all entries if Whole is set, else only
// the changed ones.
type ServerList struct {
	Whole   bool
	Servers []Server
}

// ReportReceived is a report that did not come with an answer to a set-up. Solicited is set
// if it answers a probe.
type ReportReceived struct {
	Server    string
	Result    Result
	Delay     time.Duration
	Solicited bool
	Report    Report
}

// Tick is the expiry of a timer that Wake requested.
type Tick struct{}

func (Arrival) event()        {}
func (Standing) event()       {}
func (Ended) event()          {}
func (Departed) event()       {}
func (ServerList) event()     {}
func (ReportReceived) event() {}
func (Tick) event()           {}

// Action is an output of the controller. The gateway carries out actions in the order given.
type Action interface{ action() }

// Send starts the next attempt of a call, which is given up at Deadline.
type Send struct {
	ID       string
	Server   string
	Deadline Time
}

// Cancel cancels an attempt. The gateway still reports its end.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse refuses a call for good and tells the caller when to try again.
type Refuse struct {
	ID         string
	RetryAfter time.Duration
}

// Fail ends a call that could not be set up before its deadline.
type Fail struct{ ID string }

// Probe asks a server for a report.
type Probe struct{ Server string }

// Wake requests a Tick after the given time.
type Wake struct{ After time.Duration }

// Log is a message for the operators' log.
type Log struct{ Text string }

func (Send) action()   {}
func (Cancel) action() {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Probe) action()  {}
func (Wake) action()   {}
func (Log) action()    {}

// ApplyView takes over a steward's view of all servers: the shares by which this sender orders
// them, and the rates that all senders measured, which are more reliable than this sender's few
// reports. It reads the whole view before it decides anything.
func (c *Controller) ApplyView(now Time, v spread.View) []Action {
	if !c.spread.HandleView(now, v) {
		return nil
	}
	c.Handle(now, ReportReceived{}) // names no server: it only advances the clock
	for _, d := range v.Dues {
		if d.Rate > 0 {
			r := EmptyReport()
			r.AcceptRate, r.RefuseShare = d.Rate, v.Hold
			c.handleReport(ReportReceived{Server: d.Server, Result: OK, Solicited: true, Report: r})
		}
	}
	return c.Handle(now, ReportReceived{Solicited: true})
}

// Spread returns the sender's state for spreading load among senders, for the code that carries its
// messages. Like the controller it must be used by one goroutine only.
func (c *Controller) Spread() *spread.State { return c.spread }
