package daemon

import "woodrouter/internal/front/connmgr"

// What the descriptors of the machine are for: one in so many. Callers hold a third at most, by the
// deployment page, and idle ones any number; the call API, where it is on, has a quarter. Connections
// on their way out add an eighth to a part of callers'. What is left beside these and a few others
// is the setup servers', however many are listed: so callers always find theirs.
const (
	callerConns      = 2
	callerConnsOfTwo = 3
	apiConns         = 4
	besideConns      = 4  // past so many to all servers none is opened beside another
	otherConns       = 16 // files, listeners, the bulletin, the console, other machines
	otherLeast       = 12
	serverConns      = 8 // the servers' at least
)

// parts are the most connections of each kind.
type parts struct {
	callers, api    int
	servers, beside int // to all setup servers; and of these, past which none goes beside another
}

// partsOf is the sum of the descriptors: what it gives out is no more than there are, but for the
// smallest machines.
func partsOf(sockets int, api bool) parts {
	p := parts{callers: sockets / callerConns}
	if api {
		p.callers, p.api = sockets/callerConnsOfTwo, sockets/apiConns
	}
	p.servers = max(sockets-p.taken()-max(sockets/otherConns, otherLeast), sockets/serverConns)
	p.beside = min(sockets/besideConns, p.servers)
	return p
}

// taken is what callers may hold, with those on their way out.
func (p parts) taken() int {
	return p.callers + p.callers/connmgr.ClosingDivisor + p.api + p.api/connmgr.ClosingDivisor
}
