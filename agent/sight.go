package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"woodrouter/policy"
)

// Observations is what an agent sees of the setup servers, by zone, and what callers hand it, for
// those who decide where a zone's calls go (package failover). It is counted only where
// Config.Sights asks for it. The core's actor writes it; Take may be called from anywhere.
type Observations struct {
	mu              sync.Mutex
	since           time.Time
	offered         map[string]int // by class, since the last Take
	servers         map[string]*serverObservation
	meanHoldSeconds float64 // mean length of a call in seconds, over the classes
}

// serverObservation is one server as this agent's own attempts, probes and the list show it.
type serverObservation struct {
	zone, address  string
	pool           int
	state          policy.State
	lines          float64 // by its latest report; 0: none
	attempts, full int     // that ended since the last Take, and of these "full"
	unreachable    int     // of these, met nothing alive
	failuresInRow  int     // attempts in a row that proved nothing alive there
	lastFailure    time.Time
	lastDelay      time.Duration // of the latest answer
}

// badMost is how many attempts in a row must meet nothing alive before a server counts as
// down; badFor is how long that stands without another.
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

// ZoneObservation is one zone's servers since the last look.
type ZoneObservation struct {
	Listed, Up     int
	Pools          []int    // of the servers listed as up, without repeats
	Addresses      []string // of the same
	Capacity       float64  // calls a second, by the lines reported; 0: none reported
	Attempts, Full float64  // a second: attempts that ended, and of these "full"
	Unreachable    float64  // of these, met nothing alive
	Wait           time.Duration
}

// Take returns what was seen since the last Take, by zone, and the calls offered a second, by
// class.
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
		if n := reported[name]; n > 0 && o.meanHoldSeconds > 0 { // those that told nothing are taken for the mean
			z.Capacity = lines[name] / float64(n) * float64(z.Up) / o.meanHoldSeconds
			zones[name] = z
		}
	}
	o.since = time.Now()
	return zones, offered
}

func (s *serverObservation) down() bool {
	return s.failuresInRow >= downAfterFailures && time.Since(s.lastFailure) < downPeriod
}

// RecordCheck tells what a look at a server's address showed, by whoever looked: a connection on
// which it spoke, or none.
func (o *Observations) RecordCheck(address string, alive bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.servers {
		if s.address == address {
			s.recordAlive(alive)
		}
	}
}

func (s *serverObservation) recordAlive(alive bool) {
	if alive {
		s.failuresInRow = 0
		return
	}
	s.failuresInRow++
	s.lastFailure = time.Now()
}

// The core's notes. A nil Sights takes none.

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
		old := o.servers[s.ID]
		if s.State == policy.Gone {
			delete(o.servers, s.ID)
			continue
		}
		if old == nil || old.address != s.Address {
			old = &serverObservation{}
			o.servers[s.ID] = old
		}
		old.zone, old.address, old.pool, old.state = s.Zone, s.Address, s.Pool, s.State
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

// recordAttempt notes what an attempt showed of its server. A time-out counts against it as a
// refused connection does: a server cut off says nothing.
func (o *Observations) recordAttempt(server string, r policy.Result, wait time.Duration, report policy.Report) {
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
		s.lastDelay = wait
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

func (s *serverObservation) recordLines(r policy.Report) {
	if r.TotalLines > 0 && r.TotalLines < 1e9 {
		s.lines = r.TotalLines
	}
}

// Down are the addresses of the servers listed as up that are down by what was seen, or were
// lately: whoever looks at them keeps them so, or brings them back.
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
