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

// MembershipCost is the measured cost of membership for a number of agents.
type MembershipCost struct {
	Agents          int
	JoinTime        time.Duration // until every agent knows every other
	DatagramRate    float64       // datagrams per second that an agent sends
	ByteRate        float64       // bytes per second that an agent sends in datagrams
	EpochDelay      time.Duration // from an epoch's announcement until every agent has received it
	FreshShare      float64       // share of agents of which a decider holds a summary younger than 5 s
	SummaryByteRate float64       // bytes of summaries per second that a decider receives
}

// controlGroupSize is the number of agents that may decide, the members of the control group.
const controlGroupSize = 3

// MeasureMembership runs the membership of all agents in this process, with real gossip on loopback.
// Each agent sends one summary per second for the given span.
func MeasureMembership(ctx context.Context, agents int, span time.Duration) (MembershipCost, error) {
	cost := MembershipCost{Agents: agents}
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
			return cost, err
		}
		addr := ln.Addr().String()
		ln.Close()
		cfg := members.Config{Bind: addr}
		if i > 0 {
			cfg.Seeds = []string{seed}
		} else {
			seed = addr
		}
		m, err := members.Open(cfg, members.Member{Name: fmt.Sprint("a", i), Zone: zoneName(i % 4), Region: "r", InControlGroup: i < controlGroupSize}, log)
		if err != nil {
			return cost, err
		}
		all = append(all, m)
		if _, err := m.Rejoin(); err != nil {
			return cost, err
		}
	}
	began := time.Now()
	if err := awaitAll(ctx, all, func(m *members.Members) bool { return m.Size() == agents }); err != nil {
		return cost, fmt.Errorf("joining: %w", err)
	}
	cost.JoinTime = time.Since(began)
	sentBefore, bytesBefore := totalTraffic(all)
	began = time.Now()
	for seq := uint64(1); time.Since(began) < span && ctx.Err() == nil; seq++ {
		for i, m := range all {
			m.SendSummary(exampleSummary(i, seq))
		}
		time.Sleep(time.Second)
	}
	took := time.Since(began).Seconds()
	sent, bytes := totalTraffic(all)
	cost.DatagramRate, cost.ByteRate = float64(sent-sentBefore)/took/float64(agents), float64(bytes-bytesBefore)/took/float64(agents)
	cost.FreshShare = freshShare(all[:controlGroupSize], agents)
	text, _ := json.Marshal(exampleSummary(0, 1))
	cost.SummaryByteRate = float64(len(text) * agents)
	began = time.Now()
	all[0].AnnounceEpoch(1)
	if err := awaitAll(ctx, all, func(m *members.Members) bool { return m.Epoch() == 1 }); err != nil {
		return cost, fmt.Errorf("announcing: %w", err)
	}
	cost.EpochDelay = time.Since(began)
	return cost, nil
}

// exampleSummary returns a summary of typical size, with four observed zones and two call classes.
func exampleSummary(i int, seq uint64) failover.Summary {
	summary := failover.Summary{Agent: fmt.Sprint("a", i), Zone: zoneName(i % 4), Life: 1, Seq: seq,
		Offered: map[string]float64{"private-lesson": 3.2, "group-lesson": 1.7}, Seen: map[string]failover.Sight{}}
	for z := range 4 {
		summary.Seen[zoneName(z)] = failover.Sight{Listed: 6, Up: 6, Capacity: 120.5, Tries: 1.25, WaitMs: 21}
	}
	return summary
}

// maxSummaryAge is the age up to which a summary counts as fresh, the value in deploy/failover.yaml.
const maxSummaryAge = 5 * time.Second

func freshShare(receivers []*members.Members, agents int) float64 {
	n := 0
	for _, m := range receivers {
		for _, s := range m.Summaries() {
			if time.Since(time.UnixMicro(s.AtUs)) < maxSummaryAge {
				n++
			}
		}
	}
	return float64(n) / float64(len(receivers)*agents)
}

func totalTraffic(all []*members.Members) (sent, bytes int64) {
	for _, m := range all {
		s, b, _ := m.Traffic()
		sent, bytes = sent+s, bytes+b
	}
	return sent, bytes
}

// maxWait bounds each wait of the measurement.
const maxWait = time.Minute

func awaitAll(ctx context.Context, all []*members.Members, ok func(*members.Members) bool) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
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
