package spreader

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/fleet/members"
	"woodrouter/policy"
	"woodrouter/spread"
)

// TestConfig: a field that can't be used is named, and nothing is taken.
func TestConfig(t *testing.T) {
	const members = "members: {bind: 127.0.0.1:7801, seeds: ['127.0.0.1:7802']}\n"
	for text, want := range map[string]string{
		"mode: common\n" + members:                                               "",
		"mode: common\nperiod: 250ms\n" + members:                                "",
		"mode: alone\n" + members:                                                "field mode",
		"mode: common\n":                                                         "field members: missing",
		"mode: common\nperiod: 1ms\n" + members:                                  "field period",
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

type core struct{ state *spread.State }

func (c core) Spread(do func(policy.Time, *spread.State)) { do(time.Second, c.state) }
func (c core) Follow(v spread.View)                       { c.state.Hear(time.Second, v) }

// TestJunk: junk, oversized, impossible and replayed messages are counted and passed over, and
// what is known stays.
func TestJunk(t *testing.T) {
	cfg := spread.Config{Name: "a", Life: 1, Senders: 2}
	s, err := Open(Config{Mode: "common", Members: &members.Config{Bind: "127.0.0.1:0"}}, cfg, core{spread.New(cfg)}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer s.list.Shut()
	good, err := json.Marshal(note{Summary: &spread.Summary{From: spread.Stamp{Name: "b", Life: 1, Seq: 1}, Demand: 3}})
	require.NoError(t, err)
	s.take("b", good)
	s.take("b", good) // replayed
	assert.EqualValues(t, 1, s.said.answered)
	for _, bad := range []string{"", "{", "{}", "null", `{"s":{"f":{"n":"","l":1,"q":1}}}`, `{"s":{"f":{"n":"b","l":1,"q":0}}}`,
		`{"s":{"f":{"n":"b","l":1,"q":2},"d":-1}}`, `{"s":{"f":{"n":"b","l":1,"q":2},"c":[{"s":"x","n":1,"d":2}]}}`,
		`{"s":{"f":{"n":"b","l":1,"q":2},"c":[{"s":"x","t":1e99}]}}`, `{"v":{"f":{"n":"w","l":1,"q":1},"v":[{"s":"x","g":-4}]}}`,
		`{"v":{"f":{"n":"w","l":1,"q":1},"v":[{"s":"` + strings.Repeat("x", 300) + `"}]}}`, `{"s":"` + strings.Repeat("x", mostNote) + `"}`} {
		before := s.said.bad
		s.take("b", []byte(bad))
		assert.Equal(t, before+1, s.said.bad, "%.80s", bad)
	}
	assert.EqualValues(t, 1, s.said.answered)
}

// TestChange: a distributed document changes the period alone; the sender's part, the steward's
// and the pace of summaries follow it.
func TestChange(t *testing.T) {
	own := Config{Mode: "common", Members: &members.Config{Bind: "127.0.0.1:0"}}
	cfg := spread.Config{Name: "a", Life: 1, Senders: 1}
	c := core{spread.New(cfg)}
	s, err := Open(own, cfg, c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer s.list.Shut()
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
		require.NoError(t, s.Change(next))
		assert.Equal(t, 200*time.Millisecond, c.state.Summary(time.Second, "a").Period)
		v, _ := s.steward.Hear(time.Second, c.state.Summary(time.Second, "a"))
		assert.Equal(t, 200*time.Millisecond, v.Period)
		assert.EqualValues(t, 200*time.Millisecond, s.period.Load())
	}
	require.NoError(t, s.Change(own))
	assert.Equal(t, spread.DefaultPeriod, c.state.Summary(time.Second, "a").Period, "the own file again")
}
