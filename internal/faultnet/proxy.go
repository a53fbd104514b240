// Package faultnet is the project's fault harness: a loopback proxy for each directed link
// between processes that passes, delays and jitters, drops or resets what crosses it, and a
// supervisor that builds the program, starts processes, kills them with SIGKILL, restarts
// them and wipes their data. Faults come from a seeded schedule, so a run is reproduced by
// its seed. Loopback only.
package faultnet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is what a link does with what crosses it.
type Mode int

const (
	Pass Mode = iota // forward, after the link's delay
	Drop             // take nothing further across: bytes are read and thrown away, as a cut cable
)

// Link is a proxy from a listener on loopback to one target: the traffic of one process to
// another. Connections made through it carry both directions of that process's requests.
type Link struct {
	ln     net.Listener
	udp    net.PacketConn // nil: no datagrams
	target string

	mu          sync.Mutex
	mode        Mode
	delay       time.Duration
	jitter      time.Duration
	rng         *rand.Rand
	conns       map[net.Conn]bool
	closed      bool
	accepted    int64 // connections made to it,
	bytesPassed int64 // and bytes that crossed, both ways
}

// Traffic is how many connections were made to the link, and the bytes that crossed it, both ways.
func (l *Link) Traffic() (conns, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.bytesPassed
}

// NewLink listens on a free loopback port and forwards to target. seed draws its jitter.
func NewLink(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, target: target, rng: rand.New(rand.NewPCG(seed, 0x6661756c74)), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Addr is where to dial to go through the link.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set gives the link a mode, a delay and a jitter (uniform in [0, jitter)) for each chunk.
func (l *Link) Set(mode Mode, delay, jitter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay, l.jitter = mode, delay, jitter
}

// Reset ends every connection across the link at once with a TCP reset; new ones may follow.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
		delete(l.conns, c)
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.ln.Close()
	if l.udp != nil {
		l.udp.Close()
	}
	l.Reset()
}

func (l *Link) accept() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.accepted++
		l.mu.Unlock()
		go l.forward(in)
	}
}

// forward dials the target for a new connection; a dropped link takes the connection and
// answers nothing, as a far end behind a cut does.
func (l *Link) forward(in net.Conn) {
	if !l.track(in) {
		return
	}
	if l.currentMode() == Drop {
		io.Copy(io.Discard, in)
		l.untrack(in)
		return
	}
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		in.Close()
		l.untrack(in)
		return
	}
	if !l.track(out) {
		in.Close()
		return
	}
	go l.copyDirection(in, out)
	l.copyDirection(out, in)
}

func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *Link) currentMode() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// nextDelay is one chunk's delay, drawn under the lock so that a seed gives one sequence.
func (l *Link) nextDelay() (Mode, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	if l.jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(l.jitter)))
	}
	return l.mode, d
}

// copyDirection copies one direction, chunk by chunk, each after its delay and in order; while the
// link drops, chunks are thrown away.
func (l *Link) copyDirection(from, to net.Conn) {
	defer l.untrack(from)
	defer l.untrack(to)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			mode, d := l.nextDelay()
			if mode == Drop {
				continue
			}
			l.mu.Lock()
			l.bytesPassed += int64(n)
			l.mu.Unlock()
			if d > 0 {
				time.Sleep(d) // the delay itself is the fault; order is kept as one goroutine writes
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				to.Close()
			}
			return
		}
	}
}

// NewGossipLink is a link that carries datagrams beside connections, on one port as membership
// by gossip wants it.
func NewGossipLink(target string, seed uint64) (*Link, error) {
	for range 20 { // another may hold the port for datagrams
		l, err := NewLink(target, seed)
		if err != nil {
			return nil, err
		}
		if l.udp, err = net.ListenPacket("udp", l.Addr()); err != nil {
			l.Close()
			continue
		}
		to, err := net.Dial("udp", target)
		if err != nil {
			l.Close()
			return nil, err
		}
		go l.forwardDatagrams(l.udp, to)
		return l, nil
	}
	return nil, errors.New("faultnet: no port free for both connections and datagrams")
}

// forwardDatagrams forwards datagrams, each after its delay; the order may change, as on a real network.
func (l *Link) forwardDatagrams(in net.PacketConn, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFrom(buf)
		if err != nil {
			return
		}
		mode, d := l.nextDelay()
		switch {
		case mode == Drop:
		case d == 0:
			to.Write(buf[:n]) // a lost datagram is what datagrams are for
		default:
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(d, func() { to.Write(data) })
		}
	}
}

// Mesh is a link for each ordered pair of members: Mesh[from][to] carries from's traffic to to.
type Mesh map[string]map[string]*Link

// NewMesh makes the links between members, given each member's real address.
func NewMesh(addrs map[string]string, seed uint64) (Mesh, error) {
	return newMesh(addrs, seed, NewLink)
}

// NewGossipMesh is a mesh whose links carry datagrams too.
func NewGossipMesh(addrs map[string]string, seed uint64) (Mesh, error) {
	return newMesh(addrs, seed, NewGossipLink)
}

func newMesh(addrs map[string]string, seed uint64, link func(string, uint64) (*Link, error)) (Mesh, error) {
	m := Mesh{}
	i := uint64(0)
	for from := range addrs {
		m[from] = map[string]*Link{}
		for to, addr := range addrs {
			if from == to {
				continue
			}
			i++
			l, err := link(addr, seed+i)
			if err != nil {
				m.Close()
				return nil, err
			}
			m[from][to] = l
		}
	}
	return m, nil
}

// Partition cuts every link between a member of side and one outside it, both ways, and
// heals every other link.
func (m Mesh) Partition(side ...string) {
	in := map[string]bool{}
	for _, s := range side {
		in[s] = true
	}
	for from, tos := range m {
		for to, l := range tos {
			mode := Pass
			if in[from] != in[to] {
				mode = Drop
			}
			l.Set(mode, 0, 0)
			if mode == Drop {
				l.Reset()
			}
		}
	}
}

// Heal lets everything pass again, without delay.
func (m Mesh) Heal() { m.Partition() }

// Delay slows both directions between a and b.
func (m Mesh) Delay(a, b string, d, jitter time.Duration) {
	m[a][b].Set(Pass, d, jitter)
	m[b][a].Set(Pass, d, jitter)
}

// Close ends all links.
func (m Mesh) Close() {
	for _, tos := range m {
		for _, l := range tos {
			l.Close()
		}
	}
}

// DelayAll slows every link, both ways.
func (m Mesh) DelayAll(d time.Duration) { m.DelayWhere(d, func(string, string) bool { return true }) }

// DelayWhere slows the links that are picked by their ends.
func (m Mesh) DelayWhere(d time.Duration, pick func(from, to string) bool) {
	for from, tos := range m {
		for to, l := range tos {
			if pick(from, to) {
				l.Set(Pass, d, 0)
			}
		}
	}
}
