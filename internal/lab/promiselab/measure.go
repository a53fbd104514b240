package promiselab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woodrouter/promise"
)

// Measurement configures the measurements. Zero fields take the defaults of docs/replication.md.
type Measurement struct {
	Bin      string
	Dir      string        // scratch directory; each group gets a subdirectory
	Promises int           // promises per latency figure; ten times as many per throughput figure
	Kills    int           // leaders killed to measure the time to a new one
	Sizes    []int         // numbers of resolutions stored before a member's disk is wiped
	Delay    time.Duration // one-way delay of every link, for the second latency figure
	Only     []string      // which of latency, throughput, leader and catch-up to run; nil: all
}

// measureTimeout bounds the measurement of one figure.
const measureTimeout = 5 * time.Minute

// Run measures and writes the tables of docs/replication.md to out, in Markdown.
func (m Measurement) Run(ctx context.Context, out io.Writer) error {
	m.Promises, m.Kills = cmp.Or(m.Promises, 1000), cmp.Or(m.Kills, 10)
	m.Delay = cmp.Or(m.Delay, 20*time.Millisecond)
	if m.Sizes == nil {
		m.Sizes = []int{1000, 10_000, 100_000}
	}
	for _, part := range []struct {
		name string
		run  func(context.Context, io.Writer) error
	}{{"latency", m.latency}, {"throughput", m.throughput}, {"leader", m.electionTime}, {"catch-up", m.catchUp}} {
		if m.Only != nil && !slices.Contains(m.Only, part.name) {
			continue
		}
		if err := part.run(ctx, out); err != nil {
			return err
		}
		fmt.Fprintln(out)
	}
	return nil
}

// withGroup runs do on a new group of n members that has a leader.
func (m Measurement) withGroup(ctx context.Context, name string, n int, entries uint64, do func(context.Context, *Group) error) error {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout)
	defer cancel()
	dir := filepath.Join(m.Dir, name)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	g, err := StartGroup(m.Bin, dir, n, 1, entries)
	if err != nil {
		return err
	}
	defer g.Close()
	if _, err := g.AwaitLeader(ctx); err != nil {
		return err
	}
	if err := do(ctx, g); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// newHistogram returns a histogram of microseconds, up to one minute, with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// recordDuration drops values above one minute: they occur only when the context has ended.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(d.Microseconds()) }

