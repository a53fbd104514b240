package members

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/failover"
	"woodrouter/internal/faultnet"
)

// shortTimeouts makes the library consider a silent agent dead within a second and forget it at once. With
// the production settings that takes a minute.
func shortTimeouts(c *memberlist.Config, s *seeker) {
	c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout = 100*time.Millisecond, 50*time.Millisecond, 300*time.Millisecond
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = 2, 1, 2
	c.GossipInterval, c.PushPullInterval, c.GossipToTheDeadTime = 20*time.Millisecond, 500*time.Millisecond, time.Nanosecond
	s.missingInterval, s.presentInterval = 100*time.Millisecond, time.Second
}

// TestSplitHeals: two regions with a seed in each are disconnected until each has forgotten the other. Once
// the link is restored they become one fleet again, whether every agent is configured with the seeds of both
// regions or only one agent with the other region's seed. Gossip alone never joins such parts again.
func TestSplitHeals(t *testing.T) {
	for name, seeds := range map[string]func(i int) []int{
		"each agent knows both seeds": func(int) []int { return []int{0, 4} },
		"one agent knows the other side's": func(i int) []int {
			if i == 2 {
				return []int{0, 4}
			}
			return []int{i / 4 * 4}
		},
	} {
		t.Run(name, func(t *testing.T) { testSplit(t, seeds) })
	}
}

