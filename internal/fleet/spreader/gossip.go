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

// gossipTransport is the way of mode common: agents talk, each message one datagram of the membership, and
// every agent can be the steward and answers whoever takes it for one. Its lock is held for the
// steward's work on one message alone, and no other is taken meanwhile.
type gossipTransport struct {
	spreader *Spreader
	members  *members.Members

	mu                  sync.Mutex
	steward             *spread.Steward
	answered, malformed int64
}

func newGossipTransport(s *Spreader, file Config) (*gossipTransport, error) {
	membership := *file.Members
	membership.Compress = true // a summary or a view is long, and mostly the same words
	list, err := members.Open(membership, members.Member{Name: s.cfg.Name}, s.log)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	g := &gossipTransport{spreader: s, members: list, steward: spread.NewSteward(s.cfg)}
	list.OnMessage(g.handleMessage)
	return g, nil
}

// gossipMessage is one message: a summary or a view.
type gossipMessage struct {
	Summary *spread.Summary `json:"s,omitempty"`
	View    *spread.View    `json:"v,omitempty"`
}

// maxMessageBytes bounds a message: a view of a thousand servers fits.
const maxMessageBytes = 64 << 10

func (g *gossipTransport) run(ctx context.Context) {
	var staying sync.WaitGroup
	defer staying.Wait()
	defer g.members.Leave()                          // it ends what Stay waits for
	staying.Go(func() { g.members.StayJoined(ctx) }) // no summary waits for a seed's answer
	<-ctx.Done()
}

func (g *gossipTransport) syncState(now policy.Time, st *spread.State) func() {
	alive := g.members.Names()
	slices.Sort(alive)
	st.SetAlive(alive)
	known := st.UpServers(now)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.steward.SetServers(time.Since(g.spreader.startedAt), known)
	}
}

func (g *gossipTransport) setPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steward.SetPeriod(d)
}

// sendSummary sends this agent's summary to the steward, which may be itself.
func (g *gossipTransport) sendSummary(to string, sum spread.Summary) {
	if to == g.spreader.cfg.Name {
		g.handleSummary(to, sum)
		return
	}
	if err := g.members.SendMessage(to, gossipMessage{Summary: &sum}); err != nil {
		g.spreader.log.Debug("summary not sent", "to", to, "error", err)
	}
}

// handleMessage handles one message of another agent. One that can't be used is counted and passed over.
func (g *gossipTransport) handleMessage(from string, data []byte) {
	var n gossipMessage
	err := json.Unmarshal(data, &n)
	switch {
	case len(data) > maxMessageBytes:
		err = fmt.Errorf("%d bytes", len(data))
	case err == nil && n.Summary != nil:
		if err = n.Summary.Valid(); err == nil {
			g.handleSummary(from, *n.Summary)
		}
	case err == nil && n.View != nil:
		if err = n.View.Valid(); err == nil {
			g.spreader.applyView(*n.View)
		}
	case err == nil:
		err = errors.New("neither a summary nor a view")
	}
	if err != nil {
		g.mu.Lock()
		g.malformed++
		g.mu.Unlock()
		g.spreader.log.Warn("message on spreading load passed over", "from", from, "error", err)
	}
}

// handleSummary answers a summary, as the steward.
func (g *gossipTransport) handleSummary(from string, sum spread.Summary) {
	g.mu.Lock()
	v, ok := g.steward.HandleSummary(time.Since(g.spreader.startedAt), sum)
	if ok {
		g.answered++
	}
	g.mu.Unlock()
	switch {
	case !ok:
	case from == g.spreader.cfg.Name:
		g.spreader.applyView(v)
	default:
		if err := g.members.SendMessage(from, gossipMessage{View: &v}); err != nil {
			g.spreader.log.Debug("view not sent", "to", from, "error", err)
		}
	}
}

func (g *gossipTransport) describe() (by, counts string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return "gossip", fmt.Sprintf("%d answered, %d bad", g.answered, g.malformed)
}

func (g *gossipTransport) traffic() Traffic {
	sent, bytes, bad := g.members.Traffic()
	return Traffic{Sent: sent, Bytes: bytes, Bad: bad}
}
