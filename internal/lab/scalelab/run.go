package scalelab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/isup"
)

// Run plays a plan. Self is the program that is started as helper processes (`woodlab scale
// hollow`), Bin the program under test, whose processes keep the configuration.
type Run struct {
	Plan
	Self, Bin, Dir string
	Log            io.Writer // what goes on; nil: nowhere

	identities   []Identity
	octet        *faultnet.Octet
	serverList   *ServerList
	listed       []map[string]any
	servers      map[string][]net.Listener // stand-ins for setup servers by zone
	links        []*faultnet.Link
	helperConfig HelperConfig
	helpers      []*helperProcess
	control      *controlCluster
	dead         map[int]bool
	cpuAtStart   cpuUse // at the first agent's start
}

// helperProcess is a helper process.
type helperProcess struct {
	process
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
	mu  sync.Mutex // of one order
}

// eventTimeout bounds the wait until all know of something.
const eventTimeout = 60 * time.Second

// Execute plays the plan and measures it. An error that comes with figures is a bounded end: they
// are what was seen until then.
func (r *Run) Execute(ctx context.Context) (Result, error) {
	s := Result{Plan: r.Plan, Began: time.Now()}
	if err := r.Check(); err != nil {
		return s, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.close()
	err := r.setUp(ctx)
	if err == nil {
		go r.watchMemory(ctx, cancel, slices.Clone(r.helpers))
		err = r.measure(ctx, &s)
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return s, err
}

func (r *Run) logf(format string, args ...any) {
	if r.Log != nil {
		fmt.Fprintf(r.Log, time.Now().Format("15:04:05 ")+format+"\n", args...)
	}
}

// setUp starts everything but the agents.
func (r *Run) setUp(ctx context.Context) (err error) {
	r.identities, r.dead = r.Plan.identities(), map[int]bool{}
	if r.octet, err = faultnet.ReserveOctet(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.Seed, 7))
	delay := func() time.Duration { return r.Delay[0] + time.Duration(rng.Int64N(int64(r.Delay[1]-r.Delay[0])+1)) }
	r.helperConfig = HelperConfig{Plan: r.Plan, Places: r.identities, Via: map[string]string{}, Dir: r.Dir}
	gates := map[string]*faultnet.WrappedLink{}
	for i, a := range r.identities {
		host := r.octet.Host(i + 10)
		r.helperConfig.Hosts = append(r.helperConfig.Hosts, host)
		if r.Delay[1] > 0 && a.Region != regionOf(zoneNames[0]) { // the list and the control machines stand in the first region
			gates[host] = faultnet.NewWrappedLink()
			gates[host].Delay(delay())
		}
	}
	if err := r.startServers(); err != nil {
		return err
	}
	if r.serverList, err = NewServerList(r.octet.Host(1), func(host string) *faultnet.WrappedLink { return gates[host] }); err != nil {
		return err
	}
	r.serverList.AddEvent(true, r.listed)
	r.helperConfig.List = r.serverList.Addr
	if r.helperConfig.Known, err = json.Marshal(map[string]any{"no": 1, "items": []any{map[string]any{"no": 1,
		"roster": map[string]any{"index": 1, "snapshot": true, "endpoints": r.listed}}}}); err != nil {
		return err
	}
	if r.Delay[1] > 0 {
		if err := r.startLinks(delay); err != nil {
			return err
		}
	}
	if r.has(Config) {
		if r.control, err = startControlCluster(r, delay); err != nil {
			return err
		}
	}
	for _, p := range r.processes(r.identities) {
		if err := r.startHelper(p); err != nil {
			return err
		}
	}
	return nil
}

// startServers listens for the looks of the agents' zones: a setup server speaks first.
func (r *Run) startServers() error {
	r.servers = map[string][]net.Listener{}
	hello, err := isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000").Append(nil)
	if err != nil {
		return err
	}
	var failed error
	r.listed = endpoints(r.Servers, func(zone string) string {
		ln, err := net.Listen("tcp", r.octet.Host(2)+":0")
		if err != nil {
			failed = err
			return ""
		}
		r.servers[zone] = append(r.servers[zone], ln)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					conn.Write(hello)
					io.Copy(io.Discard, conn)
					conn.Close()
				}()
			}
		}()
		return ln.Addr().String()
	})
	return failed
}

