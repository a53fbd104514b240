package watcher

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/control"
	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// TestWithControl: agents with a real control machine. A change reaches all agents by stages. One that a
// loader refuses is halted, and the former text returns under a new revision. Agents keep working while the
// machine is away, and receive its next change within 9 s of its return.
func TestWithControl(t *testing.T) {
	host, err := faultnet.NewHost() // its ports stay free while the machine is away
	require.NoError(t, err)
	raft, client := host+":7001", host+":7002"
	cfg := control.Config{Config: quorum.Config{ID: "c1", Raft: raft, Client: client, Data: filepath.Join(t.TempDir(), "c1"),
		Bootstrap: []quorum.Peer{{ID: "c1", Raft: raft}}, Timing: quorum.TimingConfig{Heartbeat: "150ms", Election: "150ms", Commit: "10ms", Lease: "100ms"}},
		Rollout: control.RolloutConfig{Console: host + ":7003", Peers: map[string]string{"c1": client}, Dwell: "100ms", Patience: "1s"}}
	open := func() *control.Node {
		n, err := control.Open(cfg, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		require.NoError(t, n.Serve())
		return n
	}
	node := open()
	defer func() { node.Close() }()
	operator := control.NewClient(cfg.Rollout.Peers)
	defer operator.Close()
	var agents []*fixture
	for i := range 3 {
		s := &fixture{t: t, cfg: Config{Patience: "500ms", Data: filepath.Join(t.TempDir(), "data"), Machines: []Machine{{ID: "c1", Client: client}}}, loader: &fakeLoader{inForce: map[string]string{}}}
		var err error
		s.w, err = Open(s.cfg, rollout.Agent{Name: fmt.Sprint("n", i), Zone: "z1"}, []string{"routes"}, s.loader, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		agents = append(agents, s.run())
	}
	put := func(base uint64, text string) (revision uint64) {
		n, err := rollout.ParseName("routes@zone/z1")
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		require.NoError(t, quorum.Retry(ctx, func() (err error) {
			revision, err = operator.Put(ctx, rollout.Entry{Op: rollout.OpPut, Author: "ann", Name: n, Base: base, Text: []byte(text)})
			return err
		}))
		return revision
	}
	awaitAll := func(text string, above uint64, timeout time.Duration) (lowest uint64) {
		t.Helper()
		require.Eventually(t, func() bool {
			lowest = 1 << 60
			for _, s := range agents {
				inForce := s.w.InForce()["routes"]
				if s.loader.applied("routes") != text || inForce <= above {
					return false
				}
				lowest = min(lowest, inForce)
			}
			return true
		}, timeout, 5*time.Millisecond, text)
		return lowest
	}
	for _, s := range agents { // the machine must know the agents to choose a first stage
		require.Eventually(t, func() bool { return s.w.counts.watches.Load() > 1 }, testTimeout, time.Millisecond)
	}
	first := put(0, "good")
	awaitAll("good", first-1, testTimeout)
	bad := put(first, "bad")
	var restored uint64
	require.Eventually(t, func() bool { // the former text has a new revision at an agent that received the bad one
		for _, s := range agents {
			if v := s.w.status.Load(); v.known["routes@zone/z1"] > bad {
				restored = v.known["routes@zone/z1"]
			}
		}
		return restored != 0
	}, testTimeout, 5*time.Millisecond)
	awaitAll("good", first-1, testTimeout)
	node.Close()
	node = open()
	later := put(restored, "later")
	awaitAll("later", later-1, 9*time.Second)
}
