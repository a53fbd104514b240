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
	leastPeriod = 100 * time.Millisecond
	mostPeriod  = 5 * time.Second
)

// Valid names the fields that can't be used.
func (c Config) Valid() error {
	refused := c.strange()
	switch c.Mode {
	case modeCommon:
		if c.Members == nil {
			refused = append(refused, errors.New("field members: missing"))
		} else if err := c.Members.Valid(); err != nil {
			refused = append(refused, fmt.Errorf("members: %w", err))
		}
	case modeControl:
		if c.Service == "" || len(c.Service) > stewards.MostName {
			refused = append(refused, fmt.Errorf("field service: empty or over %d bytes", stewards.MostName))
		}
		refused = append(refused, watcher.ProveMachines(c.Machines)...)
	default:
		refused = append(refused, fmt.Errorf("field mode: %q is neither common nor control; without a file each agent spreads its load alone", c.Mode))
	}
	_, err := c.period()
	return errors.Join(append(refused, err)...)
}

// strange names the fields that are another mode's.
func (c Config) strange() (refused []error) {
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

// Fixed names the fields that differ in another file and hold from the agent's next start.
func (c Config) Fixed(next Config) (names []string) {
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
	for _, name := range (Config{Mode: c.Mode}).Fixed(d) {
		refused = append(refused, fmt.Errorf("field %s: an agent's own, from its own file at its start; leave it out", name))
	}
	c.Period = d.Period
	if err := errors.Join(append(refused, c.Valid())...); err != nil {
		return c, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

func (c Config) period() (time.Duration, error) {
	if c.Period == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(c.Period)
	if err != nil || d < leastPeriod || d > mostPeriod {
		return 0, fmt.Errorf("field period: %q is no duration from %v to %v", c.Period, leastPeriod, mostPeriod)
	}
	return d, nil
}

// Spread words the file for package spread; life tells this process from earlier ones.
func (c Config) Spread(name string, life time.Time) spread.Config {
	period, _ := c.period() // proved when it was loaded
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

// way is how the messages of spreading travel. Its methods but run may be called at any time.
type way interface {
	// run does what the way needs until ctx ends, and leaves nothing behind.
	run(ctx context.Context)
	// look tells the state, on the core's goroutine, what the way knows of the others, and takes
	// from it what the way needs; the rest of that is done by the function returned, elsewhere.
	look(now policy.Time, st *spread.State) func()
	// tell sends a summary to a steward. The view that answers it goes to the spreader's follow.
	tell(to string, sum spread.Summary)
	setPeriod(d time.Duration)
	say() (by, counts string)
	traffic() Traffic
}

// Spreader is an agent's part.
type Spreader struct {
	cfg     spread.Config // its period is the one at the start
	service string
	source  net.Addr
	period  atomic.Int64  // between two summaries now
	changed chan struct{} // it was replaced
	core    Core
	way     way
	log     *slog.Logger
	began   time.Time

	mu   sync.Mutex
	said sayings
}

// sayings are what operators see.
type sayings struct {
	steward     string // whom the latest summary is for
	follows     bool
	view        spread.View
	viewAt      time.Time
	sent, heard int64
}

// Open takes part in the membership or, in mode control, in nothing yet: machines are called by Run.
func Open(file Config, cfg spread.Config, core Core, log *slog.Logger) (*Spreader, error) {
	s := &Spreader{cfg: cfg, service: file.Service, source: file.Source, changed: make(chan struct{}, 1), core: core, log: log, began: time.Now()}
	s.period.Store(int64(cmp.Or(cfg.Period, spread.DefaultPeriod)))
	if file.Mode == modeControl {
		s.way = openMachines(s, file)
		return s, nil
	}
	g, err := openGossip(s, file)
	if err != nil {
		return nil, err
	}
	s.way = g
	return s, nil
}

// Run sends a summary each period until ctx ends, then leaves the others.
func (s *Spreader) Run(ctx context.Context) {
	var carrying sync.WaitGroup
	defer carrying.Wait()
	carrying.Go(func() { s.way.run(ctx) })
	tick := time.NewTicker(time.Duration(s.period.Load()))
	defer tick.Stop()
	for {
		s.tell()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.changed:
			tick.Reset(time.Duration(s.period.Load()))
		}
	}
}

// Change has the spreader go on by another file's period. The rest of it holds from the agent's
// next start. A file that can't be used changes nothing.
func (s *Spreader) Change(file Config) error {
	period, err := file.period()
	if err != nil {
		return err
	}
	period = cmp.Or(period, spread.DefaultPeriod)
	s.period.Store(int64(period))
	s.core.WithSpread(func(_ policy.Time, st *spread.State) { st.SetPeriod(period) })
	s.way.setPeriod(period)
	select {
	case s.changed <- struct{}{}:
	default: // Run is to look anyway
	}
	return nil
}

// tell has the core word this agent's summary, for the steward that its state names.
func (s *Spreader) tell() {
	s.core.WithSpread(func(now policy.Time, st *spread.State) {
		looked := s.way.look(now, st)
		st.ExpireView(now)
		to := st.CurrentSteward(now)
		sum, follows := st.BuildSummary(now, to), st.FollowsView(now)
		go s.send(to, sum, follows, looked) // the core does not wait for the network
	})
}

func (s *Spreader) send(to string, sum spread.Summary, follows bool, looked func()) {
	looked()
	s.mu.Lock()
	if s.said.steward != to || s.said.follows != follows {
		s.log.Info("spreading load", "in_common", follows, "steward", to)
	}
	s.said.steward, s.said.follows = to, follows
	s.said.sent++
	s.mu.Unlock()
	s.way.tell(to, sum)
}

func (s *Spreader) follow(v spread.View) {
	s.mu.Lock()
	s.said.view, s.said.viewAt = v, time.Now()
	s.said.heard++
	s.mu.Unlock()
	s.core.ApplyView(v)
}

// Say words the state for the console.
func (s *Spreader) Say() string {
	by, counts := s.way.say()
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	v := s.said.view
	fmt.Fprintf(&b, "in common %v, by %s, steward %s, view %v old, %d agents heard, %.1f calls a second, %.0f%% held back; %d summaries sent, %d views heard, %s\n",
		s.said.follows, by, cmp.Or(s.said.steward, "nobody"), time.Since(s.said.viewAt).Round(time.Millisecond), v.Senders, v.Demand, 100*v.Hold,
		s.said.sent, s.said.heard, counts)
	slices.SortFunc(v.Dues, func(a, b spread.Due) int { return cmp.Compare(a.Server, b.Server) })
	for _, d := range v.Dues {
		fmt.Fprintf(&b, "server %s: share %.2f of %.1f a second, %.0f unanswered, idle %v\n", d.Server, d.Share, d.Rate, math.Round(d.Out), d.Idle.Round(time.Millisecond))
	}
	return b.String()
}

// Traffic is what this agent has sent and heard for spreading since its start.
type Traffic struct {
	Sent     int64 // datagrams of the membership, or summaries to control machines
	Bytes    int64 // that it sent,
	Received int64 // and, in mode control, that it received
	Unheard  int64 // mode control: summaries without a view in answer
	Bad      int64 // messages, or answers, that can't be used
}

// Traffic is what has been sent and heard so far.
func (s *Spreader) Traffic() Traffic { return s.way.traffic() }
