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

	places  []Place
	octet   *faultnet.Octet
	list    *List
	known   []map[string]any
	servers map[string][]net.Listener // stand-ins for setup servers by zone
	links   []*faultnet.Link
	deal    Deal
	procs   []*helperProc
	control *controls
	dead    map[int]bool
	busy    busy // at the first agent's start
}

// helperProc is a helper process.
type helperProc struct {
	process
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
	mu  sync.Mutex // of one order
}

// eventMost bounds the wait until all know of something.
const eventMost = 60 * time.Second

// Play plays the plan and measures it. An error that comes with figures is a bounded end: they
// are what was seen until then.
func (r *Run) Play(ctx context.Context) (Size, error) {
	s := Size{Plan: r.Plan, Began: time.Now()}
	if err := r.Check(); err != nil {
		return s, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.close()
	err := r.set(ctx)
	if err == nil {
		go r.watchMemory(ctx, cancel, slices.Clone(r.procs))
		err = r.measure(ctx, &s)
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return s, err
}

func (r *Run) say(format string, args ...any) {
	if r.Log != nil {
		fmt.Fprintf(r.Log, time.Now().Format("15:04:05 ")+format+"\n", args...)
	}
}

// set starts everything but the agents.
func (r *Run) set(ctx context.Context) (err error) {
	r.places, r.dead = r.Plan.places(), map[int]bool{}
	if r.octet, err = faultnet.ReserveOctet(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.Seed, 7))
	delay := func() time.Duration { return r.Delay[0] + time.Duration(rng.Int64N(int64(r.Delay[1]-r.Delay[0])+1)) }
	r.deal = Deal{Plan: r.Plan, Places: r.places, Via: map[string]string{}, Dir: r.Dir}
	gates := map[string]*faultnet.WrappedLink{}
	for i, a := range r.places {
		host := r.octet.Host(i + 10)
		r.deal.Hosts = append(r.deal.Hosts, host)
		if r.Delay[1] > 0 && a.Region != regionOf(zoneNames[0]) { // the list and the control machines stand in the first region
			gates[host] = faultnet.NewWrappedLink()
			gates[host].Delay(delay())
		}
	}
	if err := r.setServers(); err != nil {
		return err
	}
	if r.list, err = NewList(r.octet.Host(1), func(host string) *faultnet.WrappedLink { return gates[host] }); err != nil {
		return err
	}
	r.list.Tell(true, r.known)
	r.deal.List = r.list.Addr
	if r.deal.Known, err = json.Marshal(map[string]any{"no": 1, "items": []any{map[string]any{"no": 1,
		"roster": map[string]any{"index": 1, "snapshot": true, "endpoints": r.known}}}}); err != nil {
		return err
	}
	if r.Delay[1] > 0 {
		if err := r.setLinks(delay); err != nil {
			return err
		}
	}
	if r.has(Config) {
		if r.control, err = startControls(r, delay); err != nil {
			return err
		}
	}
	for _, p := range r.processes(r.places) {
		if err := r.spawn(p); err != nil {
			return err
		}
	}
	return nil
}

// setServers listens for the looks of the agents' zones: a setup server speaks first.
func (r *Run) setServers() error {
	r.servers = map[string][]net.Listener{}
	hello, err := isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000").Append(nil)
	if err != nil {
		return err
	}
	var failed error
	r.known = endpoints(r.Servers, func(zone string) string {
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

// setLinks puts a proxy before each address that agents of the other region call.
func (r *Run) setLinks(delay func() time.Duration) error {
	far := func(to string, link func(string, uint64) (*faultnet.Link, error)) error {
		l, err := link(to, r.Seed)
		if err != nil {
			return err
		}
		r.links = append(r.links, l)
		l.Set(faultnet.Pass, delay(), 0)
		r.deal.Via[to] = l.Addr()
		return nil
	}
	for part, port := range map[string]int{Members: membersPort, Spread: spreadPort, Zones: zonesPort} {
		if !r.has(part) {
			continue
		}
		for i := range r.places {
			if err := far(r.deal.addr(i, port), faultnet.NewGossipLink); err != nil {
				return err
			}
		}
	}
	if r.has(Zones) {
		for g := range r.groups() {
			control := peers(r.places, g)
			for _, i := range control[:min(deciders, len(control))] {
				if err := far(r.deal.addr(i, clientPort), faultnet.NewLink); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// groups are how many agents talk together, by group.
func (r *Run) groups() map[int]int64 {
	out := map[int]int64{}
	for _, a := range r.places[:r.Agents] {
		out[a.Group]++
	}
	return out
}

func (r *Run) spawn(p process) error {
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
	h := &helperProc{process: p, cmd: cmd, in: in, out: json.NewDecoder(out)}
	r.procs = append(r.procs, h)
	d := r.deal
	d.Role, d.Mine = p.Role, p.Agents
	return json.NewEncoder(in).Encode(d)
}

// order gives an order to a process and takes its answer.
func (h *helperProc) order(o Order) (a Answer, err error) {
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

// all gives an order to all processes that run.
func (r *Run) all(ctx context.Context, o Order) (map[*helperProc]Answer, error) {
	var mu sync.Mutex
	var work sync.WaitGroup
	out, errs := map[*helperProc]Answer{}, []error{}
	for _, h := range r.procs {
		if h.in == nil {
			continue
		}
		work.Go(func() {
			a, err := h.order(o)
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
func (r *Run) watchMemory(ctx context.Context, cancel context.CancelCauseFunc, procs []*helperProc) {
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
		if sum > MostMemory {
			cancel(fmt.Errorf("the processes took %d MB, more than the %d a run may", sum>>20, MostMemory>>20))
			return
		}
	}
}

func (r *Run) close() {
	for _, h := range r.procs {
		if h.in != nil {
			h.in.Close()
		}
	}
	var all sync.WaitGroup
	for _, h := range r.procs {
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
	if r.list != nil {
		r.list.Close()
	}
	if r.octet != nil {
		r.octet.Release()
	}
}

// measure starts the agents, waits until they know one another, and takes all figures.
func (r *Run) measure(ctx context.Context, s *Size) error {
	s.Processes = len(r.procs)
	groups := r.groups()
	r.say("%d agents in %d processes, parts %s, by %s", r.Agents, len(r.procs), strings.Join(r.Parts, "+"), r.By)
	began := time.Now()
	r.busy = busyNow()
	// Those alone first: seeds and deciders are among them.
	slices.SortStableFunc(r.procs, func(a, b *helperProc) int { return cmp.Compare(b.Role, a.Role) })
	for _, h := range r.procs {
		if h.Role != "" && h.Role != empty {
			if _, err := h.order(Order{Do: "start", Agent: -1}); err != nil {
				return err
			}
		}
	}
	var starting sync.WaitGroup
	errs := make(chan error, len(r.procs))
	for _, h := range r.procs {
		if h.Role == "" {
			starting.Go(func() {
				if _, err := h.order(Order{Do: "start", Agent: -1}); err != nil {
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
	r.say("all started after %.1f s", s.Started)
	var start []wait
	for _, part := range []string{Members, Spread, Zones} {
		if r.has(part) {
			start = append(start, wait{"start: all know all (" + part + ")", Until{part, groups}})
		}
	}
	if r.has(Spread) {
		start = append(start, wait{"start: all follow a view (spread)", Until{"follows", ones(groups)}})
	}
	if r.has(Discovery) {
		start = append(start, wait{"start: the list is known (discovery)", Until{"event", ones(groups)}})
	}
	s.Knew = append(s.Knew, r.waitFor(ctx, start, began, max(r.JoinMost-time.Since(began), time.Second))...)
	s.Notes = append(s.Notes, "from the first start until then "+r.busy.since())
	if r.has(Config) {
		if err := r.control.first(ctx, r, s); err != nil {
			return err
		}
	}
	select {
	case <-time.After(r.Warm):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := r.span(ctx, s); err != nil {
		return err
	}
	return r.events(ctx, s, groups)
}

func ones(groups map[int]int64) map[int]int64 {
	out := map[int]int64{}
	for g := range groups {
		out[g] = 1
	}
	return out
}

// wait is what the agents are waited for, and its name in the figures.
type wait struct {
	name string
	Until
}

// waitFor waits until all agents asked for have come to all that is wanted, or most has passed, and
// words how long each took since began.
func (r *Run) waitFor(ctx context.Context, waits []wait, began time.Time, most time.Duration) (out []Knew) {
	o := Order{Do: "until", Most: most}
	for _, w := range waits {
		o.Until = append(o.Until, w.Until)
	}
	answers, err := r.all(ctx, o)
	for n, w := range waits {
		var came []Came
		for _, a := range answers {
			if n < len(a.Until) {
				came = append(came, a.Until[n])
			}
		}
		k := r.knew(w, came, began)
		if k.MostS = most.Seconds(); err != nil {
			k.Err = err.Error()
		}
		r.say("%s", k)
		out = append(out, k)
	}
	return out
}

func (r *Run) knew(w wait, came []Came, began time.Time) Knew {
	k := Knew{What: w.name}
	var took []float64
	var share float64
	for _, c := range came {
		for i, at := range c.Reached {
			k.Of++
			want := w.Want[r.places[i].Group]
			if want > 0 {
				share += min(float64(c.Saw[i])/float64(want), 1)
			}
			if at > 0 {
				took = append(took, max(time.UnixMicro(at).Sub(began).Seconds(), 0))
				continue
			}
			k.Lack = append(k.Lack, fmt.Sprintf("%s: %d of %d", r.places[i].Name, c.Saw[i], want))
		}
	}
	slices.Sort(k.Lack)
	k.Lack = k.Lack[:min(len(k.Lack), mostLack)]
	k.Reached = len(took)
	if k.Of > 0 {
		k.Share = share / float64(k.Of)
	}
	k.Seconds = distribution(took)
	return k
}

// mostLack bounds the agents that are named.
const mostLack = 8

// waitOne waits for one thing.
func (r *Run) waitOne(ctx context.Context, name, what string, want map[int]int64, began time.Time, most time.Duration) Knew {
	return r.waitFor(ctx, []wait{{name, Until{what, want}}}, began, most)[0]
}

// span takes the figures of a span in which nothing changes.
func (r *Run) span(ctx context.Context, s *Size) error {
	before, watches, machines, err := r.look(ctx)
	if err != nil {
		return err
	}
	began, busy := time.Now(), busyNow()
	select {
	case <-time.After(r.Span):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	after, watchesAfter, machinesAfter, err := r.look(ctx)
	if err != nil {
		return err
	}
	s.SpanS = time.Since(began).Seconds()
	s.figures(r, before, after, watches, watchesAfter)
	for _, name := range slices.Sorted(maps.Keys(machinesAfter)) {
		s.Machines = append(s.Machines, machinesAfter[name].since(machines[name], s.SpanS, name))
	}
	s.Notes = append(s.Notes, "in the span "+busy.since())
	r.say("span of %.1f s taken", s.SpanS)
	return nil
}

func (r *Run) look(ctx context.Context) (map[*helperProc]Answer, map[string]Watch, map[string]machineLook, error) {
	looks, err := r.all(ctx, Order{Do: "look"})
	machines := map[string]machineLook{}
	if r.control != nil {
		machines = r.control.look()
	}
	return looks, r.list.Watches(), machines, err
}

// events has things happen, and waits until all know of each.
func (r *Run) events(ctx context.Context, s *Size, groups map[int]int64) error {
	add := func(k Knew) { s.Knew = append(s.Knew, k) }
	if r.has(Discovery) {
		began := time.Now()
		r.list.Tell(false, []map[string]any{r.changed()})
		add(r.waitOne(ctx, "a change of the list (discovery)", "event", twos(groups), began, eventMost))
	}
	if r.has(Config) {
		if err := r.control.change(ctx, r, s); err != nil {
			return err
		}
	}
	if r.has(Members) {
		began := time.Now()
		if _, err := r.procs[r.owner(0)].order(Order{Do: "announce", Agent: 0, Value: 9}); err != nil {
			return err
		}
		add(r.waitOne(ctx, "an epoch announced (members)", "announced", map[int]int64{r.places[0].Group: 9}, began, eventMost))
	}
	if r.talk() {
		began := time.Now()
		if _, err := r.procs[r.owner(r.Agents)].order(Order{Do: "start", Agent: r.Agents}); err != nil {
			return err
		}
		g := r.places[r.Agents].Group
		groups[g]++
		var join, death []wait
		for _, part := range []string{Members, Spread, Zones} {
			if r.has(part) {
				join = append(join, wait{"a join (" + part + ")", Until{part, map[int]int64{g: groups[g]}}})
			}
		}
		s.Knew = append(s.Knew, r.waitFor(ctx, join, began, eventMost)...)
		if ctx.Err() != nil { // orders are under way still
			return context.Cause(ctx)
		}
		i := r.procs[r.ordinary()].Agents[0]
		began = time.Now()
		r.kill(r.ordinary())
		g = r.places[i].Group
		groups[g]--
		// Zones have a membership as members do, and looking at it costs more there.
		for _, part := range []string{Spread, Members} {
			if r.has(part) && r.DeathMost > 0 {
				death = append(death, wait{"a death (" + part + ")", Until{part, map[int]int64{g: groups[g]}}})
			}
		}
		s.Knew = append(s.Knew, r.waitFor(ctx, death, began, r.DeathMost)...)
	}
	if r.has(Zones) {
		return r.zoneLost(ctx, s, groups)
	}
	return nil
}

// zoneLost has the setup servers of a zone die, and waits until all agents have the epoch that
// moves its calls.
func (r *Run) zoneLost(ctx context.Context, s *Size, groups map[int]int64) error {
	now := func(what string) ([]Came, error) {
		answers, err := r.all(ctx, Order{Do: "until", Until: []Until{{what, ones(groups)}}})
		var out []Came
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
			g := r.places[i].Group
			want[g] = max(want[g], n+1)
		}
	}
	began := time.Now()
	for _, ln := range r.servers[zoneNames[0]] {
		ln.Close()
	}
	k := r.waitOne(ctx, "a zone's servers lost: the next epoch (zones)", "epoch", want, began, eventMost)
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

func twos(groups map[int]int64) map[int]int64 {
	out := map[int]int64{}
	for g := range groups {
		out[g] = 2
	}
	return out
}

// changed is a setup server that drains, of a zone whose others suffice.
func (r *Run) changed() map[string]any {
	e := maps.Clone(r.known[len(r.known)-1])
	e["status"] = "draining"
	return e
}

// owner is the process that an agent is in, ordinary the one that holds an ordinary agent alone.
func (r *Run) owner(agent int) int {
	return slices.IndexFunc(r.procs, func(h *helperProc) bool { return slices.Contains(h.Agents, agent) })
}

func (r *Run) ordinary() int {
	return slices.IndexFunc(r.procs, func(h *helperProc) bool { return h.Role == ordinary })
}

// kill ends a helper process with SIGKILL.
func (r *Run) kill(i int) {
	h := r.procs[i]
	h.cmd.Process.Kill()
	h.in.Close()
	h.in = nil
	for _, a := range h.Agents {
		r.dead[a] = true
	}
}
