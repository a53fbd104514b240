package clientlab

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/isup"
)

// Crowd is a kind of client of which many connect at once.
type Crowd struct {
	Name  string
	Front Front
	// upgraded says that the client makes the handshake of the call API before it sends.
	upgraded bool
	// send sends on one connection until it ends or nothing more comes. It may leave a message unfinished.
	send func(conn net.Conn, n *atomic.Uint64)
}

// Figures of the crowds.
const (
	messageBytes  = 16 << 10 // the largest message, and the largest head of a request
	frameBytes    = 64 << 10 // the largest message of the call API
	slowPart      = 64       // bytes in one write of a client that writes slowly
	slowPause     = 5 * time.Millisecond
	crowdHost     = "127.0.0.3"
	crowdAfter    = 300 * time.Millisecond // the gateways run alone until then
	dialPause     = 5 * time.Millisecond
	fragmentBytes = 2 << 10
)

// Crowds are the kinds of crowds.
var Crowds = []Crowd{
	{"half of a large set-up", Binary, false, func(conn net.Conn, n *atomic.Uint64) {
		m := largeSetUp(n)
		conn.Write(m[:len(m)/2])
	}},
	{"a large set-up without its last byte", Binary, false, func(conn net.Conn, n *atomic.Uint64) {
		m := largeSetUp(n)
		conn.Write(m[:len(m)-1])
	}},
	{"a large set-up written slowly", Binary, false, func(conn net.Conn, n *atomic.Uint64) { writeSlowly(conn, largeSetUp(n)) }},
	{"messages of many empty parameters", Binary, false, func(conn net.Conn, n *atomic.Uint64) {
		for m := manyParameters(n); ; {
			if _, err := conn.Write(m); err != nil {
				return
			}
		}
	}},
	{"large set-ups of unknown classes", Binary, false, func(conn net.Conn, n *atomic.Uint64) {
		for writeAll(conn, binarySetUp(isup.CallID(n.Add(1)), "no such class", "1", strings.Repeat("x", messageBytes-200))) {
		}
	}},
	{"large set-ups", Binary, false, func(conn net.Conn, n *atomic.Uint64) {
		for writeAll(conn, largeSetUp(n)) {
		}
	}},
	{"a head of many short fields, not ended", API, false, func(conn net.Conn, _ *atomic.Uint64) {
		fmt.Fprint(conn, upgradeHead(shortFields(messageBytes-len(upgradeHead(""))-8)))
	}},
	{"a head of many short fields, written slowly", API, false, func(conn net.Conn, _ *atomic.Uint64) {
		writeSlowly(conn, []byte(upgradeHead(shortFields(messageBytes-len(upgradeHead(""))-8))))
	}},
	{"heads of many short fields", API, false, func(conn net.Conn, _ *atomic.Uint64) {
		fmt.Fprint(conn, upgradeHead(shortFields(messageBytes-len(upgradeHead(""))-8)), "\r\n")
	}},
	{"half of a large frame", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		f := frame(finalBit|opText, make([]byte, frameBytes))
		conn.Write(f[:len(f)/2])
	}},
	{"the head of a large frame", API, true, func(conn net.Conn, _ *atomic.Uint64) { conn.Write(frameHead(finalBit|opText, frameBytes)) }},
	{"a large frame written slowly", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		writeSlowly(conn, frame(finalBit|opText, make([]byte, frameBytes)))
	}},
	{"fragments of a message that is not ended", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		conn.Write(frame(opText, make([]byte, fragmentBytes)))
		for sent := fragmentBytes; sent+fragmentBytes <= frameBytes; sent += fragmentBytes {
			conn.Write(frame(0, make([]byte, fragmentBytes)))
		}
	}},
	{"objects of many short fields", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		f := textFrame([]byte("{" + strings.Repeat(`"a":1,`, (frameBytes-8)/6) + `"b":1}`))
		for writeAll(conn, f) {
		}
	}},
	{"parameters of many short fields", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		f := textFrame([]byte(`{"jsonrpc":"2.0","id":1,"method":"call.setUp","params":{` + strings.Repeat(`"a":1,`, (frameBytes-80)/6) + `"b":1}}`))
		for writeAll(conn, f) {
		}
	}},
	{"deep arrays", API, true, func(conn net.Conn, _ *atomic.Uint64) {
		f := textFrame([]byte(strings.Repeat("[", frameBytes)))
		for writeAll(conn, f) {
		}
	}},
}

func largeSetUp(n *atomic.Uint64) []byte {
	return binarySetUp(isup.CallID(n.Add(1)), callClass, "1", strings.Repeat("x", messageBytes-200))
}