// testSplit runs TestSplitHeals with the seeds that seeds returns for agent i. Agents 0 to 3 are one region.
func testSplit(t *testing.T, seeds func(i int) []int) {
	const agents = 8
	octet, err := faultnet.ReserveOctet()
	require.NoError(t, err)
	defer octet.Release()
	bind := func(i int) string { return octet.Host(i+1) + ":7946" }
	advertised := func(i int) string { return octet.Host(1000+i) + ":7946" }
	hub := faultnet.NewHub(func(a net.Addr) int {
		host, _, _ := net.SplitHostPort(a.String())
		for i := range agents {
			if host == octet.Host(i+1) {
				return i
			}
		}
		return -1
	})
	defer hub.Close()
	var all []*Members
	var staying sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		for _, m := range all {
			staying.Go(m.Shutdown)
		}
		staying.Wait()
	}()
	for i := range agents {
		require.NoError(t, hub.Add(i, advertised(i), bind(i)))
		cfg := Config{Bind: bind(i), Advertise: advertised(i), tune: shortTimeouts}
		for _, s := range seeds(i) {
			cfg.Seeds = append(cfg.Seeds, advertised(s))
		}
		m, err := Open(cfg, Member{Name: fmt.Sprint("a", i)}, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		all = append(all, m)
		staying.Go(func() {
			for ctx.Err() == nil {
				m.Rejoin()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	allSee := func(want int) func() bool {
		return func() bool {
			for _, m := range all {
				if m.Size() != want {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, allSee(agents), 10*time.Second, 10*time.Millisecond, "every agent knows all others")
	hub.Partition(0, 1, 2, 3)
	require.Eventually(t, allSee(agents/2), 20*time.Second, 10*time.Millisecond, "every agent knows only its own side")
	hub.Partition()
	assert.Eventually(t, allSee(agents), 10*time.Second, 10*time.Millisecond, "every agent knows all others again")
}

// silentSeed accepts connections and never answers.
func silentSeed(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// TestShutdownEndsRejoin: Shutdown ends a Rejoin that waits for a silent seed at once, and no other seed is
// joined afterwards.
func TestShutdownEndsRejoin(t *testing.T) {
	m, err := Open(Config{Bind: "127.0.0.1:0", Seeds: []string{silentSeed(t), silentSeed(t)}}, Member{Name: "a"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := m.Rejoin()
		done <- err
	}()
	for sent, _, _ := m.Traffic(); sent == 0; sent, _, _ = m.Traffic() {
		time.Sleep(time.Millisecond)
	}
	m.Shutdown()
	select {
	case err := <-done:
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(streamTimeout / 2):
		t.Fatal("Rejoin has not returned")
	}
	sent, _, _ := m.Traffic()
	assert.EqualValues(t, 1, sent, "streams opened")
}

// TestRejoinPastDeadSeeds: an agent that is alone asks one seed after another until one answers.
func TestRejoinPastDeadSeeds(t *testing.T) {
	host, err := faultnet.NewHost()
	require.NoError(t, err)
	seed, err := Open(Config{Bind: host + ":7946"}, Member{Name: "seed"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer seed.Shutdown()
	m, err := Open(Config{Bind: "127.0.0.1:0", Seeds: []string{host + ":1", host + ":2", host + ":7946", host + ":3"}}, Member{Name: "a"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer m.Shutdown()
	alive, err := m.Rejoin()
	assert.NoError(t, err)
	assert.Equal(t, 2, alive)
}

// TestPresentSeeds: a seed counts as present by its agent's address, and by the address of the proxy that
// leads there.
func TestPresentSeeds(t *testing.T) {
	host, err := faultnet.NewHost()
	require.NoError(t, err)
	address := host + ":7946"
	m, err := Open(Config{Bind: address, Links: map[string]string{address: "127.0.0.1:9"}}, Member{Name: "a"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer m.Shutdown()
	met := m.presentSeeds()
	assert.True(t, met(address))
	assert.True(t, met("127.0.0.1:9"))
	assert.False(t, met("127.0.0.1:10"))
}

// TestMembershipUncompressed: a membership without spreading load does not compress its datagrams. Beyond the
// 64 KB buffer into which the library reads each datagram little is allocated; decompression would allocate
// as much again.
func TestMembershipUncompressed(t *testing.T) {
	const messages, maxBytes = 200, 96 << 10 // bytes allocated for each datagram
	a, err := Open(Config{Bind: "127.0.0.1:0"}, Member{Name: "a"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Shutdown()
	b, err := Open(Config{Bind: "127.0.0.1:0", Seeds: []string{a.list.LocalNode().Address()}}, Member{Name: "b"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer b.Shutdown()
	_, err = b.Rejoin()
	require.NoError(t, err)
	received := make(chan struct{}, 1)
	a.OnMessage(func(string, []byte) { received <- struct{}{} })
	text := strings.Repeat("a line that could be made shorter; ", 30)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range messages {
		require.NoError(t, b.SendMessage("a", text))
		<-received
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, (after.TotalAlloc-before.TotalAlloc)/messages, uint64(maxBytes))
}

// blockingHandler is a log handler that blocks on the line "agent joined" until the test releases it.
type blockingHandler struct{ blocked, release chan struct{} }

func (h blockingHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h blockingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "agent joined" {
		select {
		case h.blocked <- struct{}{}:
			<-h.release
		default:
		}
	}
	return nil
}
func (h blockingHandler) WithAttrs([]slog.Attr) slog.Handler { return h }
func (h blockingHandler) WithGroup(string) slog.Handler      { return h }

// TestMethodsDuringLibraryCallback: all methods return while the library reports a change and thus holds its
// lock. A method that waited for that lock while holding one of the membership's would deadlock with the
// callback.
func TestMethodsDuringLibraryCallback(t *testing.T) {
	h := blockingHandler{make(chan struct{}), make(chan struct{})}
	// Its own joining does not block the handler, as nothing receives from blocked yet.
	m, err := Open(Config{Bind: "127.0.0.1:0"}, Member{Name: "a", InControlGroup: true}, slog.New(h))
	require.NoError(t, err)
	defer m.Shutdown()
	other, err := Open(Config{Bind: "127.0.0.1:0", Seeds: []string{m.list.LocalNode().Address()}}, Member{Name: "b"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer other.Shutdown()
	joined := make(chan struct{})
	go func() {
		defer close(joined)
		other.Rejoin()
	}()
	defer func() { <-joined }()
	defer close(h.release)
	<-h.blocked
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		m.SendSummary(failover.Summary{Agent: "a", Seq: 1})
		m.Summaries()
		m.Alive()
		m.Names()
		m.Size()
		m.SendMessage("a", "hello")
		m.AnnounceEpoch(1)
		m.LocalState(false)
		m.presentSeeds()
		m.GetBroadcasts(0, 1400)
	}()
	select {
	case <-answered:
	case <-time.After(5 * time.Second):
		t.Error("a method waits for the library's lock")
	}
}
