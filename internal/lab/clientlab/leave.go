package clientlab

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/isup"
)

// Departure is a way in which a client leaves with requests unread.
type Departure struct {
	Name  string
	Front Front
	leave func(conn net.Conn)
	// again says that the client sends the same requests on a new connection after it has left.
	again bool
	// upgrade says that the new connection is to a second process, which takes over the callers' socket.
	upgrade bool
}

func closeConn(conn net.Conn) { conn.Close() }

func resetConn(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func halfClose(conn net.Conn) { conn.(*net.TCPConn).CloseWrite() }

// Departures are the ways to leave.
var Departures = []Departure{
	{"closes", Binary, closeConn, false, false},
	{"resets", Binary, resetConn, false, false},
	{"half-closes", Binary, halfClose, false, false},
	{"closes", API, closeConn, false, false},
	{"resets", API, resetConn, false, false},
	{"closes and comes again", Binary, closeConn, true, false},
	{"resets and comes again", Binary, resetConn, true, false},
	{"closes and comes again", API, closeConn, true, false},
	{"closes and comes again at an upgrade", Binary, closeConn, true, true},
	{"resets and comes again at an upgrade", Binary, resetConn, true, true},
}

// Figures of a departure. While the agent is suspended its kernel goes on accepting what clients send.
const (
	departureHost = "127.0.0.4"
	stopDelay     = 300 * time.Millisecond // from a request that is answered to the suspension
	leftDelay     = 200 * time.Millisecond // from the departure to the agent's going on
	settleDelay   = 3 * time.Second
)

// DepartureReport is the result of a departure.
type DepartureReport struct {
	Requests, Bytes int // that were unread as the client left
	SentOn          int // of those, before a request that came again
	SentTwice       int // requests of which set-ups were sent twice
}

func (r DepartureReport) String() string {
	return fmt.Sprintf("%d requests (%d bytes) unread: %d sent on, %d sent twice", r.Requests, r.Bytes, r.SentOn, r.SentTwice)
}

// PlayDeparture has a client write requests to a suspended agent and leave. Clients is the number of requests.
func PlayDeparture(ctx context.Context, cfg Config, kind Departure) (DepartureReport, error) {
	s, err := startSite(cfg.Bin, cfg.Dir, cfg.Limits, kind.upgrade)
	if err != nil {
		return DepartureReport{}, err
	}
	defer s.close()
	conn, in, err := s.dial(kind.Front, departureHost)
	if err != nil {
		return DepartureReport{}, err
	}
	defer conn.Close()
	go io.Copy(io.Discard, in)
	conn.Write(departureSetUp(kind.Front, 1)) // the agent has accepted the connection once it has sent this on
	if err := s.awaitSetUps(ctx, 1); err != nil {
		return DepartureReport{}, err
	}
	time.Sleep(stopDelay)
	s.proc.Suspend()
	report := DepartureReport{Requests: cfg.Clients}
	var requests []byte
	for i := range cfg.Clients {
		requests = append(requests, departureSetUp(kind.Front, isup.CallID(i+2))...)
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if report.Bytes, err = conn.Write(requests); err != nil {
		s.proc.Resume()
		return report, fmt.Errorf("the agent's kernel did not take the requests: %w", err)
	}
	kind.leave(conn)
	second, err := s.comeAgain(kind, requests)
	time.Sleep(leftDelay)
	s.proc.Resume()
	if kind.upgrade {
		s.proc.Term()
	}
	if second != nil {
		defer second.Kill()
	}
	time.Sleep(settleDelay)
	total, byCall := s.setUps()
	for _, n := range byCall {
		if n > 1 {
			report.SentTwice++
		}
	}
	report.SentOn = total - 1
	if kind.again {
		report.SentOn = report.SentTwice
	}
	return report, err
}

// comeAgain sends the requests again, if this departure has that. It returns the second process of an upgrade.
func (s *site) comeAgain(kind Departure, requests []byte) (second *faultnet.Proc, err error) {
	if !kind.again {
		return nil, nil
	}
	if kind.upgrade {
		if second, err = s.startAgent("a0-next"); err != nil {
			return nil, err
		}
	}
	go func() { // without an upgrade the agent accepts only once it goes on
		conn, in, err := s.dial(kind.Front, departureHost)
		if err != nil {
			return
		}
		defer conn.Close()
		go io.Copy(io.Discard, in)
		conn.Write(requests)
		time.Sleep(settleDelay)
	}()
	return second, nil
}

func departureSetUp(front Front, id isup.CallID) []byte {
	if front == API {
		return apiSetUp(id, callClass, "1", "offer")
	}
	return binarySetUp(id, callClass, "1", "offer")
}

// awaitSetUps waits until the servers have received a number of set-ups.
func (s *site) awaitSetUps(ctx context.Context, want int) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		if total, _ := s.setUps(); total >= want {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("the servers did not receive %d set-ups", want)
		}
		time.Sleep(time.Millisecond)
	}
}
