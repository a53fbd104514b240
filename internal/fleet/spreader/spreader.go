// Package spreader carries the messages by which agents spread their load in common (package
// spread decides, docs/spread.md): a summary a period from each agent to the steward, and the
// steward's view back, each in one datagram of the membership. What is lost is made good by the
// next. Every agent can be the steward, and answers whoever takes it for one.
package spreader

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/fleet/members"
	"woodrouter/internal/yamlfile"
	"woodrouter/policy"
	"woodrouter/spread"
)

// Config is the operators' file.
type Config struct {
	Mode    string          `yaml:"mode"`             // common: agents talk
	Period  string          `yaml:"period,omitempty"` // between two summaries; 500ms
	Members *members.Config `yaml:"members"`
}

// LoadConfig reads the file and proves it.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// The bounds of the period: shorter costs more than it tells, longer is older than a queue lasts.
const (
	leastPeriod = 100 * time.Millisecond
	mostPeriod  = 5 * time.Second
)

// Valid names the fields that can't be used.
func (c Config) Valid() error {
	var refused []error
	if c.Mode != "common" {
		refused = append(refused, fmt.Errorf("field mode: %q is not common; without a file each agent spreads its load alone", c.Mode))
	}
	if c.Members == nil {
		refused = append(refused, errors.New("field members: missing"))
	} else if err := c.Members.Valid(); err != nil {
		refused = append(refused, fmt.Errorf("members: %w", err))
	}
	_, err := c.period()
	return errors.Join(append(refused, err)...)
}

// Distributed is an agent's own file with a distributed document's period in its place. Mode and
// members are an agent's own: a document that names others is refused. name is only for messages.
func (c Config) Distributed(name string, text []byte) (Config, error) {
	d, err := yamlfile.Parse[Config](name, text)
	if err != nil {
		return c, err
	}
	var refused []error
	if d.Mode != "" && d.Mode != c.Mode {
		refused = append(refused, fmt.Errorf("field mode: %q, and this agent runs in mode %q until it is started with another file of its own", d.Mode, c.Mode))
	}
	if d.Members != nil {
		refused = append(refused, errors.New("field members: an agent's own, from its own file at its start; leave it out"))
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
	return spread.Config{Name: name, Life: life.UnixNano(), Period: period}
}

// Core runs something with the module's part on the core's goroutine, and follows views;
// *agent.Agent is one.
type Core interface {
	Spread(do func(now policy.Time, s *spread.State))
	Follow(v spread.View)
}

// Spreader is an agent's part. Its lock is held for the steward's work on one message alone, and
// no other is taken meanwhile.
type Spreader struct {
	cfg     spread.Config // its period is the one at the start
	period  atomic.Int64  // between two summaries now
	changed chan struct{} // it was replaced
	core    Core
	list    *members.Members
	log     *slog.Logger
	began   time.Time

	mu      sync.Mutex
	steward *spread.Steward
	said    sayings
}

// sayings are what operators see.
type sayings struct {
	steward          string // whom the latest summary went to
	follows          bool
	view             spread.View
	viewAt           time.Time
	sent, heard, bad int64
	answered         int64
}

// Open takes part in the membership.
func Open(file Config, cfg spread.Config, core Core, log *slog.Logger) (*Spreader, error) {
	membership := *file.Members
	membership.Compress = true // a summary or a view is long, and mostly the same words
	list, err := members.Open(membership, members.Member{Name: cfg.Name}, log)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	s := &Spreader{cfg: cfg, changed: make(chan struct{}, 1), core: core, list: list, log: log, began: time.Now(), steward: spread.NewSteward(cfg)}
	s.period.Store(int64(cmp.Or(cfg.Period, spread.DefaultPeriod)))
	list.OnNote(s.take)
	return s, nil
}

// note is one message: a summary or a view.
type note struct {
	Summary *spread.Summary `json:"s,omitempty"`
	View    *spread.View    `json:"v,omitempty"`
}

// mostNote bounds a message: a view of a thousand servers fits.
const mostNote = 64 << 10

// Run sends a summary each period until ctx ends, then leaves the membership.
func (s *Spreader) Run(ctx context.Context) {
	var staying sync.WaitGroup
	defer staying.Wait()
	defer s.list.Leave()
	staying.Go(func() { s.list.Stay(ctx) }) // no summary waits for a seed's answer
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
	s.core.Spread(func(_ policy.Time, st *spread.State) { st.SetPeriod(period) })
	s.mu.Lock()
	s.steward.SetPeriod(period)
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default: // Run is to look anyway
	}
	return nil
}

