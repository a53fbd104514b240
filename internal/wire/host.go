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

// maxListNumber is the highest number of a server list.
const maxListNumber = 15

// instance is one simulated gateway.
type instance struct {
	ctrl         *policy.Controller
	reportFields []string
}

// Host runs the controllers of many gateways on one connection to the simulator.
type Host struct {
	in             *bufio.Reader
	out            *bufio.Writer
	lineNumber     int
	inBatch        bool
	now            policy.Time
	instances      map[int64]*instance
	lists          [maxListNumber + 1][]policy.Server
	listed         [maxListNumber + 1]bool
	current        int64
	instanceChosen bool
	replyInstance  int64 // the instance whose actions the reply currently lists
	replyStarted   bool
	buf            []byte
}

// NewHost returns a Host that reads batches from in and writes replies to out.
func NewHost(in io.Reader, out io.Writer) *Host {
	return &Host{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		instances: map[int64]*instance{}}
}

// Run answers batches until the input ends. Its errors name the invalid line and field.
func (h *Host) Run() error {
	for {
		line, err := h.readLine()
		if err == io.EOF && !h.inBatch {
			return nil
		}
		if err == nil {
			err = h.handleLine(line)
		}
		if err != nil {
			if err == io.EOF {
				err = errors.New("input ends inside a batch")
			}
			return fmt.Errorf("line %d: %w", h.lineNumber, err)
		}
	}
}

// readLine returns the next line without its line break.
func (h *Host) readLine() (string, error) {
	line, err := h.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	h.lineNumber++
	return strings.TrimSuffix(line, "\n"), nil
}

// handleLine handles one line, and for a server list also the lines of its rows.
func (h *Host) handleLine(line string) error {
	name, f := splitLine(line)
	if name == "clock" {
		if h.inBatch {
			return errors.New("clock: inside a batch")
		}
		now := settings.Micros(f.int("clock", 0, maxMicros))
		if err := f.end(); err != nil {
			return fmt.Errorf("clock: %w", err)
		}
		h.now, h.inBatch, h.instanceChosen, h.replyStarted = now, true, false, false
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
		h.current, h.instanceChosen = f.int("gatewayId", 0, math.MaxInt32), true
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

// directory reads a server list and stores it under its number.
func (h *Host) directory(f *fieldReader) error {
	list, rows := f.int("rosterId", 0, maxListNumber), f.int("rows", 0, math.MaxInt32)
	if err := f.end(); err != nil {
		return err
	}
	var servers []policy.Server
	for range rows {
		line, err := h.readLine()
		if err != nil {
			return err
		}
		mark, e := splitLine(line)
		if mark != "m" {
			return fmt.Errorf("field rows: %q where an m line is expected", mark)
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

// event handles one event of the instance that switch_to selected.
func (h *Host) event(name string, f *fieldReader) error {
	if !h.instanceChosen {
		return errors.New("no switch_to before this event")
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
		ev = f.ended(i.reportFields)
	case "expired":
		ev = policy.Departed{ID: f.required("requestId")}
	case "due":
		f.remainder("token")
		ev = policy.Tick{}
	case "probe_done":
		ev = f.probed(i.reportFields)
	case "neighbour_says":
		f.int("by", 0, math.MaxInt32)
		f.next("octets")
	case "directory_update":
		ev = h.listUpdate(f)
	default:
		return errors.New("unknown event")
	}
	if err := f.end(); err != nil {
		return err
	}
	if ev != nil {
		h.writeActions(i.ctrl.Handle(h.now, ev))
	}
	return nil
}

// boot starts the selected instance with the settings in the rest of the line.
func (h *Host) boot(f *fieldReader) error {
	seed := f.required("entropy")
	var n uint64
	if f.err == nil {
		if _, err := fmt.Sscanf(seed, "%d", &n); err != nil {
			f.fail("entropy", "%q is not an integer", seed)
		}
	}
	text := f.remainder("info")
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
		h.writeInstanceHeader()
		h.out.WriteString("keep_informed 1\n")
	}
	return nil
}

// listUpdate reads an update of the server list. It returns nil if the query to discovery failed.
func (h *Host) listUpdate(f *fieldReader) policy.Event {
	kind := f.required("kind")
	f.optionalInt("stamp", 0, math.MaxInt64, 0)
	n := f.optionalInt("rosterId", 0, math.MaxInt64, 0)
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
	if n > maxListNumber || !h.listed[n] {
		f.fail("rosterId", "no list %d", n)
		return nil
	}
	return policy.ServerList{Whole: kind != "incr", Servers: h.lists[n]}
}

// writeActions writes the actions of the selected instance.
func (h *Host) writeActions(actions []policy.Action) {
	if len(actions) == 0 {
		return
	}
	h.writeInstanceHeader()
	h.buf = h.buf[:0]
	for _, a := range actions {
		h.buf = appendAction(h.buf, a)
	}
	h.out.Write(h.buf)
}

// writeInstanceHeader names the selected instance in the reply, unless the reply already lists its actions.
func (h *Host) writeInstanceHeader() {
	if !h.replyStarted || h.replyInstance != h.current {
		h.replyInstance, h.replyStarted = h.current, true
		fmt.Fprintf(h.out, "on_behalf %d\n", h.current)
	}
}

// Fatal reports to the simulator that the decision code has failed.
func (h *Host) Fatal(reason any) {
	fmt.Fprintf(h.out, "fatal %s\nnext\n", strings.ReplaceAll(fmt.Sprint(reason), "\n", " "))
	h.out.Flush()
}
