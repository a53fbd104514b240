package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `{"nInstances":6,"rank":0,"resolution":5000,
	"profiles":[{"name":"voice","goalTime":1500000,"deadline":9000000,"worth":1}],"stats":{"how":"piggyback"},
	"limits":{"maxAttempts":4,"connectTimeout":500000},
	"guarantees":{"answerSlack":20000,"drainGrace":1000000,"cold":15000000,"coldFrom":0.31,"fallMultiple":2,"tipAfter":1000000},
	"domain":{"clearWait":300000}}`

// TestCheck checks that the error names the field that is missing or contradicts another.
func TestCheck(t *testing.T) {
	require.NoError(t, Check([]byte(validSettings)))
	for _, tc := range []struct {
		part, field string
		value       any // nil: the field is absent
		want        string
	}{
		{"guarantees", "drainGrace", nil, "field guarantees.drainGrace: missing"},
		{"guarantees", "drainGrace", 5000, "field guarantees.drainGrace: 5ms is no more than resolution"},
		{"guarantees", "fallMultiple", 0, "leaves a cold server no budget"},
		{"guarantees", "tipAfter", 0, "leaves a cold server no budget"},
		{"guarantees", "coldFrom", 1.5, "leaves a cold server no budget"},
		{"limits", "maxAttempts", nil, "field limits.maxAttempts: missing"},
		{"limits", "maxAttempts", 0, "field limits.maxAttempts: 0"},
		{"domain", "clearWait", -1, "field domain.clearWait"},
		{"", "domain", nil, "field domain.clearWait: missing"},
		{"", "profiles", []any{}, "field profiles: none"},
		{"", "rank", 6, "field rank: 6 is outside 0 to 5"},
	} {
		var all map[string]any
		require.NoError(t, json.Unmarshal([]byte(validSettings), &all))
		in := all
		if tc.part != "" {
			in = all[tc.part].(map[string]any)
		}
		if in[tc.field] = tc.value; tc.value == nil {
			delete(in, tc.field)
		}
		text, err := json.Marshal(all)
		require.NoError(t, err)
		assert.ErrorContains(t, Check(text), tc.want)
	}
}
