package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSlopes checks a linear and a quadratic series, and that an outlier among the runs of one size does not
// change the line, as their median counts.
func TestSlopes(t *testing.T) {
	all := read(strings.NewReader(`pkg: woodrouter/policy
BenchmarkA/servers=10-8   100  30 ns/op  100 B/op
BenchmarkA/servers=100-8  100 210 ns/op  10000 B/op
BenchmarkA/servers=200-8  100 410 ns/op  40000 B/op
BenchmarkA/servers=200-8  100 400 ns/op  40000 B/op
BenchmarkA/servers=200-8  100 990 ns/op  40000 B/op
BenchmarkNoSize-8 100 3 ns/op
PASS
`))
	require.Len(t, all, 2)
	at0, slope, residual, power := fit(all[0].points())
	assert.InDelta(t, 2, slope, 1e-9)
	assert.InDelta(t, 10, at0, 1e-9)
	assert.InDelta(t, 0, residual, 1e-9)
	assert.InDelta(t, 0.9, power, 0.05)
	_, _, residual, power = fit(all[1].points())
	assert.InDelta(t, 2, power, 1e-9)
	assert.Greater(t, residual, 0.1)
	var out strings.Builder
	write(&out, all)
	assert.Contains(t, out.String(), "| policy A | ns/op | servers | 10: 30, 100: 210, 200: 410 | 2 | 10 | 0.0 % |")
}
