package zonelab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"woodrouter/failover"
	"woodrouter/internal/fleet/members"
)

// Cost is what membership takes of an agent at a size.
type Cost struct {
	Agents    int
	Joined    time.Duration // until all know all
	Datagrams float64       // an agent sends a second
	Bytes     float64       // in datagrams, an agent a second
	Heard     time.Duration // from an epoch's announcement until all have heard of it
	Fresh     float64       // share of all agents' summaries that a decider holds younger than 5 s
	Hears     float64       // bytes of summaries that a decider hears a second
}

// deciders is how many of the agents may decide: a control group's members.
const deciders = 3

// Membership runs agents' membership in this process on loopback, real gossip and all, each
// telling a summary a second, for a while, and measures it.
func Membership(ctx context.Context, agents int, span time.Duration) (Cost, error) {
	c := Cost{Agents: agents}
	log := slog.New(slog.DiscardHandler)
	var all []*members.Members
	defer func() {
		var leaving sync.WaitGroup
		for _, m := range all {
			leaving.Go(m.Shutdown)
		}
		leaving.Wait()
	}()
	seed := ""
	for i := range agents {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return c, err
		}
		at := ln.Addr().String()
		ln.Close()
		cfg := members.Config{Bind: at}
		if i > 0 {
			cfg.Seeds = []string{seed}
		} else {
			seed = at
		}
		m, err := members.Open(cfg, members.Member{Name: fmt.Sprint("a", i), Zone: name(i % 4), Region: "r", InControlGroup: i < deciders}, log)
		if err != nil {
			return c, err
		}
		all = append(all, m)
		if _, err := m.Rejoin(); err != nil {
			return c, err
		}
	}
	began := time.Now()
	if err := until(ctx, all, func(m *members.Members) bool { return m.Size() == agents }); err != nil {
		return c, fmt.Errorf("joining: %w", err)
	}
	c.Joined = time.Since(began)
	sent0, bytes0 := traffic(all)
	began = time.Now()
	for seq := uint64(1); time.Since(began) < span && ctx.Err() == nil; seq++ {
		for i, m := range all {
			m.SendSummary(summary(i, seq))
		}
		time.Sleep(time.Second)
	}
	took := time.Since(began).Seconds()
	sent, bytes := traffic(all)
	c.Datagrams, c.Bytes = float64(sent-sent0)/took/float64(agents), float64(bytes-bytes0)/took/float64(agents)
	c.Fresh = fresh(all[:deciders], agents)
	text, _ := json.Marshal(summary(0, 1))
	c.Hears = float64(len(text) * agents)
	began = time.Now()
	all[0].AnnounceEpoch(1)
	if err := until(ctx, all, func(m *members.Members) bool { return m.Epoch() == 1 }); err != nil {
		return c, fmt.Errorf("announcing: %w", err)
	}
	c.Heard = time.Since(began)
	return c, nil
}

// summary is one of a usual size: four zones seen, two classes offered.
func summary(i int, seq uint64) failover.Summary {
	s := failover.Summary{Agent: fmt.Sprint("a", i), Zone: name(i % 4), Life: 1, Seq: seq,
		Offered: map[string]float64{"private-lesson": 3.2, "group-lesson": 1.7}, Seen: map[string]failover.Sight{}}
	for z := range 4 {
		s.Seen[name(z)] = failover.Sight{Listed: 6, Up: 6, Capacity: 120.5, Tries: 1.25, WaitMs: 21}
	}
	return s
}

// freshAfter is the age up to which a summary counts, as deploy/failover.yaml has it.
const freshAfter = 5 * time.Second

func fresh(who []*members.Members, of int) float64 {
	n := 0
	for _, m := range who {
		for _, s := range m.Summaries() {
			if time.Since(time.UnixMicro(s.AtUs)) < freshAfter {
				n++
			}
		}
	}
	return float64(n) / float64(len(who)*of)
}

func traffic(all []*members.Members) (sent, bytes int64) {
	for _, m := range all {
		s, b, _ := m.Traffic()
		sent, bytes = sent+s, bytes+b
	}
	return sent, bytes
}

// untilMost bounds what the measurement waits for.
const untilMost = time.Minute

func until(ctx context.Context, all []*members.Members, ok func(*members.Members) bool) error {
	ctx, cancel := context.WithTimeout(ctx, untilMost)
	defer cancel()
	for _, m := range all {
		for !ok(m) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}
