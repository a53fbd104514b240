package scalelab

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/standin"
	"woodrouter/rollout"
)

// manualMachine is a stand-in for a control machine, whose watches end when the test says so.
type manualMachine struct {
	mu       sync.Mutex
	version  uint64
	doc      *rollout.Document
	expired  chan struct{} // closed where all patience ends
	changed  chan struct{} // and where there is news
	asked    map[string]int
	answered map[string]int
	open     map[string]int
	maxOpen  int // watches of one agent at once
	last     map[string]rollout.WatchArgs
}

// Watch answers an agent's first at once, as a machine does one that has nothing.
func (b *manualMachine) Watch(args rollout.WatchArgs, r *rollout.WatchReply) error {
	name := args.Report.Agent.Name
	b.mu.Lock()
	b.asked[name]++
	b.open[name]++
	b.maxOpen = max(b.maxOpen, b.open[name])
	b.last[name] = args
	expired, changed := b.expired, b.changed
	lacks := b.doc != nil && args.Have[b.doc.Name.String()] < b.doc.Revision
	b.mu.Unlock()
	if args.Version > 0 && !lacks {
		select {
		case <-expired:
		case <-changed:
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Machine, r.Version, r.Whole = "c1", b.version, len(args.Have) == 0
	if b.doc != nil && args.Have[b.doc.Name.String()] < b.doc.Revision {
		r.Docs = []rollout.Document{*b.doc}
	}
	b.open[name]--
	b.answered[name]++
	return nil
}

func (b *manualMachine) endWatches(what *chan struct{}) {
	close(*what)
	*what = make(chan struct{})
}

// TestConfigMessages: of 8 agents each has one watch in flight at a control machine; nothing is
// sent while nothing changes and no patience ends; each change and each end of patience is one
// answer and one new watch, which acknowledges it; a watch and an answer stay within their bytes.
func TestConfigMessages(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const agents = 8
	b := &manualMachine{version: 1, expired: make(chan struct{}), changed: make(chan struct{}),
		asked: map[string]int{}, answered: map[string]int{}, open: map[string]int{}, last: map[string]rollout.WatchArgs{}}
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName("Rollout", b))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { srv.ServeConn(conn) })
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	all := make([]*watcher.Watcher, agents)
	hollows := make([]*hollowAgent, agents)
	for i := range all {
		hollows[i] = newHollowAgent(&HelperConfig{Places: make([]Identity, agents)}, i, slog.New(slog.DiscardHandler))
		all[i], err = watcher.Open(watcher.Config{Patience: "1m", Grace: "10s", Data: t.TempDir(),
			Machines: []watcher.Machine{{ID: "c1", Client: ln.Addr().String()}}},
			rollout.Agent{Name: fmt.Sprint("a", i), Service: "s1", Zone: "z1", Region: "r1"}, configKinds, recordingLoader{hollows[i]}, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		work.Go(func() { all[i].Run(ctx) })
	}
	defer func() {
		cancel()
		work.Wait()
		ln.Close()
		b.mu.Lock()
		b.endWatches(&b.expired)
		b.mu.Unlock()
		serving.Wait()
	}()
	settled := func(asked int, revision uint64) (sent, received []int64) {
		require.Eventually(t, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			for i, w := range all {
				name := fmt.Sprint("a", i)
				if b.asked[name] != asked || b.answered[name] != asked-1 || b.open[name] != 1 || w.InForce()[revisedKind] != revision ||
					revision > 0 && b.last[name].Report.Seen[revisedKind+"@all"] != revision {
					return false
				}
			}
			return true
		}, standin.WaitTimeout, time.Millisecond)
		for _, w := range all {
			s, r := w.Traffic()
			sent, received = append(sent, s), append(received, r)
		}
		return sent, received
	}
	const watchMost, idleMost, body = 512, 256, 4096 // bytes; a body beside an idle answer
	sent, received := settled(2, 0)
	asked, revision := 2, uint64(0)
	name, err := rollout.ParseName(revisedKind + "@all")
	require.NoError(t, err)
	for step, change := range []bool{true, false, false, true, false} {
		b.mu.Lock()
		most := int64(idleMost)
		if change {
			revision += 7
			b.version = revision
			text := make([]byte, body)
			b.doc = &rollout.Document{Name: name, Revision: revision, Text: text, Sum: rollout.Sum(text)}
			b.endWatches(&b.changed)
			most += body
		} else {
			b.endWatches(&b.expired)
		}
		b.mu.Unlock()
		asked++
		s, r := settled(asked, revision)
		for i := range all {
			require.LessOrEqual(t, s[i]-sent[i], int64(watchMost), "step %d, agent %d", step, i)
			require.LessOrEqual(t, r[i]-received[i], most, "step %d, agent %d", step, i)
		}
		sent, received = s, r
	}
	require.Equal(t, 1, b.maxOpen)
}

// TestRunConfig: a small run with real control machines ends with everybody at the same revision.
func TestRunConfig(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	self, err := os.Executable()
	require.NoError(t, err)
	bin, err := faultnet.Build(t.TempDir())
	require.NoError(t, err)
	p := Plan{Agents: 8, Services: 2, Parts: []string{Config}, By: ByFleet, Servers: 10, PerProcess: 4, Delay: [2]time.Duration{time.Millisecond, 2 * time.Millisecond},
		Span: 3 * time.Second, Warm: time.Second, Seed: 1} // a watch lasts 2.2 s at most
	r := Run{Plan: p, Self: self, Bin: bin, Dir: t.TempDir(), Log: testLog{t}}
	s, err := r.Execute(t.Context())
	require.NoError(t, err)
	s.Print(testLog{t})
	for _, k := range s.Knew {
		require.Equal(t, k.Of, k.Reached, "%s", k)
	}
	require.Len(t, s.Machines, 4)
	require.Positive(t, s.PartSent[Config].Mean)
	require.Positive(t, s.PartReceived[Config].Mean)
}
