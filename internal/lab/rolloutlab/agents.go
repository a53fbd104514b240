package rolloutlab

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/lab"
	"woodrouter/rollout"
)

// kinds are those that hollow agents load.
var kinds = []string{"routes", "spread", "failover"}

// Marks in a text by which the laboratory has agents misbehave on purpose; a real agent's loader
// reads them as a comment.
const (
	markRefuse = "lab-refused-by-all"  // no hollow agent takes it
	markSome   = "lab-refused-by-some" // one hollow agent in eight does not take it
	markSpoil  = "lab-spoils-calls"    // calls fail where it is in force
)

// hollow is an agent without callers: a watcher and a loader that records.
type hollow struct {
	rollout.Agent
	world *World
	dir   string

	mu     sync.Mutex
	watch  *watcher.Watcher
	stop   context.CancelFunc
	done   chan struct{}
	marked bool    // a text that spoils calls is in force
	ended  float64 // of its calls, made up
	failed float64
	last   time.Time
}

// callRate is the calls a second that a hollow agent tells of.
const callRate = 100

func (a *hollow) start() error {
	a.mu.Lock()
	a.ended, a.failed, a.marked, a.last = 0, 0, false, time.Now()
	a.mu.Unlock()
	w, err := watcher.Open(watcher.Config{Service: a.Service, Zone: a.Zone, Region: a.Region, Data: a.dir,
		Machines: a.world.machinesFor(a.Zone)}, a.Agent, kinds, a, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	force := w.InForce()
	for _, kind := range kinds {
		if force[kind] == 0 {
			a.world.History.Sight(Sight{Agent: a.Name, Kind: kind, At: a.world.History.Now()})
		}
	}
	a.world.acknowledged(a.Name, w.Status()) // from its disk
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	a.mu.Lock()
	a.watch, a.stop, a.done = w, cancel, done
	a.mu.Unlock()
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return nil
}

// up tells whether it runs.
func (a *hollow) up() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop != nil
}

// cancel has it stop; wait waits until it has.
func (a *hollow) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
}

func (a *hollow) wait() {
	a.mu.Lock()
	done := a.done
	a.mu.Unlock()
	if done != nil {
		<-done
		a.world.acknowledged(a.Name, a.watch.Status())
	}
}

// saved tells whether all that it holds is on its disk.
func (a *hollow) saved() bool {
	a.mu.Lock()
	w := a.watch
	a.mu.Unlock()
	return strings.Contains(w.Status(), "saved true")
}

// errMarked is a refusal on purpose.
var errMarked = errors.New("line 1: marked to be refused")

// Check implements watcher.Loader.
func (a *hollow) Check(kind string, text []byte) error {
	if !strings.Contains(string(text), markRefuse) && !(strings.Contains(string(text), markSome) && a.picky()) {
		return nil
	}
	a.world.History.Sight(Sight{Agent: a.Name, Kind: kind, Sum: sum(string(text), false), Refused: true, At: a.world.History.Now()})
	return errMarked
}

// picky tells whether the agent is one of those that refuse what some refuse.
func (a *hollow) picky() bool {
	h := fnv.New32a()
	h.Write([]byte(a.Name))
	return h.Sum32()%8 == 0
}

// Apply implements watcher.Loader.
func (a *hollow) Apply(kind string, d rollout.Document, ok bool) error {
	s := Sight{Agent: a.Name, Kind: kind, At: a.world.History.Now()}
	if ok {
		s.Name, s.Revision, s.Sum = d.Name.String(), d.Revision, sum(string(d.Text), false)
	}
	a.world.History.Sight(s)
	a.count()
	if kind == "routes" {
		a.mu.Lock()
		a.marked = ok && strings.Contains(string(d.Text), markSpoil)
		a.mu.Unlock()
	}
	return nil
}

// Calls implements watcher.Loader.
func (a *hollow) Calls() (ended, failed uint64) {
	a.count()
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(a.ended), uint64(a.failed)
}

func (a *hollow) count() {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := callRate * time.Since(a.last).Seconds()
	a.last = time.Now()
	a.ended += n
	if a.marked {
		a.failed += n / 2
	}
}

// pollEvery is the pause between two looks at a real agent.
const pollEvery = 100 * time.Millisecond

var (
	inForce = regexp.MustCompile(`(?m)^(\S+): revision (\d+) of (\S+) in force$`)
	ownFile = regexp.MustCompile(`(?m)^(\S+): the agent's own file`)
	seen    = regexp.MustCompile(`(?m)^document (\S+): told of revision \d+, accepted (\d+)$`)
	refused = regexp.MustCompile(`(?m)^refused (\S+) revision (\d+):`)
)

// follow reads what a real agent says of itself until ctx ends.
func (w *World) follow(ctx context.Context, i int) {
	name := realAgent(i).Name
	for ; ctx.Err() == nil; lab.Sleep(ctx, pollEvery) {
		said := w.crew.ConsoleCommand(i, "ROLLOUT")
		for _, s := range read(said) {
			s.Agent, s.At = name, w.History.Now()
			w.History.Sight(s)
		}
		if said != "" {
			w.acknowledged(name, said)
		}
	}
}

// acknowledged takes from an agent's answer what it acknowledges: what it accepted and has saved.
func (w *World) acknowledged(agent, said string) {
	if !strings.Contains(said, "saved true") {
		return
	}
	all := map[string]uint64{}
	for _, m := range seen.FindAllStringSubmatch(said, -1) {
		all[m[1]] = number(m[2])
	}
	w.History.Acknowledged(agent, all)
}

func number(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64) // the expressions let only digits through
	return n
}

// read takes the sights from an agent's answer.
func read(said string) (out []Sight) {
	for _, m := range refused.FindAllStringSubmatch(said, -1) {
		kind, _, _ := strings.Cut(m[1], "@")
		out = append(out, Sight{Kind: kind, Name: m[1], Revision: number(m[2]), Refused: true})
	}
	for _, m := range inForce.FindAllStringSubmatch(said, -1) {
		out = append(out, Sight{Kind: m[1], Name: m[3], Revision: number(m[2])})
	}
	for _, m := range ownFile.FindAllStringSubmatch(said, -1) {
		out = append(out, Sight{Kind: m[1]})
	}
	return out
}

// restart ends a real agent with SIGKILL and starts it again; its callers know.
func (w *World) restart(ctx context.Context, i int) error {
	w.calls.MarkFaulty(i, true)
	w.crew.Procs[i].Kill()
	w.reach()
	if err := w.crew.StartAgent(i); err != nil {
		return err
	}
	err := w.crew.AwaitReady(ctx, i)
	w.calls.MarkFaulty(i, false)
	w.reach()
	return err
}

// spoilDisk makes a hollow agent's data directory unusable: a file stands where it was.
func (a *hollow) spoilDisk() error {
	if err := os.Rename(a.dir, a.dir+".away"); err != nil {
		return err
	}
	return os.WriteFile(a.dir, nil, 0o600)
}

// mendDisk puts the directory back.
func (a *hollow) mendDisk() error {
	if err := os.Remove(a.dir); err != nil {
		return err
	}
	return os.Rename(a.dir+".away", a.dir)
}