// manyParameters returns a message of as many parameters as it can have, each without a value.
func manyParameters(n *atomic.Uint64) []byte {
	const emptyParameterBytes, headBytes = 3, 9
	m := isup.Message{Type: isup.SetUp, Call: isup.CallID(n.Add(1))}
	for range (messageBytes - headBytes) / emptyParameterBytes {
		m.Values = append(m.Values, isup.Value{Code: isup.Figures})
	}
	return encode(m)
}

func writeAll(conn net.Conn, b []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(b)
	return err == nil
}

// writeSlowly writes in parts with pauses and leaves the last one out.
func writeSlowly(conn net.Conn, b []byte) {
	for len(b) > slowPart {
		if !writeAll(conn, b[:slowPart]) {
			return
		}
		b = b[slowPart:]
		time.Sleep(slowPause)
	}
}

// Config configures a trial of a crowd.
type Config struct {
	Bin, Dir string
	Limits   Limits
	Clients  int
	Span     time.Duration
}

// Report is the result of a trial of a crowd.
type Report struct {
	MostMB      float64 // of anonymous memory
	Ended       bool    // the process ended by itself
	Connections int64   // made by the crowd
	Gateways    map[Front]Delays
	GatewayErrs []error
	Log         string
}

func (r Report) String() string {
	text := fmt.Sprintf("%.1f MB at most, process ended %t, %d connections", r.MostMB, r.Ended, r.Connections)
	for _, front := range []Front{Binary, API} {
		text += fmt.Sprintf("\n    gateway on %s: %v", front, r.Gateways[front])
	}
	for _, err := range r.GatewayErrs {
		text += fmt.Sprintf("\n    %v", err)
	}
	return text
}

// PlayCrowd plays a crowd beside a gateway on each front. The error says that the trial could not be played.
func PlayCrowd(ctx context.Context, cfg Config, kind Crowd) (Report, error) {
	s, err := startSite(cfg.Bin, cfg.Dir, cfg.Limits, false)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	return s.playBeside(ctx, cfg.Span, func(ctx context.Context) int64 { return s.crowd(ctx, kind, cfg.Clients) })
}

// playBeside runs bad clients beside a gateway on each front and returns the figures. play returns how many connections
// it made.
func (s *site) playBeside(ctx context.Context, span time.Duration, play func(context.Context) int64) (Report, error) {
	report := Report{Gateways: map[Front]Delays{}}
	memory := watchMemory(s.proc.PID())
	ctx, cancel := context.WithTimeout(ctx, span+crowdAfter)
	defer cancel()
	var work sync.WaitGroup
	var mu sync.Mutex
	for _, front := range []Front{Binary, API} {
		g, err := s.startGateway(front)
		if err != nil {
			return report, err
		}
		work.Go(func() {
			delays, err := g.run(ctx)
			mu.Lock()
			defer mu.Unlock()
			report.Gateways[front] = delays
			if err != nil {
				report.GatewayErrs = append(report.GatewayErrs, err)
			}
		})
	}
	time.Sleep(crowdAfter)
	connections := play(ctx)
	work.Wait()
	report.MostMB, report.Ended, report.Connections, report.Log = memory.mostMB(), !s.proc.Running(), connections, s.proc.Log()
	return report, nil
}

// crowd keeps a number of clients connected until ctx ends.
func (s *site) crowd(ctx context.Context, kind Crowd, clients int) int64 {
	var work sync.WaitGroup
	var connections atomic.Int64
	var id atomic.Uint64
	for range clients {
		work.Go(func() {
			for ctx.Err() == nil {
				if s.crowdConnection(ctx, kind, &id) {
					connections.Add(1)
				}
				time.Sleep(dialPause)
			}
		})
	}
	work.Wait()
	return connections.Load()
}

// crowdConnection plays one connection of a crowd until it ends, and reports whether it came up.
func (s *site) crowdConnection(ctx context.Context, kind Crowd, id *atomic.Uint64) bool {
	conn, err := s.dialCrowd(kind)
	if err != nil {
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	read := make(chan struct{})
	go func() { io.Copy(io.Discard, conn); close(read) }()
	kind.send(conn, id)
	<-read
	return true
}

func (s *site) dialCrowd(kind Crowd) (net.Conn, error) {
	if kind.Front == API && !kind.upgraded {
		dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdHost)}}
		return dialer.Dial("tcp", s.apiAddr)
	}
	conn, _, err := s.dial(kind.Front, crowdHost)
	return conn, err
}
