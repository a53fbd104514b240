package clientlab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woodrouter/internal/front/ws"
	"woodrouter/isup"
)

// gatewayInterval is the time between two calls of a gateway.
const gatewayInterval = 50 * time.Millisecond

// gatewayHost is the address of callers that behave.
const gatewayHost = "127.0.0.1"

// Delays are the figures of a gateway that placed calls at a steady rate, from when each was due.
type Delays struct {
	Placed, Answered  int
	Refused           int // of those answered
	Median, P99, Most time.Duration
}

func (d Delays) String() string {
	return fmt.Sprintf("%d placed, %d answered (%d refused), delay %v median %v p99 %v most", d.Placed, d.Answered, d.Refused, d.Median.Round(time.Millisecond), d.P99.Round(time.Millisecond), d.Most.Round(time.Millisecond))
}

// gateway places calls on one connection and releases those that stand.
type gateway struct {
	front Front
	conn  net.Conn
	in    *bufio.Reader

	mu      sync.Mutex
	due     map[isup.CallID]time.Time
	delays  *hdrhistogram.Histogram // microseconds
	figures Delays
	closed  bool
	err     error
}

// Bounds of the recorded delays.
const (
	mostDelay       = time.Minute
	delayPrecision  = 3
	answersArrive   = callTime + 500*time.Millisecond
	gatewayIDOffset = 1 << 40
)

func (s *site) startGateway(front Front) (*gateway, error) {
	conn, in, err := s.dial(front, gatewayHost)
	if err != nil {
		return nil, fmt.Errorf("gateway on %s: %w", front, err)
	}
	g := &gateway{front: front, conn: conn, in: in, due: map[isup.CallID]time.Time{}, delays: hdrhistogram.New(1, mostDelay.Microseconds(), delayPrecision)}
	go g.read()
	return g, nil
}

// run places calls until ctx ends, waits for the answers and returns the figures.
func (g *gateway) run(ctx context.Context) (Delays, error) {
	offset := uint64(gatewayIDOffset)
	if g.front == API {
		offset *= 2
	}
	ticker := time.NewTicker(gatewayInterval)
	defer ticker.Stop()
	for n := offset; ctx.Err() == nil; n++ {
		id := isup.CallID(n)
		g.mu.Lock()
		g.due[id] = time.Now()
		g.figures.Placed++
		g.mu.Unlock()
		g.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := g.conn.Write(g.setUp(id)); err != nil {
			return g.finish(), fmt.Errorf("gateway on %s: %w", g.front, err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	time.Sleep(answersArrive)
	return g.finish(), g.readError()
}

func (g *gateway) setUp(id isup.CallID) []byte {
	if g.front == API {
		return apiSetUp(id, callClass, id.String(), "offer")
	}
	return binarySetUp(id, callClass, id.String(), "offer")
}

func (g *gateway) release(id isup.CallID) []byte {
	if g.front == API {
		return apiRequest("r"+id.String(), "call.release", map[string]string{"id": id.String()})
	}
	return encode(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
}

func (g *gateway) finish() Delays {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.conn.Close()
	at := func(quantile float64) time.Duration {
		return time.Duration(g.delays.ValueAtQuantile(quantile)) * time.Microsecond
	}
	g.figures.Median, g.figures.P99, g.figures.Most = at(50), at(99), at(100)
	return g.figures
}

func (g *gateway) readError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// read reads the answers until the connection ends.
func (g *gateway) read() {
	for {
		id, stands, ok, err := g.next()
		if err != nil {
			g.mu.Lock()
			if !g.closed {
				g.err = fmt.Errorf("gateway on %s: its connection ended: %w", g.front, err)
			}
			g.mu.Unlock()
			return
		}
		if ok {
			g.answered(id, stands)
		}
	}
}

func (g *gateway) answered(id isup.CallID, stands bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	due, open := g.due[id]
	if !open {
		return
	}
	delete(g.due, id)
	g.figures.Answered++
	g.delays.RecordValue(min(time.Since(due), mostDelay).Microseconds())
	if !stands {
		g.figures.Refused++
		return
	}
	if !g.closed {
		g.conn.Write(g.release(id)) // if the connection has ended, its reader fails too
	}
}

// next reads one message. ok says that it is the answer of a call.
func (g *gateway) next() (id isup.CallID, stands, ok bool, err error) {
	if g.front == API {
		return g.nextResponse()
	}
	m, err := isup.Read(g.in)
	return m.Call, m.Type == isup.Answer, m.Type == isup.Answer || m.Type == isup.Release, err
}

// nextResponse reads a frame of the call API. A request's id is that of its call, behind a letter for a release.
func (g *gateway) nextResponse() (id isup.CallID, stands, ok bool, err error) {
	payload, err := readServerFrame(g.in)
	if err != nil {
		return 0, false, false, err
	}
	var response struct {
		ID    string          `json:"id"`
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(payload, &response) != nil {
		return 0, false, false, nil
	}
	id, parseErr := isup.ParseCallID(response.ID)
	return id, len(response.Error) == 0, parseErr == nil, nil
}

// errCloseFrame reports that the agent closed a WebSocket.
var errCloseFrame = errors.New("close frame")

// readServerFrame reads an unmasked frame and returns its payload.
func readServerFrame(in *bufio.Reader) ([]byte, error) {
	var head [10]byte
	if _, err := io.ReadFull(in, head[:2]); err != nil {
		return nil, err
	}
	size, length := 0, int(head[1])
	switch length {
	case mediumLength:
		size = 2
	case longLength:
		size = 8
	}
	if size > 0 {
		length = 0
		if _, err := io.ReadFull(in, head[2:2+size]); err != nil {
			return nil, err
		}
		for _, b := range head[2 : 2+size] {
			length = length<<8 | int(b)
		}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, err
	}
	if ws.Opcode(head[0]&0x0f) == ws.CloseFrame {
		return nil, errCloseFrame
	}
	return payload, nil
}
