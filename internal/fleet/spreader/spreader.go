// Package spreader carries the messages by which agents spread their load in common (package
// spread decides, docs/spread.md): a summary a period from each agent to the steward, and the
// steward's view back. What is lost is made good by the next. They travel in one of two ways: among
// the agents, of which one is the steward (gossip), or to the control machines, which have the
// stewards of all services (machines).
package spreader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/fleet/members"
	"woodrouter/internal/fleet/stewards"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/yamlfile"
	"woodrouter/policy"
	"woodrouter/spread"
)

// Config is the operators' file.
type Config struct {
	Mode    string          `yaml:"mode"`              // common: agents talk; control: they talk to control machines
	Period  string          `yaml:"period,omitempty"`  // between two summaries; 500ms
	Members *members.Config `yaml:"members,omitempty"` // mode common's

	Service  string            `yaml:"service,omitempty"`  // mode control's: those of one service spread their load together
	Machines []watcher.Machine `yaml:"machines,omitempty"` // mode control's, as in the file of WOODROUTER_ROLLOUT

	Source net.Addr `yaml:"-"` // machines are called from here; nil: the system's choice
}

// The modes of a file.
const (
	modeCommon  = "common"
	modeControl = "control"
)

// LoadConfig reads the file and proves it.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// The bounds of the period: shorter costs more than it tells, longer is older than a queue lasts.
const (
	minPeriod = 100 * time.Millisecond
	maxPeriod = 5 * time.Second
)

// Valid names the fields that can't be used.
func (c Config) Valid() error {
	refused := c.checkOtherModeFields()
	switch c.Mode {
	case modeCommon:
		if c.Members == nil {
			refused = append(refused, errors.New("field members: missing"))
		} else if err := c.Members.Valid(); err != nil {
			refused = append(refused, fmt.Errorf("members: %w", err))
		}
	case modeControl:
		if c.Service == "" || len(c.Service) > stewards.MaxNameBytes {
			refused = append(refused, fmt.Errorf("field service: empty or over %d bytes", stewards.MaxNameBytes))
		}
		refused = append(refused, watcher.CheckMachines(c.Machines)...)
	default:
		refused = append(refused, fmt.Errorf("field mode: %q is neither common nor control; without a file each agent spreads its load alone", c.Mode))
	}
	_, err := c.parsePeriod()
	return errors.Join(append(refused, err)...)
}

// checkOtherModeFields names the fields that are another mode's.
func (c Config) checkOtherModeFields() (refused []error) {
	if c.Mode != modeCommon && c.Members != nil {
		refused = append(refused, errors.New("field members: mode common's alone"))
	}
	if c.Mode != modeControl && c.Service != "" {
		refused = append(refused, errors.New("field service: mode control's alone"))
	}
	if c.Mode != modeControl && c.Machines != nil {
		refused = append(refused, errors.New("field machines: mode control's alone"))
	}
	return refused
}

