package faultnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Hub is the links between processes that exchange datagrams and streams. It has one proxy in front of
// each process, instead of one for each pair, so that hundreds of processes fit on one machine. It tells
// senders apart by their source address, so each process must send from an address of its own.
type Hub struct {
	processOf func(net.Addr) int // the process with this address; -1: none

	mu          sync.Mutex
	isolated    map[int]bool    // processes cut off, both ways, from those that are not in it
	blocked     map[[2]int]bool // one-way cuts, from one process to another
	delay       time.Duration
	conns       map[net.Conn]bool
	listeners   []io.Closer
	closed      bool
	bytesPassed int64 // by datagrams and streams
}

// NewHub returns a hub without processes. from maps an address to the process that has it, or to -1.
func NewHub(from func(net.Addr) int) *Hub {
	return &Hub{processOf: from, isolated: map[int]bool{}, blocked: map[[2]int]bool{}, conns: map[net.Conn]bool{}}
}

// Add starts a proxy that listens on front and forwards to a process at target.
func (h *Hub) Add(process int, front, target string) error {
	ln, err := net.Listen("tcp", front)
	if err != nil {
		return err
	}
	udp, err := net.ListenPacket("udp", front)
	if err != nil {
		ln.Close()
		return err
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listeners = append(h.listeners, ln, udp)
	h.mu.Unlock()
	go h.forwardDatagrams(process, udp, to)
	go h.accept(process, ln, target)
	return nil
}

// Partition cuts the given processes off from all others and ends every other cut. Without arguments it
// heals all links. It closes all streams.
func (h *Hub) Partition(side ...int) {
	h.mu.Lock()
	h.isolated, h.blocked = map[int]bool{}, map[[2]int]bool{}
	for _, p := range side {
		h.isolated[p] = true
	}
	h.mu.Unlock()
	h.closeStreams()
}

// CutOneWay drops what one process sends another until the next Partition.
func (h *Hub) CutOneWay(from, to int) {
	h.mu.Lock()
	h.blocked[[2]int{from, to}] = true
	h.mu.Unlock()
}

// Delay sets the delay that is added in each direction.
func (h *Hub) Delay(d time.Duration) {
	h.mu.Lock()
	h.delay = d
	h.mu.Unlock()
}

// Bytes returns the number of bytes forwarded so far.
func (h *Hub) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytesPassed
}

// admit reports whether data may pass between two processes and after which delay, and counts it.
func (h *Hub) admit(from, to, bytes int) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.isolated[from] != h.isolated[to] || h.blocked[[2]int{from, to}] {
		return false, 0
	}
	h.bytesPassed += int64(bytes)
	return true, h.delay
}

func (h *Hub) forwardDatagrams(process int, udp net.PacketConn, to net.Addr) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := udp.ReadFrom(buf)
		if err != nil {
			return
		}
		ok, d := h.admit(h.processOf(src), process, n)
		switch {
		case !ok:
		case d == 0:
			udp.WriteTo(buf[:n], to) // an error is ignored: datagrams may be lost
		default:
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(d, func() { udp.WriteTo(data, to) })
		}
	}
}

func (h *Hub) accept(process int, ln net.Listener, target string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go h.forwardStream(h.processOf(in.RemoteAddr()), process, in, target)
	}
}

// forwardStream forwards one stream in both directions. Across a cut, it accepts the stream and never
// answers.
func (h *Hub) forwardStream(from, process int, in net.Conn, target string) {
	if !h.track(in) {
		return
	}
	defer h.untrack(in)
	if ok, _ := h.admit(from, process, 0); !ok {
		io.Copy(io.Discard, in)
		return
	}
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil || !h.track(out) {
		return
	}
	defer h.untrack(out)
	go h.copyDirection(process, from, out, in)
	h.copyDirection(from, process, in, out)
}

func (h *Hub) copyDirection(from, to int, in, out net.Conn) {
	defer in.Close()
	defer out.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			ok, d := h.admit(from, to, n)
			if !ok {
				return
			}
			time.Sleep(d) // the injected delay
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (h *Hub) track(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		c.Close()
		return false
	}
	h.conns[c] = true
	return true
}

func (h *Hub) untrack(c net.Conn) {
	h.mu.Lock()
	delete(h.conns, c)
	h.mu.Unlock()
	c.Close()
}

// closeStreams closes all streams, so that none stays open across a new cut.
func (h *Hub) closeStreams() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// Close stops all proxies and closes their streams.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	ends := h.listeners
	h.mu.Unlock()
	for _, e := range ends {
		e.Close()
	}
	h.closeStreams()
}
