package main

import (
	"errors"
	"time"

	"woodrouter/isup"
)

// Times of the case of the two copies.
const (
	copiesHold     = 9500 * time.Millisecond // length of a call
	copiesDelay    = 110 * time.Millisecond  // from a set-up to its answer
	copiesBefore   = 4 * time.Second         // traffic before the cut
	copiesCut      = 6 * time.Second         // length of the cut
	copiesAfter    = 6 * time.Second         // from its end to the end of the case
	copiesInterval = 40 * time.Millisecond   // between two calls of a gateway
	releaseWithin  = time.Second + slack     // a release is due by then once the server is reached again
)

// playCopies cuts the zone of one of two setup servers off, and checks that no call goes on standing at both servers once
// the first is reached again.
func playCopies(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
	d := twoZones()
	d.Hold = copiesHold
	var servers []*setupServer
	for i, name := range []string{"s-1", "s-2"} {
		s, err := newSetupServer(name, i, copiesHold, record)
		if err != nil {
			return false, err
		}
		s.zone, s.figure, s.delay = d.Zones[i], "allowed:100", copiesDelay
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
	gateways := []*gateway{newGateway("lembah", "127.0.0.21", listen, record), newGateway("teratai", "127.0.0.22", listen, record)}
	for _, g := range gateways {
		g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
		cleanup.add(g.stop)
		g.run(copiesInterval)
	}
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	time.Sleep(copiesBefore)
	if trouble {
		if err := servers[1].cutOff(); err != nil {
			return false, err
		}
	}
	time.Sleep(copiesCut)
	if trouble {
		if err := servers[1].restore(); err != nil {
			return false, err
		}
	}
	reachedAt := time.Now()
	time.Sleep(copiesAfter)
	if servers[1].connectedAt().IsZero() {
		return false, errors.New("the agent has not connected to the server again")
	}
	return judgeCopies(record, servers, reachedAt)
}

// judgeCopies checks that no call stands at two servers once the server that was cut off is connected to the agent again
// and the time for a release is over.
func judgeCopies(record *recorder, servers []*setupServer, reachedAt time.Time) (kept bool, err error) {
	for _, s := range servers {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	away, home := servers[1], servers[0]
	from := latest(reachedAt, away.openedAt).Add(releaseWithin)
	both, copies := 0, 0
	for id, at := range away.stood {
		other, ok := home.stood[id]
		if !ok {
			continue
		}
		both++
		begin := latest(at, other, from)
		end := earliest(away.overAt(id), home.overAt(id))
		if end.After(begin) {
			copies++
			record.add("two copies: call %v stands at %s from %d to %d, and at %s from %d to %d", id, away.name, at.UnixMilli(), away.overAt(id).UnixMilli(),
				home.name, other.UnixMilli(), home.overAt(id).UnixMilli())
		}
	}
	record.say("%d calls stood at %s, %d of them at %s too; %d stood at both more than %v after %s was connected again", len(away.stood), away.name, both, home.name,
		copies, releaseWithin, away.name)
	if len(away.stood) < minJudged || len(home.stood) < minJudged {
		return false, errors.New("too few calls stood")
	}
	return copies == 0, nil
}

// connectedAt returns when the agent first connected to the server, since the end of a cut if there was one.
func (s *setupServer) connectedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openedAt
}

// overAt returns when a call that stood was over at the server; now, if it still stands.
func (s *setupServer) overAt(id isup.CallID) time.Time {
	if at, ok := s.over[id]; ok {
		return at
	}
	return time.Now()
}

func latest(times ...time.Time) (t time.Time) {
	for _, u := range times {
		if u.After(t) {
			t = u
		}
	}
	return t
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