// FieldsNeedingRestart names the fields that differ in another file and hold from the agent's next start.
func (c Config) FieldsNeedingRestart(next Config) (names []string) {
	for _, f := range []struct {
		name string
		same bool
	}{{"mode", c.Mode == next.Mode}, {"members", reflect.DeepEqual(c.Members, next.Members)},
		{"service", c.Service == next.Service}, {"machines", slices.Equal(c.Machines, next.Machines)}} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// Distributed is an agent's own file with a distributed document's period in its place. The rest is an
// agent's own: a document that names another mode, or any other field, is refused. name is only for messages.
func (c Config) Distributed(name string, text []byte) (Config, error) {
	d, err := yamlfile.Parse[Config](name, text)
	if err != nil {
		return c, err
	}
	var refused []error
	if d.Mode != "" && d.Mode != c.Mode {
		refused = append(refused, fmt.Errorf("field mode: %q, and this agent runs in mode %q until it is started with another file of its own", d.Mode, c.Mode))
	}
	d.Mode = c.Mode
	for _, name := range (Config{Mode: c.Mode}).FieldsNeedingRestart(d) {
		refused = append(refused, fmt.Errorf("field %s: an agent's own, from its own file at its start; leave it out", name))
	}
	c.Period = d.Period
	if err := errors.Join(append(refused, c.Valid())...); err != nil {
		return c, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

func (c Config) parsePeriod() (time.Duration, error) {
	if c.Period == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(c.Period)
	if err != nil || d < minPeriod || d > maxPeriod {
		return 0, fmt.Errorf("field period: %q is no duration from %v to %v", c.Period, minPeriod, maxPeriod)
	}
	return d, nil
}

// SpreadConfig words the file for package spread; life tells this process from earlier ones.
func (c Config) SpreadConfig(name string, life time.Time) spread.Config {
	period, _ := c.parsePeriod() // proved when it was loaded
	out := spread.Config{Name: name, Life: life.UnixNano(), Period: period, Service: c.Service}
	for _, m := range c.Machines {
		out.Stewards = append(out.Stewards, m.ID)
	}
	return out
}

// Core runs something with the module's part on the core's goroutine, and follows views;
// *agent.Agent is one.
type Core interface {
	WithSpread(do func(now policy.Time, s *spread.State))
	ApplyView(v spread.View)
}

// transport is how the messages of spreading travel. Its methods but run may be called at any time.
type transport interface {
	// run does what the way needs until ctx ends, and leaves nothing behind.
	run(ctx context.Context)
	// syncState tells the state, on the core's goroutine, what the way knows of the others, and takes
	// from it what the way needs; the rest of that is done by the function returned, elsewhere.
	syncState(now policy.Time, st *spread.State) func()
	// sendSummary sends a summary to a steward. The view that answers it goes to the spreader's follow.
	sendSummary(to string, sum spread.Summary)
	setPeriod(d time.Duration)
	describe() (by, counts string)
	traffic() Traffic
}

// Spreader is an agent's part.
type Spreader struct {
	cfg       spread.Config // its period is the one at the start
	service   string
	source    net.Addr
	period    atomic.Int64  // between two summaries now
	changed   chan struct{} // it was replaced
	core      Core
	transport transport
	log       *slog.Logger
	startedAt time.Time

	mu     sync.Mutex
	status status
}

// status are what operators see.
type status struct {
	steward        string // whom the latest summary is for
	follows        bool
	view           spread.View
	viewAt         time.Time
	sent, received int64
}

// Open takes part in the membership or, in mode control, in nothing yet: machines are called by Run.
func Open(file Config, cfg spread.Config, core Core, log *slog.Logger) (*Spreader, error) {
	s := &Spreader{cfg: cfg, service: file.Service, source: file.Source, changed: make(chan struct{}, 1), core: core, log: log, startedAt: time.Now()}
	s.period.Store(int64(cmp.Or(cfg.Period, spread.DefaultPeriod)))
	if file.Mode == modeControl {
		s.transport = newControlTransport(s, file)
		return s, nil
	}
	g, err := newGossipTransport(s, file)
	if err != nil {
		return nil, err
	}
	s.transport = g
	return s, nil
}

// Run sends a summary each period until ctx ends, then leaves the others.
func (s *Spreader) Run(ctx context.Context) {
	var carrying sync.WaitGroup
	defer carrying.Wait()
	carrying.Go(func() { s.transport.run(ctx) })
	tick := time.NewTicker(time.Duration(s.period.Load()))
	defer tick.Stop()
	for {
		s.startSummary()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.changed:
			tick.Reset(time.Duration(s.period.Load()))
		}
	}
}

// Reconfigure has the spreader go on by another file's period. The rest of it holds from the agent's
// next start. A file that can't be used changes nothing.
func (s *Spreader) Reconfigure(file Config) error {
	period, err := file.parsePeriod()
	if err != nil {
		return err
	}
	period = cmp.Or(period, spread.DefaultPeriod)
	s.period.Store(int64(period))
	s.core.WithSpread(func(_ policy.Time, st *spread.State) { st.SetPeriod(period) })
	s.transport.setPeriod(period)
	select {
	case s.changed <- struct{}{}:
	default: // Run is to look anyway
	}
	return nil
}

// startSummary has the core word this agent's summary, for the steward that its state names.
func (s *Spreader) startSummary() {
	s.core.WithSpread(func(now policy.Time, st *spread.State) {
		looked := s.transport.syncState(now, st)
		st.ExpireView(now)
		to := st.CurrentSteward(now)
		sum, follows := st.BuildSummary(now, to), st.FollowsView(now)
		go s.finishSummary(to, sum, follows, looked) // the core does not wait for the network
	})
}

func (s *Spreader) finishSummary(to string, sum spread.Summary, follows bool, looked func()) {
	looked()
	s.mu.Lock()
	if s.status.steward != to || s.status.follows != follows {
		s.log.Info("spreading load", "in_common", follows, "steward", to)
	}
	s.status.steward, s.status.follows = to, follows
	s.status.sent++
	s.mu.Unlock()
	s.transport.sendSummary(to, sum)
}

func (s *Spreader) applyView(v spread.View) {
	s.mu.Lock()
	s.status.view, s.status.viewAt = v, time.Now()
	s.status.received++
	s.mu.Unlock()
	s.core.ApplyView(v)
}

// Status words the state for the console.
func (s *Spreader) Status() string {
	by, counts := s.transport.describe()
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	v := s.status.view
	fmt.Fprintf(&b, "in common %v, by %s, steward %s, view %v old, %d agents heard, %.1f calls a second, %.0f%% held back; %d summaries sent, %d views heard, %s\n",
		s.status.follows, by, cmp.Or(s.status.steward, "nobody"), time.Since(s.status.viewAt).Round(time.Millisecond), v.Senders, v.Demand, 100*v.Hold,
		s.status.sent, s.status.received, counts)
	slices.SortFunc(v.Dues, func(a, b spread.Due) int { return cmp.Compare(a.Server, b.Server) })
	for _, d := range v.Dues {
		fmt.Fprintf(&b, "server %s: share %.2f of %.1f a second, %.0f unanswered, idle %v\n", d.Server, d.Share, d.Rate, math.Round(d.Out), d.Idle.Round(time.Millisecond))
	}
	return b.String()
}

// Traffic is what this agent has sent and heard for spreading since its start.
type Traffic struct {
	Sent       int64 // datagrams of the membership, or summaries to control machines
	Bytes      int64 // that it sent,
	Received   int64 // and, in mode control, that it received
	Unanswered int64 // mode control: summaries without a view in answer
	Bad        int64 // messages, or answers, that can't be used
}

// Traffic is what has been sent and heard so far.
func (s *Spreader) Traffic() Traffic { return s.transport.traffic() }
