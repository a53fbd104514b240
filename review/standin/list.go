package main

import (
	"errors"
	"time"
)

// Times of the case of the late list.
const (
	listHold     = 8 * time.Second
	listBefore   = 3 * time.Second         // traffic before the bulletin becomes slow
	listLate     = 2 * time.Second         // its answers leave so much later than they are due
	listSlowFor  = 16 * time.Second        // how long that goes on
	drainAfter   = 2 * time.Second         // from there to the drain
	drainTime    = 9600 * time.Millisecond // from the drain's event to the end of the server's process
	listInterval = 40 * time.Millisecond   // between two calls
	listGrace    = 500 * time.Millisecond  // the drain grace in the settings
	toldWithin   = 7 * time.Second         // what the bulletin has to tell counts as told by then
	slack        = 50 * time.Millisecond   // every limit is longer by this on sockets
)

// playLateList drains a setup server while the bulletin answers, but late, and checks that nothing new goes to that
// server once it counts as told and the grace is over.
func playLateList(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
	d := twoZones()
	d.Hold = listHold
	var servers []*setupServer
	for i, name := range []string{"s-1", "s-2"} {
		s, err := newSetupServer(name, i, listHold, record)
		if err != nil {
			return false, err
		}
		s.zone, s.figure = d.Zones[i], "allowed:100"
		cleanup.add(s.stop)
		servers = append(servers, s)
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	a := &agentProcess{name: "n1", listen: listen, deployment: d, servers: len(servers), record: record}
	cleanup.add(a.kill)
	b, err := newBulletin(record, servers...)
	if err != nil {
		return false, err
	}
	cleanup.add(func() { b.srv.Close() })
	if err := a.start(b); err != nil {
		return false, err
	}
	g := newGateway("east", "127.0.0.21", listen, record)
	g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
	cleanup.add(g.stop)
	g.run(listInterval)
	if err := awaitReady([]*gateway{g}); err != nil {
		return false, err
	}
	time.Sleep(listBefore)
	if trouble {
		b.setLate(listLate)
		time.AfterFunc(listSlowFor, func() { b.setLate(0) })
	}
	time.Sleep(drainAfter)
	drained := servers[0]
	inBulletin := b.announce(drained, "draining")
	time.Sleep(drainTime)
	drained.stop()
	record.add("server %s has stopped", drained.name)
	b.announce(drained, "removed")
	time.Sleep(time.Second)
	return judgeDrain(record, drained, inBulletin)
}

// judgeDrain checks that no set-up came to the server later than the grace after it counts as told.
func judgeDrain(record *recorder, s *setupServer, inBulletin time.Time) (kept bool, err error) {
	limit := inBulletin.Add(toldWithin + listGrace + slack)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, late, last := 0, 0, time.Duration(0)
	for _, arrived := range s.setUps {
		switch after := arrived.at.Sub(limit); {
		case arrived.at.Before(inBulletin):
			before++
		case after > 0:
			late++
			last = max(last, after)
			record.add("late: set-up %v came to %s %v after the limit", arrived.id, s.name, after.Round(time.Millisecond))
		}
	}
	record.say("%d set-ups at %s before its drain, %d later than %v after the drain was in the bulletin, the last by %v", before, s.name, late,
		toldWithin+listGrace+slack, last.Round(time.Millisecond))
	if before == 0 {
		return false, errors.New("no set-up came to the server before its drain")
	}
	return late == 0, nil
}