// startLinks puts a proxy before each address that agents of the other region call.
func (r *Run) startLinks(delay func() time.Duration) error {
	far := func(to string, link func(string, uint64) (*faultnet.Link, error)) error {
		l, err := link(to, r.Seed)
		if err != nil {
			return err
		}
		r.links = append(r.links, l)
		l.Set(faultnet.Pass, delay(), 0)
		r.helperConfig.Via[to] = l.Addr()
		return nil
	}
	for part, port := range map[string]int{Members: membersPort, Spread: spreadPort, Zones: zonesPort} {
		if !r.has(part) {
			continue
		}
		for i := range r.identities {
			if err := far(r.helperConfig.addr(i, port), faultnet.NewGossipLink); err != nil {
				return err
			}
		}
	}
	if r.has(Zones) {
		for g := range r.groupSizes() {
			control := peers(r.identities, g)
			for _, i := range control[:min(deciders, len(control))] {
				if err := far(r.helperConfig.addr(i, clientPort), faultnet.NewLink); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// groupSizes are how many agents talk together, by group.
func (r *Run) groupSizes() map[int]int64 {
	out := map[int]int64{}
	for _, a := range r.identities[:r.Agents] {
		out[a.Group]++
	}
	return out
}

func (r *Run) startHelper(p process) error {
	cmd := exec.Command(r.Self, "--bin", r.Self, "scale", "hollow")
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h := &helperProcess{process: p, cmd: cmd, in: in, out: json.NewDecoder(out)}
	r.helpers = append(r.helpers, h)
	d := r.helperConfig
	d.Role, d.Mine = p.Role, p.Agents
	return json.NewEncoder(in).Encode(d)
}

// request gives an order to a process and takes its answer.
func (h *helperProcess) request(o Request) (a Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := json.NewEncoder(h.in).Encode(o); err != nil {
		return a, err
	}
	if err := h.out.Decode(&a); err != nil {
		return a, fmt.Errorf("a helper process has ended: %w", err)
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

// requestAll gives an order to all processes that run.
func (r *Run) requestAll(ctx context.Context, o Request) (map[*helperProcess]Response, error) {
	var mu sync.Mutex
	var work sync.WaitGroup
	out, errs := map[*helperProcess]Response{}, []error{}
	for _, h := range r.helpers {
		if h.in == nil {
			continue
		}
		work.Go(func() {
			a, err := h.request(o)
			mu.Lock()
			defer mu.Unlock()
			out[h] = a
			if err != nil {
				errs = append(errs, err)
			}
		})
	}
	ended := make(chan struct{})
	go func() { work.Wait(); close(ended) }()
	select {
	case <-ended:
		return out, errors.Join(errs...)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// watchMemory ends a run whose processes take more than it may.
func (r *Run) watchMemory(ctx context.Context, cancel context.CancelCauseFunc, procs []*helperProcess) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Second):
		}
		sum := int64(0)
		for _, h := range procs {
			sum += procFields(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))["VmRSS"] << 10
		}
		if sum > MaxMemory {
			cancel(fmt.Errorf("the processes took %d MB, more than the %d a run may", sum>>20, MaxMemory>>20))
			return
		}
	}
}

func (r *Run) close() {
	for _, h := range r.helpers {
		if h.in != nil {
			h.in.Close()
		}
	}
	var all sync.WaitGroup
	for _, h := range r.helpers {
		all.Go(func() {
			late := time.AfterFunc(10*time.Second, func() { h.cmd.Process.Kill() }) // by its own id
			h.cmd.Wait()
			late.Stop()
		})
	}
	all.Wait()
	if r.control != nil {
		r.control.close()
	}
	for _, l := range r.links {
		l.Close()
	}
	for _, zone := range r.servers {
		for _, ln := range zone {
			ln.Close()
		}
	}
	if r.serverList != nil {
		r.serverList.Close()
	}
	if r.octet != nil {
		r.octet.Release()
	}
}

// measure starts the agents, waits until they know one another, and takes all figures.
func (r *Run) measure(ctx context.Context, s *Result) error {
	s.Processes = len(r.helpers)
	groups := r.groupSizes()
	r.logf("%d agents in %d processes, parts %s, by %s", r.Agents, len(r.helpers), strings.Join(r.Parts, "+"), r.By)
	began := time.Now()
	r.cpuAtStart = readCPUUse()
	// Those alone first: seeds and deciders are among them.
	slices.SortStableFunc(r.helpers, func(a, b *helperProcess) int { return cmp.Compare(b.Role, a.Role) })
	for _, h := range r.helpers {
		if h.Role != "" && h.Role != roleEmpty {
			if _, err := h.request(Request{Do: "start", Agent: -1}); err != nil {
				return err
			}
		}
	}
	var starting sync.WaitGroup
	errs := make(chan error, len(r.helpers))
	for _, h := range r.helpers {
		if h.Role == "" {
			starting.Go(func() {
				if _, err := h.request(Request{Do: "start", Agent: -1}); err != nil {
					errs <- err
				}
			})
		}
	}
	starting.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	s.Started = time.Since(began).Seconds()
	r.logf("all started after %.1f s", s.Started)
	var start []namedCondition
	for _, part := range []string{Members, Spread, Zones} {
		if r.has(part) {
			start = append(start, namedCondition{"start: all know all (" + part + ")", Condition{part, groups}})
		}
	}
	if r.has(Spread) {
		start = append(start, namedCondition{"start: all follow a view (spread)", Condition{"follows", wantOne(groups)}})
	}
	if r.has(Discovery) {
		start = append(start, namedCondition{"start: the list is known (discovery)", Condition{"event", wantOne(groups)}})
	}
	s.Knew = append(s.Knew, r.waitFor(ctx, start, began, max(r.JoinMost-time.Since(began), time.Second))...)
	s.Notes = append(s.Notes, "from the first start until then "+r.cpuAtStart.describeSince())
	if r.has(Config) {
		if err := r.control.putFirst(ctx, r, s); err != nil {
			return err
		}
	}
	select {
	case <-time.After(r.Warm):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := r.measureSpan(ctx, s); err != nil {
		return err
	}
	return r.measureEvents(ctx, s, groups)
}

func wantOne(groups map[int]int64) map[int]int64 {
	out := map[int]int64{}
	for g := range groups {
		out[g] = 1
	}
	return out
}

// namedCondition is what the agents are waited for, and its name in the figures.
type namedCondition struct {
	name string
	Condition
}

// waitFor waits until all agents asked for have come to all that is wanted, or most has passed, and
// words how long each took since began.
func (r *Run) waitFor(ctx context.Context, waits []namedCondition, began time.Time, most time.Duration) (out []Convergence) {
	o := Request{Do: "until", Most: most}
	for _, w := range waits {
		o.Until = append(o.Until, w.Condition)
	}
	answers, err := r.requestAll(ctx, o)
	for n, w := range waits {
		var came []Progress
		for _, a := range answers {
			if n < len(a.Until) {
				came = append(came, a.Until[n])
			}
		}
		k := r.convergence(w, came, began)
		if k.MostS = most.Seconds(); err != nil {
			k.Err = err.Error()
		}
		r.logf("%s", k)
		out = append(out, k)
	}
	return out
}

func (r *Run) convergence(w namedCondition, came []Progress, began time.Time) Convergence {
	k := Convergence{What: w.name}
	var took []float64
	var share float64
	for _, c := range came {
		for i, at := range c.Reached {
			k.Of++
			want := w.Want[r.identities[i].Group]
			if want > 0 {
				share += min(float64(c.Saw[i])/float64(want), 1)
			}
			if at > 0 {
				took = append(took, max(time.UnixMicro(at).Sub(began).Seconds(), 0))
				continue
			}
			k.Lack = append(k.Lack, fmt.Sprintf("%s: %d of %d", r.identities[i].Name, c.Saw[i], want))
		}
	}
	slices.Sort(k.Lack)
	k.Lack = k.Lack[:min(len(k.Lack), maxLacking)]
	k.Reached = len(took)
	if k.Of > 0 {
		k.Share = share / float64(k.Of)
	}
	k.Seconds = distribution(took)
	return k
}

// maxLacking bounds the agents that are named.
const maxLacking = 8

// waitOne waits for one thing.
func (r *Run) waitOne(ctx context.Context, name, what string, want map[int]int64, began time.Time, most time.Duration) Convergence {
	return r.waitFor(ctx, []namedCondition{{name, Condition{what, want}}}, began, most)[0]
}

// measureSpan takes the figures of a span in which nothing changes.
func (r *Run) measureSpan(ctx context.Context, s *Result) error {
	before, watches, machines, err := r.usage(ctx)
	if err != nil {
		return err
	}
	began, busy := time.Now(), readCPUUse()
	select {
	case <-time.After(r.Span):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	after, watchesAfter, machinesAfter, err := r.usage(ctx)
	if err != nil {
		return err
	}
	s.SpanS = time.Since(began).Seconds()
	s.recordSpan(r, before, after, watches, watchesAfter)
	for _, name := range slices.Sorted(maps.Keys(machinesAfter)) {
		s.Machines = append(s.Machines, machinesAfter[name].since(machines[name], s.SpanS, name))
	}
	s.Notes = append(s.Notes, "in the span "+busy.describeSince())
	r.logf("span of %.1f s taken", s.SpanS)
	return nil
}

func (r *Run) usage(ctx context.Context) (map[*helperProcess]Response, map[string]WatchStats, map[string]processUsage, error) {
	looks, err := r.requestAll(ctx, Request{Do: "look"})
	machines := map[string]processUsage{}
	if r.control != nil {
		machines = r.control.usage()
	}
	return looks, r.serverList.Watches(), machines, err
}

// measureEvents has things happen, and waits until all know of each.
func (r *Run) measureEvents(ctx context.Context, s *Result, groups map[int]int64) error {
	add := func(k Convergence) { s.Knew = append(s.Knew, k) }
	if r.has(Discovery) {
		began := time.Now()
		r.serverList.AddEvent(false, []map[string]any{r.drainingServer()})
		add(r.waitOne(ctx, "a change of the list (discovery)", "event", wantTwo(groups), began, eventTimeout))
	}
	if r.has(Config) {
		if err := r.control.putChange(ctx, r, s); err != nil {
			return err
		}
	}
	if r.has(Members) {
		began := time.Now()
		if _, err := r.helpers[r.processOf(0)].request(Request{Do: "announce", Agent: 0, Value: 9}); err != nil {
			return err
		}
		add(r.waitOne(ctx, "an epoch announced (members)", "announced", map[int]int64{r.identities[0].Group: 9}, began, eventTimeout))
	}
	if r.gossips() {
		began := time.Now()
		if _, err := r.helpers[r.processOf(r.Agents)].request(Request{Do: "start", Agent: r.Agents}); err != nil {
			return err
		}
		g := r.identities[r.Agents].Group
		groups[g]++
		var join, death []namedCondition
		for _, part := range []string{Members, Spread, Zones} {
			if r.has(part) {
				join = append(join, namedCondition{"a join (" + part + ")", Condition{part, map[int]int64{g: groups[g]}}})
			}
		}
		s.Knew = append(s.Knew, r.waitFor(ctx, join, began, eventTimeout)...)
		if ctx.Err() != nil { // orders are under way still
			return context.Cause(ctx)
		}
		i := r.helpers[r.ordinaryProcess()].Agents[0]
		began = time.Now()
		r.killHelper(r.ordinaryProcess())
		g = r.identities[i].Group
		groups[g]--
		// Zones have a membership as members do, and looking at it costs more there.
		for _, part := range []string{Spread, Members} {
			if r.has(part) && r.DeathMost > 0 {
				death = append(death, namedCondition{"a death (" + part + ")", Condition{part, map[int]int64{g: groups[g]}}})
			}
		}
		s.Knew = append(s.Knew, r.waitFor(ctx, death, began, r.DeathMost)...)
	}
	if r.has(Zones) {
		return r.loseZone(ctx, s, groups)
	}
	return nil
}

// loseZone has the setup servers of a zone die, and waits until all agents have the epoch that
// moves its calls.
func (r *Run) loseZone(ctx context.Context, s *Result, groups map[int]int64) error {
	now := func(what string) ([]Progress, error) {
		answers, err := r.requestAll(ctx, Request{Do: "until", Until: []Condition{{what, wantOne(groups)}}})
		var out []Progress
		for _, a := range answers {
			out = append(out, a.Until...)
		}
		return out, err
	}
	before, err := now("epoch")
	if err != nil {
		return err
	}
	want := map[int]int64{}
	for _, a := range before {
		for i, n := range a.Saw {
			g := r.identities[i].Group
			want[g] = max(want[g], n+1)
		}
	}
	began := time.Now()
	for _, ln := range r.servers[zoneNames[0]] {
		ln.Close()
	}
	k := r.waitOne(ctx, "a zone's servers lost: the next epoch (zones)", "epoch", want, began, eventTimeout)
	s.Knew = append(s.Knew, k)
	if k.Reached == 0 {
		return nil
	}
	decided, err := now("decided")
	if err != nil {
		return err
	}
	first := time.Time{}
	for _, a := range decided {
		for _, us := range a.Saw {
			if at := time.UnixMicro(us); at.After(began) && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	if !first.IsZero() {
		s.Notes = append(s.Notes, fmt.Sprintf("the first epoch after the zone's loss was decided %.1f s after it; what is left of the times is its way to the agents", first.Sub(began).Seconds()))
	}
	return nil
}

func wantTwo(groups map[int]int64) map[int]int64 {
	out := map[int]int64{}
	for g := range groups {
		out[g] = 2
	}
	return out
}

// drainingServer is a setup server that drains, of a zone whose others suffice.
func (r *Run) drainingServer() map[string]any {
	e := maps.Clone(r.listed[len(r.listed)-1])
	e["status"] = "draining"
	return e
}

// processOf is the process that an agent is in, ordinary the one that holds an ordinary agent alone.
func (r *Run) processOf(agent int) int {
	return slices.IndexFunc(r.helpers, func(h *helperProcess) bool { return slices.Contains(h.Agents, agent) })
}

func (r *Run) ordinaryProcess() int {
	return slices.IndexFunc(r.helpers, func(h *helperProcess) bool { return h.Role == roleOrdinary })
}

// killHelper ends a helper process with SIGKILL.
func (r *Run) killHelper(i int) {
	h := r.helpers[i]
	h.cmd.Process.Kill()
	h.in.Close()
	h.in = nil
	for _, a := range h.Agents {
		r.dead[a] = true
	}
}
