package main

import (
	"bufio"
	"errors"
	"net"
	"time"

	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// Times of the play of the crossing set-ups.
const (
	crossDelay   = 150 * time.Millisecond // from a set-up to its answer
	crossRest    = 20 * time.Millisecond  // from a connection's opening to the set-up
	crossWithin  = 30 * time.Millisecond  // from the set-up to the end of the connection; the pages allow 50
	crossReopen  = 5 * time.Millisecond   // from there to the new connection
	crossTries   = 30
	releaseFirst = 300 * time.Millisecond // the site's wait after a cancelled attempt
)

// playCross resets connections on which a set-up has just been sent, sends each set-up once more on a new connection, as
// callers do, and checks that no server gets the call again before the wait after its cancelled attempt is over. It belongs
// to no case: see REPORT.md.
func playCross(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
	d := emulator.Campus()
	var servers []*setupServer
	for i, name := range []string{"s-1", "s-2"} {
		s, err := newSetupServer(name, i, rudeHold, record)
		if err != nil {
			return false, err
		}
		s.delay = crossDelay
		cleanup.add(s.stop)
		servers = append(servers, s)
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	a := &agentProcess{name: "n1", listen: listen, deployment: d, servers: len(servers), record: record}
	cleanup.add(a.kill)
	if err := startWithList(a, record, servers, cleanup); err != nil {
		return false, err
	}
	g := newGateway("east", "127.0.0.21", listen, record)
	g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
	cleanup.add(g.stop)
	g.run(endsInterval)
	if err := awaitReady([]*gateway{g}); err != nil {
		return false, err
	}
	time.Sleep(rudeBefore)
	soon := 0
	for range crossTries {
		id := newCallID()
		if err := cross(g, listen, id, trouble); err != nil {
			return false, err
		}
		if sentAgainWithin(servers, id, releaseFirst) {
			soon++
		}
	}
	record.say("%d of %d calls came to a server again within %v of their first set-up there or at the other", soon, crossTries, releaseFirst)
	return soon == 0, nil
}

// cross sends a set-up and, with trouble, again on a new connection after the first was reset. It reads one answer.
func cross(g *gateway, listen string, id isup.CallID, trouble bool) error {
	setUp := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, g.class).WithMillis(isup.TimeLeft, g.wait).WithText(isup.Tenant, g.tenant).
		WithText(isup.Number, id.String()).WithText(isup.Figures, "dest:0;width:1;via:-1").WithText(isup.Description, "offer")
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	time.Sleep(crossRest)
	g.write(conn, setUp)
	if trouble {
		time.Sleep(crossWithin)
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			return err
		}
		conn.Close()
		time.Sleep(crossReopen)
		if conn, err = net.Dial("tcp", listen); err != nil {
			return err
		}
		g.write(conn, setUp)
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(g.wait + time.Second))
	m, err := isup.Read(bufio.NewReader(conn))
	if err != nil {
		return errors.Join(errors.New("no answer to a set-up"), err)
	}
	g.record.add("caller: %v: message of type %d", id, m.Type)
	return nil
}

// sentAgainWithin reports whether two set-ups of a call came to the servers within a time.
func sentAgainWithin(servers []*setupServer, id isup.CallID, within time.Duration) bool {
	var times []time.Time
	for _, s := range servers {
		s.mu.Lock()
		for _, arrived := range s.setUps {
			if arrived.id == id {
				times = append(times, arrived.at)
			}
		}
		s.mu.Unlock()
	}
	return len(times) > 1 && times[1].Sub(times[0]).Abs() < within
}
