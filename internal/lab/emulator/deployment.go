// Package emulator is the laboratory's own deployment, on loopback and in one process: setup
// servers with processors that queue, turn away, start cold, slow down and fall; the bulletin
// that lists them, late; callers whose calls come whether or not the agents keep up; a link for
// each pair of an agent and a setup server that can be cut, delayed or reset; and a checker that
// reads the wire for broken rules. The agents are processes of the program; tests and
// cmd/woodlab start them. Nothing here knows how an agent decides.
package emulator

import (
	"encoding/json"
	"fmt"
	"time"
)

// Deployment is the figures of one deployment: what the agents are told of in their settings,
// and what they are not.
type Deployment struct {
	Name  string
	Zones []string
	// Capacity is how many calls a second each setup server can take for good when warm, in turn.
	Capacity []float64
	Classes  []Class
	Tenants  []Tenant

	MaxAttempts                int           // most of one call
	MaxRetryAfter              time.Duration // most that a caller stays away; 0: nothing is told
	Probes, Cancel             bool
	GivesWait, MarksRetry      bool
	ReportMode                 string   // piggyback, pull or silent
	ReportFields               []string // of a report, after spare and total: util, queue, latency_ms
	OverShareWorth             float64
	DrainGrace                 time.Duration
	Cold                       time.Duration // a started server is warm after this,
	ColdFrom                   float64       // from this share of its capacity
	FallMultiple               float64
	TipAfter                   time.Duration
	ClearWait                  time.Duration
	Repeat                     time.Duration // a set-up that waits is sent again after this; 0: never
	ConnectTimeout             time.Duration
	Keepalive                  time.Duration // idle connections are closed after this; 0: never
	Hold                       time.Duration // mean length of a call
	Lines                      int           // of each setup server; 0: twice what its rate keeps busy
	MaxQueueWait               time.Duration // a processor turns set-ups away once its wait passes this
	ReportInterval             time.Duration // processor figures are refreshed this often,
	StateInterval              time.Duration // and the group's state is told this often
	BulletinDelay              time.Duration // from a change until the bulletin tells of it
	BulletinSpread             time.Duration // and it tells agents apart by up to this
	MaxRedials                 int           // of a caller that was turned away
	RedialBackoff              time.Duration // least wait before one
	LinkDelay                  time.Duration // of each link, each way
	HandshakePrice, ProbePrice float64       // prices told in the settings
	WastePrice                 float64
}

// Class is a class of calls.
type Class struct {
	Name             string
	Share            float64 // of the calls
	Aim, Deadline    time.Duration
	Worth, LateShare float64 // Late: the share of the worth that a call earns after its aim
	TryShare         float64 // of the deadline that a caller gives one try; 0: all
}

// Tenant is a customer, with its share of the calls and of the capacity.
type Tenant struct {
	Name         string
	Usage, Share float64
}

// Total is the calls a second that all setup servers of the list take together.
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

// hold is a call's mean length, bounded so that a schedule of a minute sees most of them end.
func (d Deployment) hold() time.Duration { return max(d.Hold, time.Millisecond) }

// Settings is the platform's settings object for one agent, in the platform's own words.
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

// Campus is one campus with probes and told waits at the processor, as the first deployment has
// it: two classes, three tenants, no mark on a caller's retry.
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

// Offices is four regions without probes, reports of use and queue in answers, told waits and
// marked retries, as the second deployment has it.
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

// Islands is many zones with probes and no reports at all: what an agent knows it saw itself.
func Islands() Deployment {
	d := Offices()
	d.Name, d.Zones = "islands", []string{"i1", "i2", "i3", "i4", "i5", "i6"}
	d.Probes, d.ReportMode, d.ReportFields, d.GivesWait, d.MarksRetry = true, "silent", nil, false, false
	d.Capacity, d.DrainGrace, d.Cold, d.FallMultiple = []float64{22}, 1500*time.Millisecond, 8*time.Second, 2.5
	return d
}

// Plain is callers who never dial again, nothing told of when to come back, two attempts and
// no giving up, and a class that holds 0.3 of the calls.
func Plain() Deployment {
	d := Campus()
	d.Name, d.Classes = "plain", []Class{{Name: "day", Share: 0.7, Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, LateShare: 0.5},
		{Name: "night", Share: 0.3, Aim: 2 * time.Second, Deadline: 4 * time.Second, Worth: 1, LateShare: 0.5}}
	d.Tenants, d.MaxAttempts, d.MaxRetryAfter, d.Cancel, d.MaxRedials = nil, 2, 0, false, 0
	d.ReportMode, d.ReportFields, d.Repeat = "pull", []string{"util"}, 0
	return d
}
