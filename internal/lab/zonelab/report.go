package zonelab

import (
	"context"
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// FleetSizes are the numbers of agents that are measured.
var FleetSizes = []int{10, 100, 300}

// ReportFaults models every fault at every fleet size, with common decisions and with agents that decide
// alone, and writes the table of docs/failover.md in Markdown. If plotFile is not empty, it also plots
// the share of lost calls to that file.
func ReportFaults(out io.Writer, seed uint64, plotFile string) error {
	fmt.Fprintln(out, "| fault | agents | decided | calls lost | kept near | fail over | fail back | mode changes an agent | most over capacity |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	lost := map[string]plotter.XYs{}
	for _, fault := range Faults {
		for _, n := range FleetSizes {
			for _, common := range []bool{true, false} {
				result := Fleet{Agents: n, Zones: 4, Servers: 6, Load: 0.6, Seed: seed, Common: common}.Run(fault)
				how := "alone"
				if common {
					how = "in common"
				}
				fmt.Fprintf(out, "| %s | %d | %s | %.2f %% | %.2f %% | %s | %s | %d | %.0f %% |\n", fault.Name, n, how,
					100*share(result.Lost, result.Calls), 100*share(result.KeptHome, result.FromLiveZones), formatSeconds(result.FailOver), formatSeconds(result.FailBack), result.ModeChanges, 100*max(result.MaxOverload, 0))
				if fault.EndsAt > 0 {
					key := fault.Name + ", " + how
					lost[key] = append(lost[key], plotter.XY{X: float64(n), Y: 100 * share(result.Lost, result.Calls)})
				}
			}
		}
	}
	if plotFile == "" {
		return nil
	}
	return plotLost(lost, plotFile)
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// formatSeconds formats a time; 0 means that the event did not occur within the run.
func formatSeconds(s float64) string {
	if s == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f s", s)
}

func plotLost(lost map[string]plotter.XYs, file string) error {
	figure := plot.New()
	figure.Title.Text = "Calls lost to a dead zone"
	figure.X.Label.Text, figure.Y.Label.Text = "agents", "share of all calls, %"
	var lines []any
	for _, fault := range Faults {
		for _, how := range []string{"in common", "alone"} {
			if xy, ok := lost[fault.Name+", "+how]; ok {
				lines = append(lines, fault.Name+", "+how, xy)
			}
		}
	}
	if err := plotutil.AddLinePoints(figure, lines...); err != nil {
		return err
	}
	figure.Y.Min = 0
	return figure.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

// ReportMembership measures the cost of membership at every fleet size and writes the table.
func ReportMembership(ctx context.Context, out io.Writer, span time.Duration) error {
	fmt.Fprintln(out, "| agents | all know all after | datagrams an agent sends a second | bytes an agent sends a second | an epoch is heard by all after | a decider hears, bytes a second | of all summaries fresh there |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range FleetSizes {
		c, err := MeasureMembership(ctx, n, span)
		if err != nil {
			return fmt.Errorf("%d agents: %w", n, err)
		}
		fmt.Fprintf(out, "| %d | %.1f s | %.1f | %.0f | %d ms | %.0f | %.1f %% |\n", n, c.JoinTime.Seconds(), c.DatagramRate, c.ByteRate, c.EpochDelay.Milliseconds(), c.SummaryByteRate, 100*c.FreshShare)
	}
	return nil
}
