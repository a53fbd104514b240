// Package stewards runs the stewards of many services in one process: a control machine's part in spreading
// the load of agents that do not communicate with one another (package spread decides, docs/spread.md). No
// log and no disk is involved, so a machine needs no quorum for it. A machine that restarts learns everything
// from the next summaries.
package stewards

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/spread"
)

// Method is the net/rpc method by which an agent sends a summary to a steward. It takes TellArgs and returns
// TellReply.
const Method = "Spread.Tell"

// TellArgs is an agent's summary for the steward of its service.
type TellArgs struct {
	Service string
	Summary spread.Summary
}

// TellReply is the steward's view, in answer to a summary.
type TellReply struct{ View spread.View }

// Limits on the state kept for agents.
const (
	MaxServices  = 512              // stewards in one process
	MaxSenders   = 4000             // agents of all services that sent a summary within senderTTL
	MaxNameBytes = 256              // bytes of a service's name
	MaxServers   = 2000             // in one summary; installations are planned for up to 1,460
	MaxPeriod    = 5 * time.Second  // of an agent; the largest that its operators' file may set
	senderTTL    = 30 * time.Second // longer than a steward keeps a silent sender at MaxPeriod
)

// Errors for which a summary is refused. Their texts are sent to the agents.
var (
	ErrInvalid = errors.New("spread: summary") // followed by the invalid field
	ErrStale   = errors.New("spread: older than a summary heard before")
	ErrFull    = errors.New("spread: too many services or agents at this machine")
)

// Stewards holds the stewards of one process, by service. It is safe for concurrent use.
type Stewards struct {
	name      string
	log       *slog.Logger
	startedAt time.Time

	mu sync.Mutex
	// nextLife is the life of the next steward. Each gets its own, so that a new steward of a service is not
	// taken for the former one.
	nextLife int64
	services map[string]*service
	senders  map[sender]time.Time // when each sent its latest summary
	prunedAt time.Time
}

// sender is an agent of a service.
type sender struct{ service, name string }

// service is one steward with a lock of its own, so that services do not wait for one another.
type service struct {
	mu       sync.Mutex
	steward  *spread.Steward
	answered int64 // summaries answered
}

// New returns an empty set of stewards. name is the machine's ID, as in the agents' files. life distinguishes
// this process from earlier ones, and must be larger than theirs.
func New(name string, life int64, log *slog.Logger) *Stewards {
	return &Stewards{name: name, nextLife: life, log: log, startedAt: time.Now(), services: map[string]*service{}, senders: map[sender]time.Time{}}
}

// Valid returns an error that names the first invalid field; nil if there is none.
func (a TellArgs) Valid() error {
	if a.Service == "" || len(a.Service) > MaxNameBytes {
		return fmt.Errorf("%w: field service: empty or over %d bytes", ErrInvalid, MaxNameBytes)
	}
	if err := a.Summary.Valid(); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if a.Summary.Period > MaxPeriod {
		return fmt.Errorf("%w: field p: %v, most %v", ErrInvalid, a.Summary.Period, MaxPeriod)
	}
	if len(a.Summary.Counts) > MaxServers {
		return fmt.Errorf("%w: field c: %d servers, most %d", ErrInvalid, len(a.Summary.Counts), MaxServers)
	}
	return nil
}

// HandleSummary passes a summary to the steward of its service, and returns the steward's view. The first
// summary of a service creates its steward. An error wraps ErrInvalid, ErrStale or ErrFull.
func (s *Stewards) HandleSummary(args TellArgs) (TellReply, error) {
	if err := args.Valid(); err != nil {
		return TellReply{}, err
	}
	v, err := s.serviceFor(args.Service, args.Summary.From.Name)
	if err != nil {
		return TellReply{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	view, ok := v.steward.HandleSummary(time.Since(s.startedAt), args.Summary)
	if !ok {
		return TellReply{}, ErrStale
	}
	v.answered++
	return TellReply{view}, nil
}

// serviceFor returns the steward of a service, and records that a sender of it has sent a summary.
func (s *Stewards) serviceFor(name, from string) (*service, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, key := time.Now(), sender{name, from}
	if _, known := s.senders[key]; !known && len(s.senders) >= MaxSenders && !s.prune(now) {
		return nil, ErrFull
	}
	v := s.services[name]
	if v == nil {
		if len(s.services) >= MaxServices {
			return nil, ErrFull
		}
		v = &service{steward: spread.NewRemoteSteward(spread.Config{Name: s.name, Life: s.nextLife})}
		s.nextLife++
		s.services[name] = v
		s.log.Info("spread: steward of a service created", "service", name)
	}
	s.senders[key] = now
	return v, nil
}

// prune removes senders that have sent nothing for senderTTL, at most once a second, and reports whether
// there is room for another. The caller holds the lock.
func (s *Stewards) prune(now time.Time) bool {
	if now.Sub(s.prunedAt) > time.Second {
		s.prunedAt = now
		for key, at := range s.senders {
			if now.Sub(at) > senderTTL {
				delete(s.senders, key)
			}
		}
	}
	return len(s.senders) < MaxSenders
}

// RemoveIdle removes the stewards that receive no summaries any more, and the senders that are gone. A
// machine calls it every few seconds.
func (s *Stewards) RemoveIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(time.Now())
	for name, v := range s.services {
		v.mu.Lock()
		idle := v.steward.Idle(time.Since(s.startedAt))
		v.mu.Unlock()
		if idle {
			delete(s.services, name)
			s.log.Info("spread: idle steward of a service removed", "service", name)
		}
	}
}

// Status returns a line for each service's steward, sorted by name, for the console; "" if there is none.
func (s *Stewards) Status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for name, v := range s.services {
		v.mu.Lock()
		st := v.steward.Status(time.Since(s.startedAt))
		lines = append(lines, fmt.Sprintf("steward of %s: %d of %d agents heard, %.1f calls a second, %.0f%% held back, %d servers, %d cold, rights of %d lent, %d summaries answered\n",
			name, st.Senders, st.Configured, st.Demand, 100*st.Hold, st.Servers, st.Cold, st.Lent, v.answered))
		v.mu.Unlock()
	}
	slices.SortFunc(lines, func(a, b string) int { return cmp.Compare(a, b) })
	return strings.Join(lines, "")
}
