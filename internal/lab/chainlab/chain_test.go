package chainlab

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestChain: tens of calls through a chain of three agents, and through the same chain without
// them. Every call is answered once, at the full depth, after one set-up at each server. Counts
// only: how long it takes is not looked at.
func TestChain(t *testing.T) {
	const calls = 60
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := newRig(bin, t.TempDir())
	require.NoError(t, err)
	defer r.close()
	for name, agents := range map[string]int{"agents": 3, "direct": 0} {
		t.Run(name, func(t *testing.T) {
			c, err := r.chain(ctx, 3, agents > 0)
			require.NoError(t, err)
			defer c.close()
			require.Len(t, c.agents, agents)
			got, err := c.play(ctx, load{rate: 200, span: time.Minute, most: calls, seed: 1})
			require.NoError(t, err)
			require.NoError(t, got.err())
			assert.Equal(t, []int{calls, calls, 0, 0}, []int{got.asked, got.answered, got.refused, got.lost})
			assert.EqualValues(t, calls, got.latency.TotalCount())
			assert.EqualValues(t, 3*calls, got.hops.TotalCount(), "each hop of each call")
			for k, p := range c.peers {
				assert.EqualValues(t, calls, p.setUps.Load(), "set-ups at server %d", k)
				assert.Zero(t, p.twice.Load()+p.refused.Load(), "server %d", k)
				last := int64(0)
				if k == 2 {
					last = calls
				}
				assert.Equal(t, last, p.last.Load(), "answered by server %d itself", k)
			}
			for _, a := range c.agents {
				spent, err := processorTime(a.PID())
				assert.NoError(t, err)
				rss, err := resident(a.PID())
				assert.NoError(t, err)
				fds, err := descriptors(a.PID())
				assert.NoError(t, err)
				assert.True(t, spent >= 0 && rss > 1<<20 && fds > 3, "%v, %d bytes, %d descriptors", spent, rss, fds)
				if t.Failed() {
					t.Log(a.Log())
				}
			}
		})
	}
}
