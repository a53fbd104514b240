// Package agent is the core of a call agent: it hands what happens to the decision
// module and carries out what the module decides. It knows no wire. Callers reach it
// through a Front, setup servers through a Backend.
package agent

import (
	"context"
	"fmt"
	"time"

	"woodrouter/policy"
)

// Call is a call as a front hands it in.
type Call struct {
	ID          string // 16 hex digits, the same at the setup server
	Class       string
	Tenant      string
	Number      string
	Pool        int  // setup server of first choice, by its number; -1: none
	Width       int  // lines it takes; 0: not stated
	Redialled   bool // dialled again
	Deadline    time.Time
	Description []byte
	Ref         any // the front's own; the core returns it untouched
	// CallerContext ends the moment the front sees its caller leave, before word of it reaches the
	// core: nothing more is sent for the call from then on. nil: the front has none.
	CallerContext context.Context
}

// Front is the callers' side. The core calls it from its own goroutine, so no method
// may wait. For each call offered it gets exactly one of Answered, Refused, Failed and
// Rejected, unless the front withdrew the call first; after Answered at most one Ended.
type Front interface {
	// Answered tells that the call stands, with the setup server's description.
	Answered(c Call, description []byte)
	// Refused tells that trying again is harmless, after stayAway.
	Refused(c Call, retryAfter time.Duration)
	// Failed tells that the call could not be set up; err tells how far it came.
	Failed(c Call, err error)
	// Rejected tells that the call was not taken: err is ErrDuplicate, ErrClass
	// or ErrCall.
	Rejected(c Call, err error)
	// Ended tells that a call that stood is over; err is nil where it came to its end.
	Ended(c Call, err error)
}

// Attempt is one set-up at one setup server.
type Attempt struct {
	ID          string
	Index       int // attempts of a call are numbered from 0
	Server      string
	Class       string
	Number      string
	Deadline    time.Time
	Description []byte
	// Context ends once the attempt is given up or its caller has left, whatever still waits in
	// the way of that news. A backend looks at it last of all before it sends; nil: always wanted.
	Context context.Context
}

// CancelCause tells why the attempt must not be sent any more; nil: it may.
func (a Attempt) CancelCause() error {
	if a.Context == nil {
		return nil
	}
	return context.Cause(a.Context)
}

// Backend is the setup servers' side. The core calls it from its own goroutine, so no
// method may wait. Each SetUp is followed by exactly one Core.Ended, and by at most
// one Core.Stands before it.
type Backend interface {
	// Servers brings news of the list; whole: servers not named are gone.
	Servers(list []Server, whole bool)
	SetUp(a Attempt)
	// GiveUp ends an attempt, or the call that stands on it: Ended follows with why,
	// once the give-up is written, unless another end came first.
	GiveUp(server, id string, n int, why policy.Result)
	// ReleaseUnknown ends a call that stands at one of the servers, nobody knows which.
	ReleaseUnknown(id string)
	Probe(server string)
}

// Server is an entry of the server list. Its name is what it is; addresses are reused.
type Server struct {
	policy.Server
	Address string
	Zone    string // where it stands; "": the list does not say
}

// Stage tells how far an attempt had come when it ended.
type Stage int

// The stages. Up to Unconnected the attempt proves that nothing ran.
const (
	Unwritten   Stage = iota // not a byte of it left
	Unconnected              // the server refused the connection, or it never came up
	Written                  // the set-up left, whole or in part: it may have run
	Responded                // the server itself said how it ended
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
	Wait   time.Duration // stated by a full server
	Err    error
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%v at %s: %v", f.Stage, f.Server, f.Err)
}

func (f *Failure) Unwrap() error { return f.Err }
