package watcher

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// InForce returns the revision in force of each kind; 0 if the agent's own file, or none, is in force.
func (w *Watcher) InForce() map[string]uint64 { return maps.Clone(w.status.Load().inForce) }

// Traffic returns the bytes sent and received so far.
func (w *Watcher) Traffic() (sent, received int64) {
	return w.traffic.Sent.Load(), w.traffic.Received.Load()
}

// Status returns the state in words, for the console.
func (w *Watcher) Status() string {
	v := w.status.Load()
	var b strings.Builder
	heard := "never"
	if !v.lastAnswer.IsZero() {
		heard = time.Since(v.lastAnswer).Round(time.Millisecond).String() + " ago"
	}
	fmt.Fprintf(&b, "machine %s, heard %s, version %d, lagging %v, saved %v\n", cmp.Or(v.machine, "none"), heard, v.version, v.lagging, !v.unsaved)
	for _, kind := range w.kinds {
		if n := v.inForce[kind]; n != 0 {
			fmt.Fprintf(&b, "%s: revision %d of %s in force\n", kind, n, v.names[kind])
		} else {
			fmt.Fprintf(&b, "%s: the agent's own file, or none\n", kind)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.known)) {
		fmt.Fprintf(&b, "document %s: told of revision %d, accepted %d\n", name, v.known[name], v.accepted[name])
	}
	for _, r := range v.refused {
		fmt.Fprintf(&b, "refused %s revision %d: %s\n", r.Name, r.Revision, strings.ReplaceAll(r.Why, "\n", "; "))
	}
	return b.String()
}

// WriteStats passes each figure of STATS to line.
func (w *Watcher) WriteStats(line func(kind string, n int64, name string)) {
	v := w.status.Load()
	for _, kind := range w.kinds {
		line("g", int64(v.inForce[kind]), "rollout_revision."+kind)
	}
	asNumber := map[bool]int64{true: 1}
	line("g", int64(v.version), "rollout_version")
	line("g", asNumber[v.unsaved], "rollout_unsaved")
	line("g", asNumber[v.lagging], "rollout_lagging")
	age := int64(-1) // never
	if !v.lastAnswer.IsZero() {
		age = time.Since(v.lastAnswer).Milliseconds()
	}
	line("g", age, "rollout_heard_ms")
	line("c", w.counts.watches.Load(), "rollout_watches")
	line("c", w.counts.moves.Load(), "rollout_moves")
	line("c", w.counts.refused.Load(), "rollout_refused")
	line("c", w.counts.invalid.Load(), "rollout_forged")
	line("c", w.counts.behind.Load(), "rollout_behind")
	sent, received := w.Traffic()
	line("c", sent, "rollout_sent")
	line("c", received, "rollout_received")
}