func formatMillis(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

func newResolution(call string) promise.Entry {
	return promise.Entry{Op: promise.OpResolve, Call: call, Answer: promise.AnswerServed, Server: "s1",
		Description: make([]byte, 200), AtUs: time.Now().UnixMicro()}
}

// latency measures the commit latency of promises made one at a time.
func (m Measurement) latency(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| members | link delay, each way | p50 | p99 |\n| --- | --- | --- | --- |")
	for _, n := range []int{3, 5} {
		for _, delay := range []time.Duration{0, m.Delay} {
			err := m.withGroup(ctx, fmt.Sprintf("latency-%d-%v", n, delay), n, 8192, func(ctx context.Context, g *Group) error {
				g.Mesh.DelayAll(delay)
				c, h := g.Client(), newHistogram()
				defer c.Close()
				for i := range m.Promises {
					began := time.Now()
					if _, err := c.Propose(ctx, newResolution(fmt.Sprint("l", i))); err != nil {
						return err
					}
					recordDuration(h, time.Since(began))
				}
				fmt.Fprintf(out, "| %d | %v | %s | %s |\n", n, delay, formatMillis(h.ValueAtQuantile(50)), formatMillis(h.ValueAtQuantile(99)))
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// throughput measures the promises per second that many proposers together get from one group.
func (m Measurement) throughput(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| members | proposers | promises a second | p50 | p99 |\n| --- | --- | --- | --- | --- |")
	for _, n := range []int{3, 5} {
		for _, proposers := range []int{16, 128} {
			err := m.withGroup(ctx, fmt.Sprintf("throughput-%d-%d", n, proposers), n, 8192, func(ctx context.Context, g *Group) error {
				h, took, err := resolveConcurrently(ctx, g, proposers, 10*m.Promises)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "| %d | %d | %.0f | %s | %s |\n", n, proposers, float64(10*m.Promises)/took.Seconds(),
					formatMillis(h.ValueAtQuantile(50)), formatMillis(h.ValueAtQuantile(99)))
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// resolveConcurrently resolves total calls through concurrent proposers.
func resolveConcurrently(ctx context.Context, g *Group, proposers, total int) (*hdrhistogram.Histogram, time.Duration, error) {
	var (
		next  atomic.Int64
		mu    sync.Mutex
		all   = newHistogram()
		first error
		work  sync.WaitGroup
	)
	began := time.Now()
	for range proposers {
		work.Go(func() {
			c, h := g.Client(), newHistogram()
			defer c.Close()
			var err error
			for i := next.Add(1); i <= int64(total) && err == nil; i = next.Add(1) {
				sentAt := time.Now()
				_, err = c.Propose(ctx, newResolution(fmt.Sprint("t", i)))
				recordDuration(h, time.Since(sentAt))
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			if first == nil {
				first = err
			}
		})
	}
	work.Wait()
	return all, time.Since(began), first
}

// electionTime measures the time from a leader's SIGKILL to the next promise.
func (m Measurement) electionTime(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| members | leaders killed | p50 | longest |\n| --- | --- | --- | --- |")
	for _, n := range []int{3, 5} {
		err := m.withGroup(ctx, fmt.Sprintf("leader-%d", n), n, 8192, func(ctx context.Context, g *Group) error {
			h := newHistogram()
			for i := range m.Kills {
				took, err := g.timeFailover(ctx, fmt.Sprint("k", i))
				if err != nil {
					return err
				}
				recordDuration(h, took)
			}
			fmt.Fprintf(out, "| %d | %d | %s | %s |\n", n, m.Kills, formatMillis(h.ValueAtQuantile(50)), formatMillis(h.Max()))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// timeFailover kills the leader, measures the time to the next promise, and restarts the member.
func (g *Group) timeFailover(ctx context.Context, call string) (time.Duration, error) {
	leader, err := g.AwaitLeader(ctx)
	if err != nil {
		return 0, err
	}
	c := g.Client()
	defer c.Close()
	// The client must know the leader before it is killed.
	if _, err := c.Propose(ctx, newResolution(call+"-before")); err != nil {
		return 0, err
	}
	began := time.Now()
	g.Procs[leader].Kill()
	for {
		if _, err = c.Propose(ctx, newResolution(call)); err == nil {
			break
		}
		if ctx.Err() != nil {
			return 0, err
		}
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	return took, g.Procs[leader].Start()
}

// Log entries between snapshots while catch-up is measured, and the wait for the next snapshot: Raft
// checks every 5 to 10 s whether one is due.
const (
	catchUpSnapshotEntries = 4096
	snapshotTimeout        = 15 * time.Second
)

// catchUp measures how long a member with an empty disk takes to catch up with the group, from the
// moment at which it is killed to be replaced.
func (m Measurement) catchUp(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| resolutions held | snapshot | caught up after |\n| --- | --- | --- |")
	for _, size := range m.Sizes {
		err := m.withGroup(ctx, fmt.Sprintf("catchup-%d", size), 3, catchUpSnapshotEntries, func(ctx context.Context, g *Group) error {
			if _, _, err := resolveConcurrently(ctx, g, 128, size); err != nil {
				return err
			}
			leader, err := g.AwaitLeader(ctx)
			if err != nil {
				return err
			}
			held, err := g.Status(leader)
			if err != nil {
				return err
			}
			for began := time.Now(); size > catchUpSnapshotEntries && g.snapshotMB(leader) == 0 && time.Since(began) < snapshotTimeout; {
				time.Sleep(100 * time.Millisecond) // so that the member restores a snapshot, as in a long-lived group
			}
			name := "n1"
			if leader == name {
				name = "n2"
			}
			began := time.Now()
			if err := g.Replace(ctx, name, name+"-new"); err != nil {
				return err
			}
			if err := g.AwaitApplied(ctx, name, held.Applied); err != nil {
				return err
			}
			fmt.Fprintf(out, "| %d | %.1f MB | %s |\n", size, g.snapshotMB(leader), formatMillis(time.Since(began).Microseconds()))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// snapshotMB returns the size of a member's largest snapshot, in MB (2^20 bytes).
func (g *Group) snapshotMB(name string) float64 {
	files, _ := filepath.Glob(filepath.Join(g.configs[name].Data, "snapshots", "*", "state.bin"))
	most := int64(0)
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			most = max(most, info.Size())
		}
	}
	return float64(most) / (1 << 20)
}
