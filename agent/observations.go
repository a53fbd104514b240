package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"woodrouter/policy"
)

// Observations collect what an agent observes of the setup servers, by zone, and how many calls of each class
// it is offered. Package failover uses them to decide where a zone's calls go. They are collected only if
// Config.ObserveServers is set. The core's actor writes them; Take, RecordCheck and Down may be called from
// any goroutine.
type Observations struct {
	mu              sync.Mutex
	since           time.Time
	offered         map[string]int // number of calls by class since the last Take
	servers         map[string]*serverObservation
	meanHoldSeconds float64 // mean over the classes
}

// serverObservation is what this agent's own attempts, its probes and the server list show of one server.
type serverObservation struct {
	zone, address  string
	pool           int
	state          policy.State
	lines          float64 // lines in its latest report; 0: none reported
	attempts, full int     // attempts ended since the last Take, and those answered "full" or "no free line"
	unreachable    int     // of the attempts, those that did not reach a live server
	failuresInRow  int     // consecutive attempts and checks that did not reach a live server
	lastFailure    time.Time
	lastDelay      time.Duration // delay of the latest answer
}

// downAfterFailures is how many consecutive attempts and checks must fail to reach a server before it counts
// as down; downPeriod is how long it then counts as down without another failure.
const (
	downAfterFailures = 2
	downPeriod        = 10 * time.Second
)

func newObservations(s policy.Settings) *Observations {
	o := &Observations{since: time.Now(), offered: map[string]int{}, servers: map[string]*serverObservation{}}
	for _, c := range s.Classes {
		o.meanHoldSeconds += c.Hold.Seconds() / float64(len(s.Classes))
	}
	return o
}

// ZoneObservation summarises one zone's servers since the last Take.
type ZoneObservation struct {
	Listed, Up     int           // servers listed as up, and those of them that do not count as down
	Pools          []int         // of the servers listed as up, without duplicates
	Addresses      []string      // of the servers listed as up
	Capacity       float64       // calls per second on the lines of the servers in Up; 0: no server reported its lines
	Attempts, Full float64       // per second: attempts that ended, and those answered "full" or "no free line"
	Unreachable    float64       // per second: attempts that did not reach a live server
	Wait           time.Duration // longest delay among the servers' latest answers, which may be older
}

// Take returns the observations since the last Take by zone, and the calls offered per second by class.
func (o *Observations) Take() (zones map[string]ZoneObservation, offered map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	span := max(time.Since(o.since).Seconds(), 1e-3)
	zones, offered = map[string]ZoneObservation{}, map[string]float64{}
	for class, n := range o.offered {
		offered[class] = float64(n) / span
	}
	clear(o.offered)
	lines, reported := map[string]float64{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(o.servers)) {
		s := o.servers[id]
		if s.state != policy.Up {
			continue
		}
		z := zones[s.zone]
		z.Listed++
		if !s.down() {
			z.Up++
			if s.lines > 0 {
				lines[s.zone] += s.lines
				reported[s.zone]++
			}
		}
		if !slices.Contains(z.Pools, s.pool) {
			z.Pools = append(z.Pools, s.pool)
		}
		z.Addresses = append(z.Addresses, s.address)
		z.Attempts += float64(s.attempts) / span
		z.Full += float64(s.full) / span
		z.Unreachable += float64(s.unreachable) / span
		z.Wait = max(z.Wait, s.lastDelay)
		s.attempts, s.full, s.unreachable = 0, 0, 0
		zones[s.zone] = z
	}
	for name, z := range zones {
		// a server that reported no lines is taken to have the mean number of the others in its zone
		if n := reported[name]; n > 0 && o.meanHoldSeconds > 0 {
			z.Capacity = lines[name] / float64(n) * float64(z.Up) / o.meanHoldSeconds
			zones[name] = z
		}
	}
	o.since = time.Now()
	return zones, offered
}

// down applies downAfterFailures and downPeriod.
func (s *serverObservation) down() bool {
	return s.failuresInRow >= downAfterFailures && time.Since(s.lastFailure) < downPeriod
}

// RecordCheck records the result of a check of a server's address: alive means that a connection was made and
// the server sent something on it.
func (o *Observations) RecordCheck(address string, alive bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		if s.address == address {
			s.recordAlive(alive)
		}
	}
}

// recordAlive records whether the server was reached.
func (s *serverObservation) recordAlive(alive bool) {
	if alive {
		s.failuresInRow = 0
		return
	}
	s.failuresInRow++
	s.lastFailure = time.Now()
}

// The core calls recordList, recordCall, recordAttempt and recordReport. On nil Observations they do nothing.

func (o *Observations) recordList(list []Server, whole bool) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if whole {
		for id := range o.servers {
			if !slices.ContainsFunc(list, func(s Server) bool { return s.ID == id }) {
				delete(o.servers, id)
			}
		}
	}
	for _, s := range list {
		observed := o.servers[s.ID]
		if s.State == policy.Gone {
			delete(o.servers, s.ID)
			continue
		}
		if observed == nil || observed.address != s.Address {
			observed = &serverObservation{}
			o.servers[s.ID] = observed
		}
		observed.zone, observed.address, observed.pool, observed.state = s.Zone, s.Address, s.Pool, s.State
	}
}

func (o *Observations) recordCall(class string) {
	if o == nil {
		return
	}
	o.mu.Lock()
	o.offered[class]++
	o.mu.Unlock()
}

// recordAttempt records what an attempt showed of its server. A time-out counts like a refused connection, as
// a server that is cut off sends nothing.
func (o *Observations) recordAttempt(server string, r policy.Result, delay time.Duration, report policy.Report) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.servers[server]
	if s == nil {
		return
	}
	s.attempts++
	switch r {
	case policy.Unreachable, policy.TimedOut, policy.Cut:
		s.unreachable++
		s.recordAlive(false)
	case policy.Cancelled, policy.NotSent:
	default:
		s.recordAlive(true)
		s.lastDelay = delay
	}
	if r == policy.Full || r == policy.NoLines {
		s.full++
	}
	s.recordLines(report)
}

func (o *Observations) recordReport(p policy.ReportReceived) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.servers[p.Server]; s != nil {
		if p.Result == policy.OK {
			s.recordAlive(true)
		}
		s.recordLines(p.Report)
	}
}

// recordLines stores the number of lines in a report; reports without a plausible number are ignored.
func (s *serverObservation) recordLines(r policy.Report) {
	if r.TotalLines > 0 && r.TotalLines < 1e9 {
		s.lines = r.TotalLines
	}
}

// Down returns the addresses of servers that are listed as up and whose latest failures marked them as down,
// even if downPeriod is over. The caller checks them again; the check either confirms the failure or clears
// it.
func (o *Observations) Down() (addresses []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		if s.state == policy.Up && s.failuresInRow >= downAfterFailures {
			addresses = append(addresses, s.address)
		}
	}
	return addresses
}
