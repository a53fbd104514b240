package spreader

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/members"
	"woodrouter/policy"
	"woodrouter/spread"
)

// TestConfig: an error names each invalid field.
func TestConfig(t *testing.T) {
	const members = "members: {bind: 127.0.0.1:7801, seeds: ['127.0.0.1:7802']}\n"
	const control = "service: a\nmachines: [{id: c1, client: '127.0.0.1:1', region: r1, zone: z1}]\n"
	for text, want := range map[string]string{
		"mode: common\n" + members:                                               "",
		"mode: common\nperiod: 250ms\n" + members:                                "",
		"mode: alone\n" + members:                                                "field mode",
		"mode: common\n":                                                         "field members: missing",
		"mode: common\nperiod: 1ms\n" + members:                                  "field period",
		"mode: common\nservice: a\n" + members:                                   "field service",
		"mode: common\nmachines: []\n" + members:                                 "field machines",
		"mode: control\n" + control:                                              "",
		"mode: control\nservice: a\n":                                            "field machines: empty",
		"mode: control\nmachines: [{id: c1, client: '127.0.0.1:1'}]\n":           "field service: empty",
		"mode: control\nservice: a\nmachines: [{id: c1, client: x}]\n":           "field machines[0].client",
		"mode: control\n" + control + members:                                    "field members: mode common's alone",
		"mode: common\nmembers: {bind: here:7801}\n":                             "members: field bind",
		"mode: common\nmembers: {bind: 127.0.0.1:1, advertise: nowhere}\n":       "members: field advertise",
		"mode: common\nmode: common\n" + members:                                 "2:1",
		"mode: common\nspeed: fast\n" + members:                                  "speed",
		"mode: common\nmembers: {bind: 127.0.0.1:7801, seeds: ['seed:one:two']}": "members: field seeds[0]",
	} {
		path := filepath.Join(t.TempDir(), "spread.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadConfig(path)
		if want == "" {
			assert.NoError(t, err, text)
		} else {
			assert.ErrorContains(t, err, want, text)
		}
	}
}

// core is a core whose clock stands at one second.
type core struct{ state *spread.State }

func (c core) WithSpread(do func(policy.Time, *spread.State)) { do(time.Second, c.state) }
func (c core) ApplyView(v spread.View)                        { c.state.HandleView(time.Second, v) }

// TestMalformedMessages: malformed, oversized, impossible and replayed messages are counted or ignored, and
// the steward keeps what it knows.
func TestMalformedMessages(t *testing.T) {
	cfg := spread.Config{Name: "a", Life: 1, Senders: 2}
	s, err := Open(Config{Mode: "common", Members: &members.Config{Bind: "127.0.0.1:0"}}, cfg, core{spread.New(cfg)}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	g := s.transport.(*gossipTransport)
	defer g.members.Shutdown()
	good, err := json.Marshal(gossipMessage{Summary: &spread.Summary{From: spread.Stamp{Name: "b", Life: 1, Seq: 1}, Demand: 3}})
	require.NoError(t, err)
	g.handleMessage("b", good)
	g.handleMessage("b", good) // replayed
	assert.EqualValues(t, 1, g.answered)
	for _, bad := range []string{"", "{", "{}", "null", `{"s":{"f":{"n":"","l":1,"q":1}}}`, `{"s":{"f":{"n":"b","l":1,"q":0}}}`,
		`{"s":{"f":{"n":"b","l":1,"q":2},"d":-1}}`, `{"s":{"f":{"n":"b","l":1,"q":2},"c":[{"s":"x","n":1,"d":2}]}}`,
		`{"s":{"f":{"n":"b","l":1,"q":2},"c":[{"s":"x","t":1e99}]}}`, `{"v":{"f":{"n":"w","l":1,"q":1},"v":[{"s":"x","g":-4}]}}`,
		`{"v":{"f":{"n":"w","l":1,"q":1},"v":[{"s":"` + strings.Repeat("x", 300) + `"}]}}`, `{"s":"` + strings.Repeat("x", maxMessageBytes) + `"}`} {
		before := g.malformed
		g.handleMessage("b", []byte(bad))
		assert.Equal(t, before+1, g.malformed, "%.80s", bad)
	}
	assert.EqualValues(t, 1, g.answered)
}

// callSignal is a core that calls nothing back, and signals each call of WithSpread.
type callSignal chan struct{}

func (c callSignal) WithSpread(func(policy.Time, *spread.State)) { c <- struct{}{} }
func (callSignal) ApplyView(spread.View)                         {}

// TestSilentSeed: a seed that accepts connections and never answers delays neither summaries nor the stop.
// Joining waits for the answer, and so runs in a goroutine of its own.
func TestSilentSeed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c := make(callSignal)
	file := Config{Mode: "common", Members: &members.Config{Bind: "127.0.0.1:0", Seeds: []string{ln.Addr().String()}}}
	s, err := Open(file, spread.Config{Name: "a", Life: 1, Period: minPeriod}, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	asked, err := ln.Accept()
	require.NoError(t, err)
	defer asked.Close()
	late := time.After(5 * time.Second) // half the time for which an answer is awaited
	for range 3 {
		select {
		case <-c:
		case <-late:
			t.Fatal("no summary while a seed does not answer")
		}
	}
	cancel()
	for ended := false; !ended; {
		select {
		case <-c:
		case <-done:
			ended = true
		case <-late:
			t.Fatal("no stop while a seed does not answer")
		}
	}
}

// TestCompressed: a summary of a service's 27 servers is sent in less than two thirds of its length.
func TestCompressed(t *testing.T) {
	octet, err := faultnet.ReserveOctet()
	require.NoError(t, err)
	defer octet.Release()
	open := func(i int) *Spreader {
		cfg := spread.Config{Name: string(rune('a' + i)), Life: 1, Senders: 2}
		file := Config{Mode: "common", Members: &members.Config{Bind: octet.Host(1+i) + ":7801", Seeds: []string{octet.Host(1) + ":7801"}}}
		s, err := Open(file, cfg, core{spread.New(cfg)}, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		return s
	}
	a, b := open(0), open(1)
	list := b.transport.(*gossipTransport).members
	defer a.transport.(*gossipTransport).members.Shutdown()
	defer list.Shutdown()
	_, err = list.Rejoin()
	require.NoError(t, err)
	sum := spread.Summary{From: spread.Stamp{Name: "b", Life: 1, Seq: 1}, Demand: 3}
	for i := range 27 {
		sum.Counts = append(sum.Counts, spread.Count{Server: fmt.Sprintf("server-%02d", i)})
	}
	text, err := json.Marshal(gossipMessage{Summary: &sum})
	require.NoError(t, err)
	_, before, _ := list.Traffic()
	require.NoError(t, list.SendMessage("a", gossipMessage{Summary: &sum}))
	_, after, _ := list.Traffic()
	assert.Less(t, after-before, int64(len(text)*2/3))
}

// TestReconfigure: a distributed document changes the period and nothing else. The state, the steward and the
// rate of summaries follow it.
func TestReconfigure(t *testing.T) {
	own := Config{Mode: "common", Members: &members.Config{Bind: "127.0.0.1:0"}}
	cfg := spread.Config{Name: "a", Life: 1, Senders: 1}
	c := core{spread.New(cfg)}
	s, err := Open(own, cfg, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer s.transport.(*gossipTransport).members.Shutdown()
	for text, want := range map[string]string{
		"period: 200ms\n":               "",
		"mode: common\nperiod: 200ms\n": "",
		"mode: alone\n":                 "spread: field mode",
		"period: 1ms\n":                 "spread: field period",
		"members: {bind: '1.1.1.1:1'}":  "field members",
		"pace: 1s\n":                    "[1:1]",
	} {
		next, err := own.Distributed("spread", []byte(text))
		if want != "" {
			assert.ErrorContains(t, err, want, text)
			continue
		}
		require.NoError(t, err, text)
		require.NoError(t, s.Reconfigure(next))
		assert.Equal(t, 200*time.Millisecond, c.state.BuildSummary(time.Second, "a").Period)
		v, _ := s.transport.(*gossipTransport).steward.HandleSummary(time.Second, c.state.BuildSummary(time.Second, "a"))
		assert.Equal(t, 200*time.Millisecond, v.Period)
		assert.EqualValues(t, 200*time.Millisecond, s.period.Load())
	}
	require.NoError(t, s.Reconfigure(own))
	assert.Equal(t, spread.DefaultPeriod, c.state.BuildSummary(time.Second, "a").Period, "back to the agent's own file")
}

// TestFieldsNeedingRestart: a document that changes more than the period is refused, and in a changed file
// the fields that need a restart are named.
func TestFieldsNeedingRestart(t *testing.T) {
	own, err := LoadConfig("../../../deploy/spread-control.yaml")
	require.NoError(t, err)
	for text, want := range map[string]string{
		"period: 200ms\n":                               "",
		"mode: control\nperiod: 1s\n":                   "",
		"mode: common\n":                                "field mode",
		"service: other\n":                              "field service",
		"machines: [{id: c9, client: '127.0.0.1:1'}]\n": "field machines",
		"members: {bind: '1.1.1.1:1'}\n":                "field members",
	} {
		next, err := own.Distributed("spread", []byte(text))
		if want == "" {
			require.NoError(t, err, text)
			assert.Empty(t, own.FieldsNeedingRestart(next))
			continue
		}
		assert.ErrorContains(t, err, want, text)
	}
	other := own
	other.Service, other.Machines, other.Period = "other", own.Machines[1:], "1s"
	assert.Equal(t, []string{"service", "machines"}, own.FieldsNeedingRestart(other))
}
