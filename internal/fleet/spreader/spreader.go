// Package spreader carries the messages by which agents spread their load in common (package spread decides,
// docs/spread.md): each period a summary from each agent to the steward, and the steward's view in answer. A
// lost message is not repeated: the next one replaces it. There are two transports: among the agents, one of
// which is the steward (gossipTransport), and to the control machines, which run the stewards of all services
// (controlTransport).
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

// Config is the operators' file for spreading load.
type Config struct {
	// Mode is "common" (the agents exchange messages with one another) or "control" (each agent exchanges them
	// with control machines).
	Mode    string          `yaml:"mode"`
	Period  string          `yaml:"period,omitempty"`  // between two summaries; "": 500ms
	Members *members.Config `yaml:"members,omitempty"` // for mode common

	// Service and Machines are for mode control. The agents of one service spread their load together; the
	// machines are the same as in the file of WOODROUTER_ROLLOUT.
	Service  string            `yaml:"service,omitempty"`
	Machines []watcher.Machine `yaml:"machines,omitempty"`

	Source net.Addr `yaml:"-"` // local address of connections to machines; nil: chosen by the system
}

// The modes of Config.
const (
	modeCommon  = "common"
	modeControl = "control"
)

// LoadConfig reads and validates the file.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// The bounds of the period. With a shorter one the messages cost more than they are worth; with a longer one
// a view is older than a queue lasts.
const (
	minPeriod = 100 * time.Millisecond
	maxPeriod = 5 * time.Second
)

// Valid returns an error that names every invalid field.
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

// checkOtherModeFields returns an error for each field that belongs to another mode.
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

// FieldsNeedingRestart returns the names of the fields that differ in another file and take effect only at
// the agent's next start.
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

// Distributed returns the agent's own file with the period of a distributed document. It refuses a document
// with another mode or any other field: these come from the agent's own file. name is used in error messages
// only.
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

// parsePeriod returns the period; 0 if the file has none.
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

// SpreadConfig converts the file for package spread. life distinguishes this process from earlier ones.
func (c Config) SpreadConfig(name string, life time.Time) spread.Config {
	period, _ := c.parsePeriod() // validated when the file was loaded
	out := spread.Config{Name: name, Life: life.UnixNano(), Period: period, Service: c.Service}
	for _, m := range c.Machines {
		out.Stewards = append(out.Stewards, m.ID)
	}
	return out
}

// Core calls a function with the spreading state on the core's goroutine, and applies views; *agent.Agent
// implements it.
type Core interface {
	WithSpread(do func(now policy.Time, s *spread.State))
	ApplyView(v spread.View)
}

// transport carries the messages. Its methods other than run may be called at any time.
type transport interface {
	// run does the background work of the transport until ctx ends, and then closes it.
	run(ctx context.Context)
	// syncState is called on the core's goroutine. It passes to the state what the transport knows of the
	// other agents, and takes from it what the transport needs. The returned function does the rest of the
	// work, on another goroutine.
	syncState(now policy.Time, st *spread.State) func()
	// sendSummary sends a summary to a steward. The view in answer is passed to Spreader.applyView.
	sendSummary(to string, sum spread.Summary)
	// setPeriod changes the time between two summaries.
	setPeriod(d time.Duration)
	// describe returns the transport and its counters in words, for the console.
	describe() (by, counts string)
	// traffic returns what has been sent and received so far.
	traffic() Traffic
}

// Spreader is an agent's part in spreading the load.
type Spreader struct {
	cfg       spread.Config // its Period is the one at the start
	service   string
	source    net.Addr
	period    atomic.Int64  // current time between two summaries, ns
	changed   chan struct{} // holds one item after period was replaced
	core      Core
	transport transport
	log       *slog.Logger
	startedAt time.Time

	mu     sync.Mutex
	status status
}

// status is what the console shows.
type status struct {
	steward        string // to which the latest summary was sent
	follows        bool
	view           spread.View
	viewAt         time.Time
	sent, received int64
}

// Open opens the membership in mode common. In mode control it connects to nothing: Run does.
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

// Run sends a summary each period until ctx ends, and then closes the transport.
func (s *Spreader) Run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { s.transport.run(ctx) })
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

// Reconfigure replaces the period with that of another file. Its other fields take effect at the agent's next
// start. An invalid file changes nothing.
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
	default: // Run has been notified already
	}
	return nil
}

// startSummary lets the core build this agent's summary for the steward that its state names.
func (s *Spreader) startSummary() {
	s.core.WithSpread(func(now policy.Time, st *spread.State) {
		syncTransport := s.transport.syncState(now, st)
		st.ExpireView(now)
		to := st.CurrentSteward(now)
		sum, follows := st.BuildSummary(now, to), st.FollowsView(now)
		go s.finishSummary(to, sum, follows, syncTransport) // the core does not wait for the network
	})
}

// finishSummary does the rest of the transport's syncState, and sends the summary.
func (s *Spreader) finishSummary(to string, sum spread.Summary, follows bool, syncTransport func()) {
	syncTransport()
	s.mu.Lock()
	if s.status.steward != to || s.status.follows != follows {
		s.log.Info("spreading load", "in_common", follows, "steward", to)
	}
	s.status.steward, s.status.follows = to, follows
	s.status.sent++
	s.mu.Unlock()
	s.transport.sendSummary(to, sum)
}

// applyView passes a view to the core.
func (s *Spreader) applyView(v spread.View) {
	s.mu.Lock()
	s.status.view, s.status.viewAt = v, time.Now()
	s.status.received++
	s.mu.Unlock()
	s.core.ApplyView(v)
}

// Status returns the state in words, for the console.
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

// Traffic is what an agent has sent and received for spreading since its start.
type Traffic struct {
	Sent       int64 // datagrams of the membership, or summaries to control machines
	Bytes      int64 // sent
	Received   int64 // bytes received; mode control only
	Unanswered int64 // summaries without a valid view in answer; mode control only
	Bad        int64 // invalid messages or answers
}

// Traffic returns what has been sent and received so far.
func (s *Spreader) Traffic() Traffic { return s.transport.traffic() }
