// Package emulator emulates a deployment on loopback, in one process: setup servers whose processors queue
// and refuse set-ups, start cold, slow down and fail; the bulletin that lists them with a delay; callers in
// an open loop; a link between each agent and each setup server that can be cut, delayed or reset; and a
// checker that finds broken rules in the messages. The agents are processes of the program, which tests and
// cmd/woodlab start. Nothing here knows how an agent decides.
package emulator

import (
	"encoding/json"
	"fmt"
	"time"
)

// Deployment describes a deployment: what agents learn from their settings, and what they don't.
type Deployment struct {
	Name  string
	Zones []string
	// Capacity is the sustained rate of each warm setup server in calls a second. If there are more servers
	// than entries, the entries repeat.
	Capacity []float64
	Classes  []Class
	Tenants  []Tenant

	MaxAttempts                int           // most attempts of one call
	MaxRetryAfter              time.Duration // longest retry-after given to callers; 0: none is given
	Probes, Cancel             bool          // agents may test servers, and cancel set-ups
	GivesWait, MarksRetry      bool          // refusals give the queue's wait; callers mark further tries
	ReportMode                 string        // how servers report load: piggyback, pull or silent
	ReportFields               []string      // of a report, besides spare and total: util, queue, latency_ms
	OverShareWorth             float64       // share of its worth that a call beyond its tenant's allowance has
	DrainGrace                 time.Duration // set-ups may arrive this long after a drain is announced
	Cold                       time.Duration // a started server is warm after this
	ColdFrom                   float64       // share of its capacity that a started server begins with
	FallMultiple               float64       // a cold server fails above this multiple of its present rate,
	TipAfter                   time.Duration // taken over a window of this length
	ClearWait                  time.Duration // least wait from a set-up's release to the call's next attempt
	Repeat                     time.Duration // a set-up without an answer is sent again after this; 0: never
	ConnectTimeout             time.Duration // of agents' connections to setup servers
	DropBelow                  time.Duration // servers drop set-ups with less time left without a word; 0: none
	Keepalive                  time.Duration // servers close connections that are idle this long; 0: never
	Hold                       time.Duration // mean length of a call
	Lines                      int           // of each setup server; 0: twice the mean in use at its full rate
	MaxQueueWait               time.Duration // a server refuses set-ups while its queue's wait is longer
	ReportInterval             time.Duration // between refreshes of the processor's figures in reports
	StateInterval              time.Duration // between messages with the group's state
	BulletinDelay              time.Duration // least delay from a change until agents see it
	BulletinSpread             time.Duration // most by which the delays of agents differ
	MaxRedials                 int           // most further tries of a call that did not stand
	RedialBackoff              time.Duration // mean wait before the first further try; it doubles with each
	LinkDelay                  time.Duration // of each link, in each direction
	HandshakePrice, ProbePrice float64       // prices in the settings
	WastePrice                 float64
}

// Class is a class of calls.
type Class struct {
	Name             string
	Share            float64 // of the calls
	Aim, Deadline    time.Duration
	Worth, LateShare float64 // worth of a call within its aim, and the share of it that a later call earns
	TryShare         float64 // share of the deadline that a caller allows each try; 0: all of it
}

// Tenant is a customer, with its share of the calls (Usage) and of the capacity (Share).
type Tenant struct {
	Name         string
	Usage, Share float64
}

// Total returns the sustained rate of this many warm setup servers together, in calls a second.
func (d Deployment) Total(servers int) (sum float64) {
	for i := range servers {
		sum += d.rate(i)
	}
	return sum
}

func (d Deployment) rate(i int) float64 { return d.Capacity[i%len(d.Capacity)] }

func (d Deployment) lines(i int) int {
	if d.Lines > 0 {
		return d.Lines
	}
	return int(2*d.rate(i)*d.hold().Seconds()) + 1
}

func (d Deployment) zone(i int) string { return d.Zones[i%len(d.Zones)] }

// hold returns the mean length of a call, at least 1 ms.
func (d Deployment) hold() time.Duration { return max(d.Hold, time.Millisecond) }

// Settings returns the platform's settings object for one agent, under the platform's names.
func (d Deployment) Settings(rank, agents, servers int) json.RawMessage {
	micros := time.Duration.Microseconds
	type m = map[string]any
	var profiles, customers []m
	var holds []int64
	var pools [][]int
	all := make([]int, servers)
	for i := range all {
		all[i] = i
	}
	for _, c := range d.Classes {
		profiles = append(profiles, m{"name": c.Name, "goalTime": micros(c.Aim), "deadline": micros(c.Deadline),
			"worth": c.Worth, "lateShare": c.LateShare, "semantics": "pure", "stream": true})
		holds, pools = append(holds, micros(d.hold())), append(pools, all)
	}
	for _, t := range d.Tenants {
		customers = append(customers, m{"name": t.Name, "share": t.Share, "allowancePerS": t.Share * d.Total(servers)})
	}
	text, err := json.Marshal(m{
		"nInstances": agents, "rank": rank, "resolution": 1000, "profiles": profiles, "customers": customers,
		"overShareWorth": d.OverShareWorth, "callers": m{"marksRetry": d.MarksRetry}, "discovery": "pushed",
		"deductions": m{"handshake": d.HandshakePrice, "probe": d.ProbePrice, "waste": d.WastePrice},
		"stats":      m{"fields": append([]string{"spare", "total"}, d.ReportFields...), "how": d.ReportMode},
		"limits": m{"maxAttempts": d.MaxAttempts, "maxRetryAfter": micros(d.MaxRetryAfter), "retryAfter": d.MaxRetryAfter > 0,
			"probes": d.Probes, "cancel": d.Cancel, "connectTimeout": micros(d.ConnectTimeout), "keepalive": micros(d.Keepalive)},
		"guarantees": m{"answerSlack": 20_000, "drainGrace": micros(d.DrainGrace), "cold": micros(d.Cold),
			"coldFrom": d.ColdFrom, "fallMultiple": d.FallMultiple, "tipAfter": micros(d.TipAfter)},
		"domain": m{"classHold": holds, "poolsByClass": pools, "clearWait": micros(d.ClearWait), "repeat": micros(d.Repeat),
			"givesWait": d.GivesWait, "networkForm": "groups", "farState": d.ReportMode},
		"localities": d.Zones, "myZone": d.zone(rank),
	})
	if err != nil {
		panic(fmt.Sprintf("settings of numbers and names: %v", err))
	}
	return text
}

