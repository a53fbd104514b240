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

// SetMode sets whether the agents spread their load alone or in common (docs/spread.md).
func (r *Scenario) SetMode(mode string) error {
	r.Gossip = mode == "common"
	if mode == "common" {
		r.Env = writeSpreadFile
	}
	return nil
}

// writeSpreadFile writes an agent's configuration of load spreading, in which the other agents have their
// proxies' addresses, and returns the environment variable that names the file.
func writeSpreadFile(fleet *cluster.Cluster, agent int) ([]string, error) {
	file := spreader.Config{Mode: "common", Members: &members.Config{Bind: fleet.GossipAddr(agent), Advertise: fleet.GossipProxyAddr(agent),
		Far: fleet.Agents >= 100}} // on one machine, this many agents respond as slowly as distant ones
	for i := range min(fleet.Agents, 3) { // seeds to join through
		file.Members.Seeds = append(file.Members.Seeds, fleet.GossipProxyAddr(i))
	}
	text, err := yaml.Marshal(file)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(fleet.Dir, fmt.Sprintf("a%d-spread.yaml", agent))
	return []string{"WOODROUTER_SPREAD=" + path}, os.WriteFile(path, text, 0o600)
}

// Print writes the summary of a run, and its windows if wanted.
func (r Report) Print(out io.Writer, name string, windows bool) {
	if windows {
		fmt.Fprintf(out, "%-10s %6s %-20s %7s %6s %6s %6s %6s %6s %6s %6s %6s %5s %6s %7s\n", "policy", "at", "fault", "setups/s",
			"disp", "peak", "idle s", "full", "att", "shakes", "probes", "open", "lost", "served", "p99")
		for _, window := range r.Windows {
			fmt.Fprintf(out, "%-10s %6.1f %-20s %7.0f %6.2f %6.2f %6.1f %5.1f%% %6.2f %6d %6d %6d %5d %5.1f%% %7v\n", name, window.At.Seconds(), window.Fault,
				window.SetUpRate, window.Dispersion, window.PeakLoad, window.IdleSeconds, 100*window.FullShare, window.AttemptsPerTry, window.Handshakes, window.Probes, window.Connections, window.Lost, 100*window.WorthShare, window.P99)
		}
	}
	withoutFault := func(f WindowStats) bool { return f.Fault == "" && f.At > 2*r.Window }
	withFault := func(f WindowStats) bool { return f.Fault != "" }
	sum := r.Outcome
	fmt.Fprintf(out, "%s, seed %d, %d agents, %d servers, load %.2f: dispersion in calm %.2f (worst %.2f), with faults %.2f (worst %.2f); idle %.1f server-seconds; full %.2f%% in calm; served %.1f%% of %d calls; %d refused, %d failed, %d unheard, %d lost, %d cut\n",
		name, r.Seed, r.Agents, r.Servers, r.Load, r.Mean(withoutFault, WindowStats.dispersion), r.Worst(withoutFault, WindowStats.dispersion), r.Mean(withFault, WindowStats.dispersion), r.Worst(withFault, WindowStats.dispersion),
		r.total(func(f WindowStats) float64 { return f.IdleSeconds }), 100*r.Mean(withoutFault, func(f WindowStats) float64 { return f.FullShare }), 100*sum.Share(), sum.Calls, sum.Refused, sum.Failed, sum.Unheard, sum.Lost, sum.Cut)
	for _, rule := range slices.Sorted(maps.Keys(r.BrokenRules)) {
		fmt.Fprintf(out, "%s: rule broken %d times: %s\n", name, r.BrokenRules[rule], rule)
	}
	if r.Err != nil {
		fmt.Fprintln(out, r.Err)
	}
	if r.SpreadStatus != "" {
		fmt.Fprint(out, r.SpreadStatus)
	}
}

func (f WindowStats) dispersion() float64 { return f.Dispersion }

func (r Report) total(of func(WindowStats) float64) (sum float64) {
	for _, window := range r.Windows {
		sum += of(window)
	}
	return sum
}
