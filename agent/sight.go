package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"woodrouter/policy"
)

// Sights is what an agent sees of the setup servers, by zone, and what callers hand it, for
// those who decide where a zone's calls go (package failover). It is counted only where
// Config.Sights asks for it. The core's actor writes it; Take may be called from anywhere.
type Sights struct {
	mu      sync.Mutex
	since   time.Time
	offered map[string]int // by class, since the last Take
	servers map[string]*sighted
	hold    float64 // mean length of a call in seconds, over the classes
}

// sighted is one server as this agent's own attempts, probes and the list show it.
type sighted struct {
	zone, address string
	pool          int
	state         policy.State
	lines         float64 // by its latest report; 0: none
	tries, full   int     // that ended since the last Take, and of these "full"
	dead          int     // of these, met nothing alive
	bad           int     // attempts in a row that proved nothing alive there
	badAt         time.Time
	wait          time.Duration // of the latest answer
}

// badMost is how many attempts in a row must meet nothing alive before a server counts as
// down; badFor is how long that stands without another.
const (
	badMost = 2
	badFor  = 10 * time.Second
)

func newSights(s policy.Settings) *Sights {
	v := &Sights{since: time.Now(), offered: map[string]int{}, servers: map[string]*sighted{}}
	for _, c := range s.Classes {
		v.hold += c.Hold.Seconds() / float64(len(s.Classes))
	}
	return v
}

// Sighting is one zone's servers since the last look.
type Sighting struct {
	Listed, Up  int
	Pools       []int    // of the servers listed as up, without repeats
	Addresses   []string // of the same
	Capacity    float64  // calls a second, by the lines reported; 0: none reported
	Tries, Full float64  // a second: attempts that ended, and of these "full"
	Dead        float64  // of these, met nothing alive
	Wait        time.Duration
}

// Take returns what was seen since the last Take, by zone, and the calls offered a second, by
// class.
func (v *Sights) Take() (zones map[string]Sighting, offered map[string]float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	span := max(time.Since(v.since).Seconds(), 1e-3)
	zones, offered = map[string]Sighting{}, map[string]float64{}
	for class, n := range v.offered {
		offered[class] = float64(n) / span
	}
	clear(v.offered)
	lines, reported := map[string]float64{}, map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(v.servers)) {
		s := v.servers[id]
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
		z.Tries += float64(s.tries) / span
		z.Full += float64(s.full) / span
		z.Dead += float64(s.dead) / span
		z.Wait = max(z.Wait, s.wait)
		s.tries, s.full, s.dead = 0, 0, 0
		zones[s.zone] = z
	}
	for name, z := range zones {
		if n := reported[name]; n > 0 && v.hold > 0 { // those that told nothing are taken for the mean
			z.Capacity = lines[name] / float64(n) * float64(z.Up) / v.hold
			zones[name] = z
		}
	}
	v.since = time.Now()
	return zones, offered
}

func (s *sighted) down() bool { return s.bad >= badMost && time.Since(s.badAt) < badFor }

// Checked tells what a look at a server's address showed, by whoever looked: a connection on
// which it spoke, or none.
func (v *Sights) Checked(address string, alive bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.address == address {
			s.seen(alive)
		}
	}
}

func (s *sighted) seen(alive bool) {
	if alive {
		s.bad = 0
		return
	}
	s.bad++
	s.badAt = time.Now()
}

// The core's notes. A nil Sights takes none.

func (v *Sights) noteList(list []Server, whole bool) {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if whole {
		for id := range v.servers {
			if !slices.ContainsFunc(list, func(s Server) bool { return s.ID == id }) {
				delete(v.servers, id)
			}
		}
	}
	for _, s := range list {
		old := v.servers[s.ID]
		if s.State == policy.Gone {
			delete(v.servers, s.ID)
			continue
		}
		if old == nil || old.address != s.Address {
			old = &sighted{}
			v.servers[s.ID] = old
		}
		old.zone, old.address, old.pool, old.state = s.Zone, s.Address, s.Pool, s.State
	}
}

func (v *Sights) noteCall(class string) {
	if v == nil {
		return
	}
	v.mu.Lock()
	v.offered[class]++
	v.mu.Unlock()
}

// noteTry notes what an attempt showed of its server. A time-out counts against it as a
// refused connection does: a server cut off says nothing.
func (v *Sights) noteTry(server string, r policy.Result, wait time.Duration, report policy.Report) {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[server]
	if s == nil {
		return
	}
	s.tries++
	switch r {
	case policy.Unreachable, policy.TimedOut, policy.Cut:
		s.dead++
		s.seen(false)
	case policy.Cancelled, policy.NotSent:
	default:
		s.seen(true)
		s.wait = wait
	}
	if r == policy.Full || r == policy.NoLines {
		s.full++
	}
	s.report(report)
}

func (v *Sights) noteReport(p policy.ReportReceived) {
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[p.Server]; s != nil {
		if p.Result == policy.OK {
			s.seen(true)
		}
		s.report(p.Report)
	}
}

func (s *sighted) report(r policy.Report) {
	if r.TotalLines > 0 && r.TotalLines < 1e9 {
		s.lines = r.TotalLines
	}
}

// Down are the addresses of the servers listed as up that are down by what was seen, or were
// lately: whoever looks at them keeps them so, or brings them back.
func (v *Sights) Down() (addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.servers {
		if s.state == policy.Up && s.bad >= badMost {
			addresses = append(addresses, s.address)
		}
	}
	return addresses
}
