package fleetlab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/fleet/members"
	"woodrouter/internal/fleet/spreader"
	"woodrouter/internal/lab/cluster"
)

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) { pause(ctx, d) }

// Mode has the agents spread their load alone or in common (docs/spread.md).
func (r *Run) Mode(mode string) error {
	r.Gossip = mode == "common"
	if mode == "common" {
		r.Env = common
	}
	return nil
}

// common writes an agent's file of spreading load: the others are behind the proxies.
func common(c *cluster.Cluster, agent int) ([]string, error) {
	file := spreader.Config{Mode: "common", Members: &members.Config{Bind: c.GossipAddr(agent), Advertise: c.GossipProxyAddr(agent),
		Far: c.Agents >= 100}} // so many on one machine are as slow as far ones
	for i := range min(c.Agents, 3) { // some others to join by
		file.Members.Seeds = append(file.Members.Seeds, c.GossipProxyAddr(i))
	}
	text, err := yaml.Marshal(file)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, fmt.Sprintf("a%d-spread.yaml", agent))
	return []string{"WOODROUTER_SPREAD=" + path}, os.WriteFile(path, text, 0o600)
}

// Tell writes a run's windows and their sum.
func (r Report) Tell(out io.Writer, name string, windows bool) {
	if windows {
		fmt.Fprintf(out, "%-10s %6s %-20s %7s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s %7s\n", "policy", "at", "fault", "setups/s",
			"disp", "peak", "idle s", "full", "att", "shakes", "probes", "open", "lost", "served", "p99")
		for _, f := range r.Frames {
			fmt.Fprintf(out, "%-10s %6.1f %-20s %7.0f %6.2f %6.2f %6.1f %5.1f%% %6.2f %6d %6d %6d %5d %5.1f%% %7v\n", name, f.At.Seconds(), f.Fault,
				f.Offered, f.Dispersion, f.Peak, f.Idle, 100*f.Full, f.Attempts, f.Handshakes, f.Probes, f.Open, f.Lost, 100*f.Share, f.P99)
		}
	}
	calm := func(f Frame) bool { return f.Fault == "" && f.At > 2*r.Window }
	any := func(f Frame) bool { return f.Fault != "" }
	s := r.Sum
	fmt.Fprintf(out, "%s, seed %d, %d agents, %d servers, load %.2f: dispersion in calm %.2f (worst %.2f), with faults %.2f (worst %.2f); idle %.1f server-seconds; full %.2f%% in calm; served %.1f%% of %d calls; %d refused, %d failed, %d unheard, %d lost, %d cut\n",
		name, r.Seed, r.Agents, r.Servers, r.Load, r.Mean(calm, Frame.dispersion), r.Worst(calm, Frame.dispersion), r.Mean(any, Frame.dispersion), r.Worst(any, Frame.dispersion),
		r.total(func(f Frame) float64 { return f.Idle }), 100*r.Mean(calm, func(f Frame) float64 { return f.Full }), 100*s.Share(), s.Calls, s.Refused, s.Failed, s.Unheard, s.Lost, s.Cut)
	for _, rule := range slices.Sorted(maps.Keys(r.Broken)) {
		fmt.Fprintf(out, "%s: rule broken %d times: %s\n", name, r.Broken[rule], rule)
	}
	if r.Err != nil {
		fmt.Fprintln(out, r.Err)
	}
	if r.Said != "" {
		fmt.Fprint(out, r.Said)
	}
}

func (f Frame) dispersion() float64 { return f.Dispersion }

func (r Report) total(of func(Frame) float64) (sum float64) {
	for _, f := range r.Frames {
		sum += of(f)
	}
	return sum
}
