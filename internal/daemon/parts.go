package daemon

import "woodrouter/internal/front/connmgr"

// What the descriptors of the machine are for: one in so many. Callers hold a third at most, by the
// deployment page, and idle ones any number; the call API, where it is on, has a quarter. Connections
// on their way out add an eighth to a part of callers'. What is left beside these and a few others
// is the setup servers', however many are listed: so callers always find theirs.
const (
	callersDivisor        = 2
	callersDivisorWithAPI = 3
	apiDivisor            = 4
	extraServersDivisor   = 4  // past so many to all servers none is opened beside another
	reservedDivisor       = 16 // files, listeners, the bulletin, the console, other machines
	minReserved           = 12
	minServersDivisor     = 8 // the servers' at least
)

// connLimits are the most connections of each kind.
type connLimits struct {
	callers, api          int
	servers, extraServers int // to all setup servers; and of these, past which none goes beside another
}

// newConnLimits is the sum of the descriptors: what it gives out is no more than there are, but for the
// smallest machines.
func newConnLimits(sockets int, api bool) connLimits {
	p := connLimits{callers: sockets / callersDivisor}
	if api {
		p.callers, p.api = sockets/callersDivisorWithAPI, sockets/apiDivisor
	}
	p.servers = max(sockets-p.callerTotal()-max(sockets/reservedDivisor, minReserved), sockets/minServersDivisor)
	p.extraServers = min(sockets/extraServersDivisor, p.servers)
	return p
}

// callerTotal is what callers may hold, with those on their way out.
func (p connLimits) callerTotal() int {
	return p.callers + p.callers/connmgr.ClosingDivisor + p.api + p.api/connmgr.ClosingDivisor
}