// tell sends this agent's summary to the steward, which may be itself.
func (s *Spreader) tell() {
	alive := s.list.Names()
	slices.Sort(alive)
	s.core.Spread(func(now policy.Time, st *spread.State) {
		st.Alive(alive)
		st.Look(now)
		to := st.Steward(now)
		sum, known := st.Summary(now, to), st.Known(now)
		follows := st.Follows(now)
		go s.send(to, sum, known, follows) // the core does not wait for the network
	})
}

func (s *Spreader) send(to string, sum spread.Summary, known map[string]float64, follows bool) {
	s.mu.Lock()
	now := time.Since(s.began)
	s.steward.Know(now, known)
	if s.said.steward != to || s.said.follows != follows {
		s.log.Info("spreading load", "in_common", follows, "steward", to)
	}
	s.said.steward, s.said.follows = to, follows
	s.said.sent++
	s.mu.Unlock()
	if to == s.cfg.Name {
		s.hear(to, sum)
		return
	}
	if err := s.list.Note(to, note{Summary: &sum}); err != nil {
		s.log.Debug("summary not sent", "to", to, "error", err)
	}
}

// take handles one message of another agent. One that can't be used is counted and passed over.
func (s *Spreader) take(from string, data []byte) {
	var n note
	err := json.Unmarshal(data, &n)
	switch {
	case len(data) > mostNote:
		err = fmt.Errorf("%d bytes", len(data))
	case err == nil && n.Summary != nil:
		if err = n.Summary.Valid(); err == nil {
			s.hear(from, *n.Summary)
		}
	case err == nil && n.View != nil:
		if err = n.View.Valid(); err == nil {
			s.follow(*n.View)
		}
	case err == nil:
		err = errors.New("neither a summary nor a view")
	}
	if err != nil {
		s.mu.Lock()
		s.said.bad++
		s.mu.Unlock()
		s.log.Warn("message on spreading load passed over", "from", from, "error", err)
	}
}

// hear answers a summary, as the steward.
func (s *Spreader) hear(from string, sum spread.Summary) {
	s.mu.Lock()
	v, ok := s.steward.Hear(time.Since(s.began), sum)
	if ok {
		s.said.answered++
	}
	s.mu.Unlock()
	switch {
	case !ok:
	case from == s.cfg.Name:
		s.follow(v)
	default:
		if err := s.list.Note(from, note{View: &v}); err != nil {
			s.log.Debug("view not sent", "to", from, "error", err)
		}
	}
}

func (s *Spreader) follow(v spread.View) {
	s.mu.Lock()
	s.said.view, s.said.viewAt = v, time.Now()
	s.said.heard++
	s.mu.Unlock()
	s.core.Follow(v)
}

// Say words the state for the console.
func (s *Spreader) Say() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	v := s.said.view
	fmt.Fprintf(&b, "in common %v, steward %s, view %v old, %d agents heard, %.1f calls a second, %.0f%% held back; %d summaries sent, %d views heard, %d answered, %d bad\n",
		s.said.follows, cmp.Or(s.said.steward, "nobody"), time.Since(s.said.viewAt).Round(time.Millisecond), v.Senders, v.Demand, 100*v.Hold,
		s.said.sent, s.said.heard, s.said.answered, s.said.bad)
	slices.SortFunc(v.Dues, func(a, b spread.Due) int { return cmp.Compare(a.Server, b.Server) })
	for _, d := range v.Dues {
		fmt.Fprintf(&b, "server %s: share %.2f of %.1f a second, %.0f unanswered, idle %v\n", d.Server, d.Share, d.Rate, math.Round(d.Out), d.Idle.Round(time.Millisecond))
	}
	return b.String()
}

// Traffic is the datagrams and bytes this agent has sent.
func (s *Spreader) Traffic() (sent, bytes, bad int64) { return s.list.Traffic() }