// Campus returns a deployment like the first one: one zone, with probes and reports of the processor's wait,
// two classes and three tenants. Callers don't mark further tries.
func Campus() Deployment {
	return Deployment{Name: "campus", Zones: []string{"campus"}, Capacity: []float64{30, 30, 24},
		Classes: []Class{{Name: "group", Share: 0.78, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25, TryShare: 0.35},
			{Name: "private", Share: 0.22, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 3, LateShare: 0.1, TryShare: 0.35}},
		Tenants:     []Tenant{{"east", 0.54, 0.54}, {"harbour", 0.27, 0.27}, {"hillside", 0.19, 0.19}},
		MaxAttempts: 5, MaxRetryAfter: 2 * time.Second, Probes: true, Cancel: true, ReportMode: "piggyback", ReportFields: []string{"latency_ms"},
		OverShareWorth: 0.1, DrainGrace: 2 * time.Second, Cold: 10 * time.Second, ColdFrom: 0.3, FallMultiple: 3, TipAfter: time.Second,
		ClearWait: 300 * time.Millisecond, Repeat: 800 * time.Millisecond, ConnectTimeout: 500 * time.Millisecond,
		Hold: 3 * time.Second, Lines: 600, MaxQueueWait: 2500 * time.Millisecond, ReportInterval: 300 * time.Millisecond,
		StateInterval: time.Second, BulletinDelay: 500 * time.Millisecond, BulletinSpread: 200 * time.Millisecond, MaxRedials: 2,
		RedialBackoff: 700 * time.Millisecond, LinkDelay: 4 * time.Millisecond, ProbePrice: 0.004, WastePrice: 0.02}
}

// Offices returns a deployment like the second one: four zones without probes. Answers report utilization and
// queue length, refusals give the wait, and callers mark further tries.
func Offices() Deployment {
	return Deployment{Name: "offices", Zones: []string{"metro", "south", "gold", "north"}, Capacity: []float64{26, 26, 20},
		Classes:     []Class{{Name: "call", Share: 1, Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25, TryShare: 0.35}},
		Tenants:     []Tenant{{"joon", 0.55, 0.55}, {"bun", 0.33, 0.33}, {"kal", 0.12, 0.12}},
		MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, Cancel: true, GivesWait: true, MarksRetry: true, ReportMode: "piggyback",
		ReportFields: []string{"util", "queue"}, OverShareWorth: 0.05, DrainGrace: time.Second, Cold: 12 * time.Second, ColdFrom: 0.31,
		FallMultiple: 2, TipAfter: time.Second, ClearWait: 300 * time.Millisecond, ConnectTimeout: 500 * time.Millisecond,
		Hold: 3 * time.Second, Lines: 600, MaxQueueWait: 2500 * time.Millisecond, ReportInterval: 300 * time.Millisecond,
		StateInterval: time.Second, BulletinDelay: 500 * time.Millisecond, BulletinSpread: 300 * time.Millisecond, MaxRedials: 2,
		RedialBackoff: 900 * time.Millisecond, LinkDelay: 12 * time.Millisecond, WastePrice: 0.16}
}

// Islands returns a deployment of six zones with probes and no load reports: agents know only what they
// observe themselves.
func Islands() Deployment {
	d := Offices()
	d.Name, d.Zones = "islands", []string{"i1", "i2", "i3", "i4", "i5", "i6"}
	d.Probes, d.ReportMode, d.ReportFields, d.GivesWait, d.MarksRetry = true, "silent", nil, false, false
	d.Capacity, d.DrainGrace, d.Cold, d.FallMultiple = []float64{22}, 1500*time.Millisecond, 8*time.Second, 2.5
	return d
}

// Plain returns a deployment with few features: callers don't try again and get no retry-after, agents make
// at most two attempts and can't cancel, and one of two classes has 30 % of the calls.
func Plain() Deployment {
	d := Campus()
	d.Name, d.Classes = "plain", []Class{{Name: "day", Share: 0.7, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, LateShare: 0.5},
		{Name: "night", Share: 0.3, Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1, LateShare: 0.5}}
	d.Tenants, d.MaxAttempts, d.MaxRetryAfter, d.Cancel, d.MaxRedials = nil, 2, 0, false, 0
	d.ReportMode, d.ReportFields, d.Repeat = "pull", []string{"util"}, 0
	return d
}
