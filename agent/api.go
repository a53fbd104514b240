// Package agent is the core of a call agent. It passes events to the decision module (package policy) and
// carries out the module's decisions. It knows no wire protocol: callers reach it through a Front, setup
// servers through a Backend.
package agent

import (
	"context"
	"fmt"
	"time"

	"woodrouter/policy"
)

// Call is a call as a front passes it to the agent.
type Call struct {
	ID          string // 16 hex digits; the setup server gets the same id
	Class       string
	Tenant      string
	Number      string
	Pool        int  // number of the setup server of first choice; -1: none
	Width       int  // lines that the call occupies; 0: not stated
	Redialled   bool // the caller dials again after an earlier try
	Deadline    time.Time
	Description []byte
	Ref         any // for the front's use; the agent returns it unchanged
	// CallerContext ends as soon as the front notices that the caller has left, before the core processes the
	// withdrawal. Nothing more is sent for the call from then on. nil: the front has no such context.
	CallerContext context.Context
}

// Front is the callers' side. The core calls it from its own goroutine, so its methods must not block. For
// each call that it offered, the front gets exactly one of Answered, Refused, Failed and Rejected, unless it
// withdrew the call first. After Answered it gets at most one Ended.
type Front interface {
	// Answered reports that the call stands, with the setup server's description.
	Answered(c Call, description []byte)
	// Refused reports that the call was refused and that the caller may safely try again after retryAfter.
	Refused(c Call, retryAfter time.Duration)
	// Failed reports that the call could not be set up; err says how far it got.
	Failed(c Call, err error)
	// Rejected reports that the call was not accepted: err is ErrDuplicate, ErrUnknownClass or
	// ErrUnusableCall.
	Rejected(c Call, err error)
	// Ended reports the end of a call that stood; err is nil if the call ended normally.
	Ended(c Call, err error)
}

// Attempt is one set-up at one setup server.
type Attempt struct {
	ID          string
	Index       int // attempts of a call are counted from 0
	Server      string
	Class       string
	Number      string
	Deadline    time.Time
	Description []byte
	// Context ends as soon as the attempt is given up or its caller has left, even while that event is still
	// queued elsewhere. A backend checks it immediately before sending. nil: the attempt is always wanted.
	Context context.Context
}

// CancelCause returns why the attempt must not be sent any more; nil if it may be sent.
func (a Attempt) CancelCause() error {
	if a.Context == nil {
		return nil
	}
	return context.Cause(a.Context)
}

// Backend is the setup servers' side. The core calls it from its own goroutine, so its methods must not
// block. Each SetUp is followed by exactly one Agent.Ended, with at most one Agent.Stands before it.
type Backend interface {
	// Servers updates the server list. whole: servers that are not in the list are gone.
	Servers(list []Server, whole bool)
	SetUp(a Attempt)
	// GiveUp ends an attempt, or the call that stands on it. Agent.Ended follows with the result why once the
	// message is written, unless the attempt ended otherwise first.
	GiveUp(server, id string, n int, why policy.Result)
	// ReleaseUnknown ends a call that stands at one of the servers when it is not known at which.
	ReleaseUnknown(id string)
	Probe(server string)
}

// Server is an entry of the server list. A server is identified by its ID, as addresses are reused.
type Server struct {
	policy.Server
	Address string
	Zone    string // zone of the server; "": not in the list
}

// Stage is how far an attempt had got when it ended.
type Stage int

// The stages. Unwritten and Unconnected prove that the setup server did not start the call.
const (
	Unwritten   Stage = iota // not a byte of the set-up was sent
	Unconnected              // the connection was refused or not established
	Written                  // the set-up was sent, wholly or in part, and may have been carried out
	Responded                // the server itself reported the outcome
	Stood                    // the call stood and was cut
)

func (s Stage) String() string {
	return [...]string{"unwritten", "unconnected", "written", "spoken", "stood"}[s]
}

// Failure is the error of an attempt, or of a call that was cut.
type Failure struct {
	Stage  Stage
	Result policy.Result
	Server string
	Wait   time.Duration // wait at the processor, as stated by a full server
	Err    error
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%v at %s: %v", f.Stage, f.Server, f.Err)
}

func (f *Failure) Unwrap() error { return f.Err }
