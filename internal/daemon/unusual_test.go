package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// TestUnusualSettings checks that the daemon starts with unusual but valid settings and serves a call over
// loopback, with one server listed.
func TestUnusualSettings(t *testing.T) {
	type object = map[string]any
	for name, change := range map[string]func(s object){
		"as they are":           func(object) {},
		"a single attempt":      func(s object) { s["limits"].(object)["maxAttempts"] = 1 },
		"no release wait":       func(s object) { s["domain"].(object)["clearWait"] = 0 },
		"nothing is cold":       func(s object) { s["guarantees"].(object)["cold"] = 0 },
		"no time to come back":  func(s object) { s["limits"].(object)["maxRetryAfter"] = 0 },
		"no reports":            func(s object) { s["stats"] = object{"how": "silent", "fields": []string{}} },
		"reports to be probed":  func(s object) { s["stats"] = object{"how": "pull", "fields": []string{"util"}} },
		"no lengths of calls":   func(s object) { s["domain"].(object)["classHold"] = []int{} },
		"no pools named":        func(s object) { delete(s["domain"].(object), "poolsByClass") },
		"a class worth nothing": func(s object) { s["profiles"].([]any)[0].(object)["worth"] = 0 },
		"a class of no share": func(s object) {
			s["profiles"] = append(s["profiles"].([]any), object{"name": "never", "goalTime": 1000, "deadline": 1000, "worth": 9})
		},
		"a tenant with no allowance": func(s object) {
			s["customers"] = []object{{"name": "t", "allowancePerS": 0}, {"name": "", "allowancePerS": 1}}
		},
		"a tight deadline": func(s object) { s["profiles"].([]any)[0].(object)["goalTime"] = 700_000 },
		"many senders":     func(s object) { s["nInstances"], s["rank"] = 300, 299 },
		"unknown keys":     func(s object) { s["domain"].(object)["tidal"] = object{"x": 1} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := standin.NewServer(t, "")
			b := standin.NewBulletin(t, standin.Endpoint("s0", server.Addr, 0, "up"))
			var all object
			require.NoError(t, json.Unmarshal(testConfigText(t, b), &all))
			change(all["settings"].(object))
			text, err := json.Marshal(all)
			require.NoError(t, err)
			cfg, err := ParseConfig(text)
			require.NoError(t, err)
			d, err := New(cfg, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { d.Serve(ctx, ln); close(done) }()
			defer func() { cancel(); <-done }()
			c := standin.NewCaller(t, ln.Addr().String())
			c.SetUp(1, "voice", 9*time.Second, 0)
			server.Await(t, isup.SetUp).Answer("there")
			c.Await(t, isup.Answer, 1)
		})
	}
}

// TestRetryAfter checks that the Retry-After of a call that the agent can't accept is bounded by the
// settings' maxRetryAfter, and is zero if the settings have no Retry-After.
func TestRetryAfter(t *testing.T) {
	for _, tc := range []struct {
		limits string
		want   time.Duration
	}{
		{`{"maxAttempts":5,"connectTimeout":500000,"retryAfter":true,"maxRetryAfter":2000000}`, time.Second},
		{`{"maxAttempts":5,"connectTimeout":500000,"retryAfter":true,"maxRetryAfter":400000}`, 400 * time.Millisecond},
		{`{"maxAttempts":5,"connectTimeout":500000,"retryAfter":false,"maxRetryAfter":2000000}`, 0},
	} {
		var all map[string]any
		require.NoError(t, json.Unmarshal(testConfigText(t, standin.NewBulletin(t)), &all))
		all["settings"].(map[string]any)["limits"] = json.RawMessage(tc.limits)
		text, err := json.Marshal(all)
		require.NoError(t, err)
		cfg, err := ParseConfig(text)
		require.NoError(t, err)
		d, err := New(cfg, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		for _, got := range []time.Duration{d.retryAfter, d.front.RetryAfter, d.api.front.RetryAfter} {
			require.Equal(t, tc.want, got)
		}
	}
}
