// Package faultnet injects faults between processes of the program, on loopback only. It has proxies and
// wrapped connections that forward, delay, drop or reset the traffic of a link, and a supervisor that
// builds the program, starts processes, kills them with SIGKILL, restarts them and deletes their data.
// Fault schedules and jitter are drawn from seeds, so that a run can be repeated by its seed.
package faultnet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is what a link does with its traffic.
type Mode int

const (
	Pass Mode = iota // forward after the link's delay
	Drop             // read and discard, like a cut cable
)

// Link is a loopback proxy for the traffic of one process to another. Connections through it carry the
// requests of that process and the answers to them.
type Link struct {
	ln     net.Listener
	udp    net.PacketConn // nil: the link forwards no datagrams
	target string

	mu          sync.Mutex
	mode        Mode
	delay       time.Duration
	jitter      time.Duration
	rng         *rand.Rand
	conns       map[net.Conn]bool
	closed      bool
	accepted    int64 // connections
	bytesPassed int64 // in both directions
}

// Traffic returns the number of connections made to the link and the bytes forwarded in both directions.
func (l *Link) Traffic() (conns, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.bytesPassed
}

// NewLink listens on a free loopback port and forwards to target. Its jitter is drawn from seed.
func NewLink(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, target: target, rng: rand.New(rand.NewPCG(seed, 0x6661756c74)), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Addr returns the address to dial for a connection through the link.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set sets the link's mode, and the delay of each chunk plus a jitter that is uniform in [0, jitter).
func (l *Link) Set(mode Mode, delay, jitter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay, l.jitter = mode, delay, jitter
}

// Reset closes the link's connections with a TCP reset. New ones may be opened.
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

// Close stops the proxy and closes its connections.
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

// forward dials the target and forwards a new connection to it. In mode Drop it accepts the connection
// and never answers, like a peer behind a cut.
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

// nextDelay returns the mode and one chunk's delay. The jitter is drawn under the lock, so that a seed
// always gives the same sequence.
func (l *Link) nextDelay() (Mode, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	if l.jitter > 0 {
		d += time.Duration(l.rng.Int64N(int64(l.jitter)))
	}
	return l.mode, d
}

// copyDirection copies one direction of a connection: chunk by chunk and in order, each after its delay.
// In mode Drop, chunks are discarded.
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
				time.Sleep(d) // the injected delay; one goroutine writes, so order is kept
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

// NewGossipLink returns a link that forwards both connections and datagrams on one port, as the
// membership gossip needs.
func NewGossipLink(target string, seed uint64) (*Link, error) {
	for range 20 { // the UDP port of the same number may be taken
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

// forwardDatagrams forwards datagrams, each after its delay. The order may change, as on a real network.
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
			to.Write(buf[:n]) // an error is ignored: datagrams may be lost
		default:
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(d, func() { to.Write(data) })
		}
	}
}

// Mesh holds a link for each ordered pair of members: Mesh[from][to] forwards traffic of from to to.
type Mesh map[string]map[string]*Link

// NewMesh creates the links between members, given each member's real address.
func NewMesh(addrs map[string]string, seed uint64) (Mesh, error) {
	return newMesh(addrs, seed, NewLink)
}

// NewGossipMesh is like NewMesh, but its links forward datagrams too.
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

// Partition cuts every link between a member of side and one outside it, in both directions, and heals
// all other links.
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

// Heal ends all cuts and delays.
func (m Mesh) Heal() { m.Partition() }

// Delay sets the delay and jitter of both directions between a and b.
func (m Mesh) Delay(a, b string, d, jitter time.Duration) {
	m[a][b].Set(Pass, d, jitter)
	m[b][a].Set(Pass, d, jitter)
}

// Close closes all links.
func (m Mesh) Close() {
	for _, tos := range m {
		for _, l := range tos {
			l.Close()
		}
	}
}

// DelayAll sets the delay of every link.
func (m Mesh) DelayAll(d time.Duration) { m.DelayWhere(d, func(string, string) bool { return true }) }

// DelayWhere sets the delay of the links that pick selects by their ends.
func (m Mesh) DelayWhere(d time.Duration, pick func(from, to string) bool) {
	for from, tos := range m {
		for to, l := range tos {
			if pick(from, to) {
				l.Set(Pass, d, 0)
			}
		}
	}
}
