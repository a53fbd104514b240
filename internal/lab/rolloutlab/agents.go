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

// kinds are the kinds of documents that hollow agents load.
var kinds = []string{"routes", "spread", "failover"}

// Marks in a document's text that make hollow agents misbehave on purpose. A real agent's loader reads them
// as a comment.
const (
	markRefuseAll  = "lab-refused-by-all"  // every hollow agent refuses the text
	markRefuseSome = "lab-refused-by-some" // one hollow agent in eight refuses the text
	markFailCalls  = "lab-spoils-calls"    // half of the calls fail where the text is in force
)

// hollowAgent is an agent without callers: a watcher with a loader that records what comes into force.
type hollowAgent struct {
	rollout.Agent
	fleet *Fleet
	dir   string

	mu          sync.Mutex
	watcher     *watcher.Watcher
	stop        context.CancelFunc
	done        chan struct{}
	callsFail   bool    // a text with markFailCalls is in force
	callsEnded  float64 // simulated calls so far
	callsFailed float64
	countedAt   time.Time
}

// callRate is the number of simulated calls per second that a hollow agent reports.
const callRate = 100

// start opens the agent's watcher, which loads what its disk holds, and runs it.
func (a *hollowAgent) start() error {
	a.mu.Lock()
	a.callsEnded, a.callsFailed, a.callsFail, a.countedAt = 0, 0, false, time.Now()
	a.mu.Unlock()
	w, err := watcher.Open(watcher.Config{Service: a.Service, Zone: a.Zone, Region: a.Region, Data: a.dir,
		Machines: a.fleet.machinesFor(a.Zone)}, a.Agent, kinds, a, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	force := w.InForce()
	for _, kind := range kinds {
		if force[kind] == 0 {
			a.fleet.History.RecordObservation(Observation{Agent: a.Name, Kind: kind, At: a.fleet.History.Now()})
		}
	}
	a.fleet.recordAcknowledged(a.Name, w.Status()) // loaded from its disk
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

// running tells whether the agent runs.
func (a *hollowAgent) running() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stop != nil
}

// cancel begins the agent's stop; wait waits for its end.
func (a *hollowAgent) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
		a.stop = nil
	}
}

// wait waits until the agent has stopped, and records what it acknowledged last.
func (a *hollowAgent) wait() {
	a.mu.Lock()
	done := a.done
	a.mu.Unlock()
	if done != nil {
		<-done
		a.fleet.recordAcknowledged(a.Name, a.watcher.Status())
	}
}

// saved tells whether everything that the agent holds is on its disk.
func (a *hollowAgent) saved() bool {
	a.mu.Lock()
	w := a.watcher
	a.mu.Unlock()
	return strings.Contains(w.Status(), "saved true")
}

// errMarkedRefusal is the error of a text that is marked to be refused.
var errMarkedRefusal = errors.New("line 1: marked to be refused")

// Check implements watcher.Loader.
func (a *hollowAgent) Check(kind string, text []byte) error {
	if !strings.Contains(string(text), markRefuseAll) && !(strings.Contains(string(text), markRefuseSome) && a.refusesMarkSome()) {
		return nil
	}
	a.fleet.History.RecordObservation(Observation{Agent: a.Name, Kind: kind, Sum: textSum(string(text), false), Refused: true, At: a.fleet.History.Now()})
	return errMarkedRefusal
}

// refusesMarkSome tells whether the agent is one of the eighth that refuses texts with markRefuseSome.
func (a *hollowAgent) refusesMarkSome() bool {
	h := fnv.New32a()
	h.Write([]byte(a.Name))
	return h.Sum32()%8 == 0
}

// Apply implements watcher.Loader.
func (a *hollowAgent) Apply(kind string, d rollout.Document, ok bool) error {
	s := Observation{Agent: a.Name, Kind: kind, At: a.fleet.History.Now()}
	if ok {
		s.Name, s.Revision, s.Sum = d.Name.String(), d.Revision, textSum(string(d.Text), false)
	}
	a.fleet.History.RecordObservation(s)
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

// countCalls adds the simulated calls since the last count. Half of them fail while a text with markFailCalls
// is in force.
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

// agentPollInterval is the pause between two polls of a real agent's console.
const agentPollInterval = 100 * time.Millisecond

var (
	inForceLine  = regexp.MustCompile(`(?m)^(\S+): revision (\d+) of (\S+) in force$`)
	ownFileLine  = regexp.MustCompile(`(?m)^(\S+): the agent's own file`)
	acceptedLine = regexp.MustCompile(`(?m)^document (\S+): told of revision \d+, accepted (\d+)$`)
	refusedLine  = regexp.MustCompile(`(?m)^refused (\S+) revision (\d+):`)
)

// pollAgent polls the ROLLOUT console command of a real agent until ctx ends, and records its answers.
func (f *Fleet) pollAgent(ctx context.Context, i int) {
	name := realAgent(i).Name
	for ; ctx.Err() == nil; lab.Sleep(ctx, agentPollInterval) {
		answer := f.cluster.ConsoleCommand(i, "ROLLOUT")
		for _, s := range parseObservations(answer) {
			s.Agent, s.At = name, f.History.Now()
			f.History.RecordObservation(s)
		}
		if answer != "" {
			f.recordAcknowledged(name, answer)
		}
	}
}

// recordAcknowledged records the revisions that an agent's answer acknowledges: those it accepted and saved.
func (f *Fleet) recordAcknowledged(agent, answer string) {
	if !strings.Contains(answer, "saved true") {
		return
	}
	all := map[string]uint64{}
	for _, m := range acceptedLine.FindAllStringSubmatch(answer, -1) {
		all[m[1]] = parseNumber(m[2])
	}
	f.History.RecordAcknowledged(agent, all)
}

func parseNumber(s string) uint64 {
	n, _ := strconv.ParseUint(s, 10, 64) // the regular expressions match only digits
	return n
}

// parseObservations reads the documents in force and the refused ones from an agent's console answer.
func parseObservations(answer string) (out []Observation) {
	for _, m := range refusedLine.FindAllStringSubmatch(answer, -1) {
		kind, _, _ := strings.Cut(m[1], "@")
		out = append(out, Observation{Kind: kind, Name: m[1], Revision: parseNumber(m[2]), Refused: true})
	}
	for _, m := range inForceLine.FindAllStringSubmatch(answer, -1) {
		out = append(out, Observation{Kind: m[1], Name: m[3], Revision: parseNumber(m[2])})
	}
	for _, m := range ownFileLine.FindAllStringSubmatch(answer, -1) {
		out = append(out, Observation{Kind: m[1]})
	}
	return out
}

// restartAgent ends a real agent with SIGKILL and starts it again. The callers don't expect answers
// from it meanwhile.
func (f *Fleet) restartAgent(ctx context.Context, i int) error {
	f.callers.MarkFaulty(i, true)
	f.cluster.Procs[i].Kill()
	f.updateReachable()
	if err := f.cluster.StartAgent(i); err != nil {
		return err
	}
	err := f.cluster.AwaitReady(ctx, i)
	f.callers.MarkFaulty(i, false)
	f.updateReachable()
	return err
}

// breakDisk makes a hollow agent's data directory unusable by putting a file in its place.
func (a *hollowAgent) breakDisk() error {
	if err := os.Rename(a.dir, a.dir+".away"); err != nil {
		return err
	}
	return os.WriteFile(a.dir, nil, 0o600)
}

// restoreDisk puts the data directory back.
func (a *hollowAgent) restoreDisk() error {
	if err := os.Remove(a.dir); err != nil {
		return err
	}
	return os.Rename(a.dir+".away", a.dir)
}
