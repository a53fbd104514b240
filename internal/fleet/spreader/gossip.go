package spreader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"woodrouter/internal/fleet/members"
	"woodrouter/policy"
	"woodrouter/spread"
)

// gossip is the way of mode common: agents talk, each message one datagram of the membership, and
// every agent can be the steward and answers whoever takes it for one. Its lock is held for the
// steward's work on one message alone, and no other is taken meanwhile.
type gossip struct {
	s    *Spreader
	list *members.Members

	mu            sync.Mutex
	steward       *spread.Steward
	answered, bad int64
}

func openGossip(s *Spreader, file Config) (*gossip, error) {
	membership := *file.Members
	membership.Compress = true // a summary or a view is long, and mostly the same words
	list, err := members.Open(membership, members.Member{Name: s.cfg.Name}, s.log)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	g := &gossip{s: s, list: list, steward: spread.NewSteward(s.cfg)}
	list.OnNote(g.take)
	return g, nil
}

// note is one message: a summary or a view.
type note struct {
	Summary *spread.Summary `json:"s,omitempty"`
	View    *spread.View    `json:"v,omitempty"`
}

// mostNote bounds a message: a view of a thousand servers fits.
const mostNote = 64 << 10

func (g *gossip) run(ctx context.Context) {
	var staying sync.WaitGroup
	defer staying.Wait()
	defer g.list.Leave()                    // it ends what Stay waits for
	staying.Go(func() { g.list.Stay(ctx) }) // no summary waits for a seed's answer
	<-ctx.Done()
}

func (g *gossip) look(now policy.Time, st *spread.State) func() {
	alive := g.list.Names()
	slices.Sort(alive)
	st.SetAlive(alive)
	known := st.UpServers(now)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.steward.SetServers(time.Since(g.s.began), known)
	}
}

func (g *gossip) setPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steward.SetPeriod(d)
}

// tell sends this agent's summary to the steward, which may be itself.
func (g *gossip) tell(to string, sum spread.Summary) {
	if to == g.s.cfg.Name {
		g.hear(to, sum)
		return
	}
	if err := g.list.Note(to, note{Summary: &sum}); err != nil {
		g.s.log.Debug("summary not sent", "to", to, "error", err)
	}
}

// take handles one message of another agent. One that can't be used is counted and passed over.
func (g *gossip) take(from string, data []byte) {
	var n note
	err := json.Unmarshal(data, &n)
	switch {
	case len(data) > mostNote:
		err = fmt.Errorf("%d bytes", len(data))
	case err == nil && n.Summary != nil:
		if err = n.Summary.Valid(); err == nil {
			g.hear(from, *n.Summary)
		}
	case err == nil && n.View != nil:
		if err = n.View.Valid(); err == nil {
			g.s.follow(*n.View)
		}
	case err == nil:
		err = errors.New("neither a summary nor a view")
	}
	if err != nil {
		g.mu.Lock()
		g.bad++
		g.mu.Unlock()
		g.s.log.Warn("message on spreading load passed over", "from", from, "error", err)
	}
}

// hear answers a summary, as the steward.
func (g *gossip) hear(from string, sum spread.Summary) {
	g.mu.Lock()
	v, ok := g.steward.HandleSummary(time.Since(g.s.began), sum)
	if ok {
		g.answered++
	}
	g.mu.Unlock()
	switch {
	case !ok:
	case from == g.s.cfg.Name:
		g.s.follow(v)
	default:
		if err := g.list.Note(from, note{View: &v}); err != nil {
			g.s.log.Debug("view not sent", "to", from, "error", err)
		}
	}
}

func (g *gossip) say() (by, counts string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return "gossip", fmt.Sprintf("%d answered, %d bad", g.answered, g.bad)
}

func (g *gossip) traffic() Traffic {
	sent, bytes, bad := g.list.Traffic()
	return Traffic{Sent: sent, Bytes: bytes, Bad: bad}
}
