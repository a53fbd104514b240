package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"woodrouter/internal/settings"
	"woodrouter/policy"
)

// maxList is the highest number of a server list.
const maxList = 15

// instance is one hosted gateway.
type instance struct {
	ctrl  *policy.Controller
	stats []string
}

// Host runs the controllers of many gateways on one wire.
type Host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	inBatch   bool
	now       policy.Time
	instances map[int64]*instance
	lists     [maxList + 1][]policy.Server
	listed    [maxList + 1]bool
	current   int64
	chosen    bool
	spoken    int64 // the instance that the reply speaks for
	speaking  bool
	buf       []byte
}

// NewHost returns a host that reads batches from in and writes replies to out.
func NewHost(in io.Reader, out io.Writer) *Host {
	return &Host{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		instances: map[int64]*instance{}}
}

// Run answers batches until the input ends. An error names the line and field at fault.
func (h *Host) Run() error {
	for {
		line, err := h.read()
		if err == io.EOF && !h.inBatch {
			return nil
		}
		if err == nil {
			err = h.take(line)
		}
		if err != nil {
			if err == io.EOF {
				err = errors.New("input ends inside a batch")
			}
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

func (h *Host) read() (string, error) {
	line, err := h.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	h.line++
	return strings.TrimSuffix(line, "\n"), nil
}

// take handles one line and, for a list or the end of a batch, what belongs to it.
func (h *Host) take(line string) error {
	name, f := split(line)
	if name == "clock" {
		if h.inBatch {
			return errors.New("clock: inside a batch")
		}
		now := settings.Micros(f.int("clock", 0, maxMicros))
		if err := f.end(); err != nil {
			return fmt.Errorf("clock: %w", err)
		}
		h.now, h.inBatch, h.chosen, h.speaking = now, true, false, false
		return nil
	}
	if !h.inBatch {
		return fmt.Errorf("%q: outside a batch", name)
	}
	var err error
	switch name {
	case "commit":
		if err = f.end(); err == nil {
			h.inBatch = false
			h.out.WriteString("next\n")
			err = h.out.Flush()
		}
	case "switch_to":
		h.current, h.chosen = f.int("gatewayId", 0, math.MaxInt32), true
		err = f.end()
	case "directory":
		err = h.directory(f)
	default:
		err = h.event(name, f)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (h *Host) directory(f *fields) error {
	list, rows := f.int("rosterId", 0, maxList), f.int("rows", 0, math.MaxInt32)
	if err := f.end(); err != nil {
		return err
	}
	var servers []policy.Server
	for range rows {
		line, err := h.read()
		if err != nil {
			return err
		}
		mark, e := split(line)
		if mark != "m" {
			return fmt.Errorf("field rows: %q where an m line is due", mark)
		}
		s := e.entry()
		if err := e.end(); err != nil {
			return fmt.Errorf("m: %w", err)
		}
		servers = append(servers, s)
	}
	h.lists[list], h.listed[list] = servers, true
	return nil
}

// event handles one event of the chosen instance.
func (h *Host) event(name string, f *fields) error {
	if !h.chosen {
		return errors.New("no switch_to before it")
	}
	if name == "boot" {
		return h.boot(f)
	}
	i := h.instances[h.current]
	if i == nil {
		return fmt.Errorf("instance %d is not running", h.current)
	}
	var ev policy.Event
	switch name {
	case "destroy":
		if err := f.end(); err != nil {
			return err
		}
		delete(h.instances, h.current)
		return nil
	case "ingress":
		ev = f.arrival()
	case "first":
		ev = f.standing()
	case "attempt_end":
		ev = f.ended(i.stats)
	case "expired":
		ev = policy.Departed{ID: f.word("requestId")}
	case "due":
		f.text("token")
		ev = policy.Tick{}
	case "probe_done":
		ev = f.probed(i.stats)
	case "neighbour_says":
		f.int("by", 0, math.MaxInt32)
		f.next("octets")
	case "directory_update":
		ev = h.update(f)
	default:
		return errors.New("unknown event")
	}
	if err := f.end(); err != nil {
		return err
	}
	if ev != nil {
		h.act(i.ctrl.Handle(h.now, ev))
	}
	return nil
}

func (h *Host) boot(f *fields) error {
	seed := f.word("entropy")
	var n uint64
	if f.err == nil {
		if _, err := fmt.Sscanf(seed, "%d", &n); err != nil {
			f.fail("entropy", "%q is no whole number", seed)
		}
	}
	text := f.text("info")
	if err := f.end(); err != nil {
		return err
	}
	in, err := settings.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("field info: %w", err)
	}
	ctrl, err := policy.New(in.Policy(), n)
	if err != nil {
		return fmt.Errorf("field info: %w", err)
	}
	h.instances[h.current] = &instance{ctrl, in.Stats.Fields}
	if in.Discovery == "on_request" {
		h.speak()
		h.out.WriteString("keep_informed 1\n")
	}
	return nil
}

// update words news of the list; a failed call to discovery brings none.
func (h *Host) update(f *fields) policy.Event {
	kind := f.word("kind")
	f.optional("stamp", 0, math.MaxInt64, 0)
	n := f.optional("rosterId", 0, math.MaxInt64, 0)
	switch kind {
	case "lost":
		return nil
	case "incr", "total", "warm_copy":
	default:
		f.fail("kind", "unknown kind %q", kind)
	}
	if f.err != nil {
		return nil
	}
	if n > maxList || !h.listed[n] {
		f.fail("rosterId", "no list %d", n)
		return nil
	}
	return policy.List{Whole: kind != "incr", Servers: h.lists[n]}
}

// act writes actions for the chosen instance.
func (h *Host) act(actions []policy.Action) {
	if len(actions) == 0 {
		return
	}
	h.speak()
	h.buf = h.buf[:0]
	for _, a := range actions {
		h.buf = appendAction(h.buf, a)
	}
	h.out.Write(h.buf)
}

func (h *Host) speak() {
	if !h.speaking || h.spoken != h.current {
		h.spoken, h.speaking = h.current, true
		fmt.Fprintf(h.out, "on_behalf %d\n", h.current)
	}
}

// Fatal declares on the wire that the decision code has failed.
func (h *Host) Fatal(reason any) {
	fmt.Fprintf(h.out, "fatal %s\nnext\n", strings.ReplaceAll(fmt.Sprint(reason), "\n", " "))
	h.out.Flush()
}
