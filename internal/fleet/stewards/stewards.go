// Package stewards keeps the stewards of many services in one process: a control machine's part in
// spreading the load of agents that don't talk to one another (package spread decides,
// docs/spread.md). Nothing of it is in any log or on disk; a machine needs no quorum for it, and
// one that starts anew learns all from the next summaries.
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

// Method is the net/rpc method by which an agent tells a steward, with TellArgs and TellReply.
const Method = "Spread.Tell"

// TellArgs is an agent's summary for the steward of its service.
type TellArgs struct {
	Service string
	Summary spread.Summary
}

// TellReply is the steward's view.
type TellReply struct{ View spread.View }

// Bounds of what is kept for agents.
const (
	MaxServices  = 512              // stewards in one process
	MaxSenders   = 4000             // agents heard within heardFor, of all services
	MaxNameBytes = 256              // bytes of a service's name
	MaxServers   = 2000             // in one summary: 1,460 are planned with
	MaxPeriod    = 5 * time.Second  // of an agent, as its operators' file may have it
	senderTTL    = 30 * time.Second // above what a steward keeps a silent sender for at MostPeriod
)

// What a summary is refused for.
var (
	ErrInvalid = errors.New("spread: summary") // with the field at fault
	ErrStale   = errors.New("spread: older than a summary heard before")
	ErrFull    = errors.New("spread: too many services or agents at this machine")
)

// Stewards are those of one process, by service. They are safe for concurrent use.
type Stewards struct {
	name      string
	log       *slog.Logger
	startedAt time.Time

	mu       sync.Mutex
	nextLife int64 // of the next steward: one made again for a service is not to be taken for the former
	services map[string]*service
	senders  map[sender]time.Time // when each was heard last
	prunedAt time.Time
}

type sender struct{ service, name string }

// service is one steward with its lock: services don't wait for one another.
type service struct {
	mu       sync.Mutex
	steward  *spread.Steward
	answered int64 // summaries answered
}

// New keeps none yet. name is the machine's, as agents' files have it; life tells this process
// from earlier ones, later ones having larger lives.
func New(name string, life int64, log *slog.Logger) *Stewards {
	return &Stewards{name: name, nextLife: life, log: log, startedAt: time.Now(), services: map[string]*service{}, senders: map[sender]time.Time{}}
}

// Valid names the first field of a message that no agent would send; nil: there is none.
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

// HandleSummary has the steward of a service hear a summary, and answers with its view. The first summary of
// a service makes its steward. An error wraps ErrSummary, ErrOld or ErrFull.
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

// serviceFor is a service's steward, for a sender that is noted as heard.
func (s *Stewards) serviceFor(name, from string) (*service, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, who := time.Now(), sender{name, from}
	if _, known := s.senders[who]; !known && len(s.senders) >= MaxSenders && !s.prune(now) {
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
		s.log.Info("steward of a service from now on", "service", name)
	}
	s.senders[who] = now
	return v, nil
}

// prune forgets senders that were not heard for heardFor, once a second at most, and tells whether
// there is room then. The lock is held.
func (s *Stewards) prune(now time.Time) bool {
	if now.Sub(s.prunedAt) > time.Second {
		s.prunedAt = now
		for who, at := range s.senders {
			if now.Sub(at) > senderTTL {
				delete(s.senders, who)
			}
		}
	}
	return len(s.senders) < MaxSenders
}

// RemoveIdle forgets the stewards that nobody tells any more, and the senders that are gone. A machine
// calls it every few seconds.
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
			s.log.Info("steward of a service no more", "service", name)
		}
	}
}

// Status words each service's steward in a line, by name; "" where there is none.
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
