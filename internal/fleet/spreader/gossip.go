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

// gossipTransport is the transport of mode common: the agents exchange messages with one another, each in one
// datagram of the membership. Every agent can be the steward, and answers any agent that takes it for the
// steward. mu is held only for one call of the steward's methods or to access the counters, and no other lock
// is taken meanwhile.
type gossipTransport struct {
	spreader *Spreader
	members  *members.Members

	mu                  sync.Mutex
	steward             *spread.Steward
	answered, malformed int64
}

// newGossipTransport opens the membership.
func newGossipTransport(s *Spreader, file Config) (*gossipTransport, error) {
	membership := *file.Members
	membership.Compress = true // a summary or a view is long and repetitive
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

// maxMessageBytes bounds a message. A view of a thousand servers fits.
const maxMessageBytes = 64 << 10

func (g *gossipTransport) run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	defer g.members.Leave()                             // ends StayJoined
	background.Go(func() { g.members.StayJoined(ctx) }) // in the background: no summary waits for a seed's answer
	<-ctx.Done()
}

func (g *gossipTransport) syncState(now policy.Time, st *spread.State) func() {
	alive := g.members.Names()
	slices.Sort(alive)
	st.SetAlive(alive)
	servers := st.UpServers(now)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.steward.SetServers(time.Since(g.spreader.startedAt), servers)
	}
}

func (g *gossipTransport) setPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steward.SetPeriod(d)
}

// sendSummary sends this agent's summary to the steward, which may be the agent itself.
func (g *gossipTransport) sendSummary(to string, sum spread.Summary) {
	if to == g.spreader.cfg.Name {
		g.handleSummary(to, sum)
		return
	}
	if err := g.members.SendMessage(to, gossipMessage{Summary: &sum}); err != nil {
		g.spreader.log.Debug("spread: summary not sent", "to", to, "error", err)
	}
}

// handleMessage handles one message of another agent. An invalid one is counted and ignored.
func (g *gossipTransport) handleMessage(from string, data []byte) {
	var message gossipMessage
	err := json.Unmarshal(data, &message)
	switch {
	case len(data) > maxMessageBytes:
		err = fmt.Errorf("message of %d bytes is too long", len(data))
	case err == nil && message.Summary != nil:
		if err = message.Summary.Valid(); err == nil {
			g.handleSummary(from, *message.Summary)
		}
	case err == nil && message.View != nil:
		if err = message.View.Valid(); err == nil {
			g.spreader.applyView(*message.View)
		}
	case err == nil:
		err = errors.New("neither a summary nor a view")
	}
	if err != nil {
		g.mu.Lock()
		g.malformed++
		g.mu.Unlock()
		g.spreader.log.Warn("spread: invalid message ignored", "from", from, "error", err)
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
			g.spreader.log.Debug("spread: view not sent", "to", from, "error", err)
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
