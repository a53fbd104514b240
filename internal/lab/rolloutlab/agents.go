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
	markRefuseAll  = "lab-refused-by-all"  // no hollow agent takes it
	markRefuseSome = "lab-refused-by-some" // one hollow agent in eight does not take it
	markFailCalls  = "lab-spoils-calls"    // calls fail where it is in force
)

// hollowAgent is an agent without callers: a watcher and a loader that records.
type hollowAgent struct {
	rollout.Agent
	world *Fleet
	dir   string

	mu          sync.Mutex
	watcher     *watcher.Watcher
	stop        context.CancelFunc
	done        chan struct{}
	callsFail   bool    // a text that spoils calls is in force
	callsEnded  float64 // of its calls, made up
	callsFailed float64
	countedAt   time.Time
}

// callRate is the calls a second that a hollow agent tells of.
const callRate = 100

func (a *hollowAgent) start() error {
	a.mu.Lock()
	a.callsEnded, a.callsFailed, a.callsFail, a.countedAt = 0, 0, false, time.Now()
	a.mu.Unlock()
	w, err := watcher.Open(watcher.Config{Service: a.Service, Zone: a.Zone, Region: a.Region, Data: a.dir,
		Machines: a.world.machinesFor(a.Zone)}, a.Agent, kinds, a, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	force := w.InForce()
	for _, kind := range kinds {
		if force[kind] == 0 {
			a.world.History.RecordObservation(Observation{Agent: a.Name, Kind: kind, At: a.world.History.Now()})
		}
	}
	a.world.recordAcknowledged(a.Name, w.Status()) // from its disk
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	a.mu.Lock()
	a.watcher, a.stop, a.done = w, cancel, done
	a.mu.Unlock()
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return nil
}

// running tells whether it runs.
func (a *hollowAgent) running() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop != nil
}

// cancel has it stop; wait waits until it has.
func (a *hollowAgent) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
}

func (a *hollowAgent) wait() {
	a.mu.Lock()
	done := a.done
	a.mu.Unlock()
	if done != nil {
		<-done
		a.world.recordAcknowledged(a.Name, a.watcher.Status())
	}
}

// saved tells whether all that it holds is on its disk.
func (a *hollowAgent) saved() bool {
	a.mu.Lock()
	w := a.watcher
	a.mu.Unlock()
	return strings.Contains(w.Status(), "saved true")
}

// errMarkedRefusal is a refusal on purpose.
var errMarkedRefusal = errors.New("line 1: marked to be refused")

// Check implements watcher.Loader.
func (a *hollowAgent) Check(kind string, text []byte) error {
	if !strings.Contains(string(text), markRefuseAll) && !(strings.Contains(string(text), markRefuseSome) && a.refusesMarkSome()) {
		return nil
	}
	a.world.History.RecordObservation(Observation{Agent: a.Name, Kind: kind, Sum: textSum(string(text), false), Refused: true, At: a.world.History.Now()})
	return errMarkedRefusal
}

// refusesMarkSome tells whether the agent is one of those that refuse what some refuse.
func (a *hollowAgent) refusesMarkSome() bool {
	h := fnv.New32a()
	h.Write([]byte(a.Name))
	return h.Sum32()%8 == 0
}

// Apply implements watcher.Loader.
func (a *hollowAgent) Apply(kind string, d rollout.Document, ok bool) error {
	s := Observation{Agent: a.Name, Kind: kind, At: a.world.History.Now()}
	if ok {
		s.Name, s.Revision, s.Sum = d.Name.String(), d.Revision, textSum(string(d.Text), false)
	}
	a.world.History.RecordObservation(s)
	a.countCalls()
	if kind == "routes" {
		a.mu.Lock()
		a.callsFail = ok && strings.Contains(string(d.Text), markFailCalls)
		a.mu.Unlock()
	}
	return nil
}

// Calls implements watcher.Loader.
func (a *hollowAgent) Calls() (ended, failed uint64) {
	a.countCalls()
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint64(a.callsEnded), uint64(a.callsFailed)
}

func (a *hollowAgent) countCalls() {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := callRate * time.Since(a.countedAt).Seconds()
	a.countedAt = time.Now()
	a.callsEnded += n
	if a.callsFail {
		a.callsFailed += n / 2
	}
}

// agentPollInterval is the pause between two looks at a real agent.
const agentPollInterval = 100 * time.Millisecond

var (
	inForceLine  = regexp.MustCompile(`(?m)^(\S+): revision (\d+) of (\S+) in force$`)
	ownFileLine  = regexp.MustCompile(`(?m)^(\S+): the agent's own file`)
	acceptedLine = regexp.MustCompile(`(?m)^document (\S+): told of revision \d+, accepted (\d+)$`)
	refusedLine  = regexp.MustCompile(`(?m)^refused (\S+) revision (\d+):`)
)

// pollAgent reads what a real agent says of itself until ctx ends.
func (w *Fleet) pollAgent(ctx context.Context, i int) {
	name := realAgent(i).Name
	for ; ctx.Err() == nil; lab.Sleep(ctx, agentPollInterval) {
		said := w.cluster.ConsoleCommand(i, "ROLLOUT")
		for _, s := range parseObservations(said) {
			s.Agent, s.At = name, w.History.Now()
			w.History.RecordObservation(s)
		}
		if said != "" {
			w.recordAcknowledged(name, said)
		}
	}
}

// recordAcknowledged takes from an agent's answer what it acknowledges: what it accepted and has saved.
func (w *Fleet) recordAcknowledged(agent, said string) {
	if !strings.Contains(said, "saved true") {
		return
	}
	all := map[string]uint64{}
	for _, m := range acceptedLine.FindAllStringSubmatch(said, -1) {
		all[m[1]] = parseNumber(m[2])
	}
	w.History.RecordAcknowledged(agent, all)
}

func parseNumber(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64) // the expressions let only digits through
	return n
}

// parseObservations takes the sights from an agent's answer.
func parseObservations(said string) (out []Observation) {
	for _, m := range refusedLine.FindAllStringSubmatch(said, -1) {
		kind, _, _ := strings.Cut(m[1], "@")
		out = append(out, Observation{Kind: kind, Name: m[1], Revision: parseNumber(m[2]), Refused: true})
	}
	for _, m := range inForceLine.FindAllStringSubmatch(said, -1) {
		out = append(out, Observation{Kind: m[1], Name: m[3], Revision: parseNumber(m[2])})
	}
	for _, m := range ownFileLine.FindAllStringSubmatch(said, -1) {
		out = append(out, Observation{Kind: m[1]})
	}
	return out
}

// restartAgent ends a real agent with SIGKILL and starts it again; its callers know.
func (w *Fleet) restartAgent(ctx context.Context, i int) error {
	w.callers.MarkFaulty(i, true)
	w.cluster.Procs[i].Kill()
	w.updateReachable()
	if err := w.cluster.StartAgent(i); err != nil {
		return err
	}
	err := w.cluster.AwaitReady(ctx, i)
	w.callers.MarkFaulty(i, false)
	w.updateReachable()
	return err
}

// breakDisk makes a hollow agent's data directory unusable: a file stands where it was.
func (a *hollowAgent) breakDisk() error {
	if err := os.Rename(a.dir, a.dir+".away"); err != nil {
		return err
	}
	return os.WriteFile(a.dir, nil, 0o600)
}

// restoreDisk puts the directory back.
func (a *hollowAgent) restoreDisk() error {
	if err := os.Remove(a.dir); err != nil {
		return err
	}
	return os.Rename(a.dir+".away", a.dir)
}
