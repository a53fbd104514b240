package daemon

import "woodrouter/internal/front/connmgr"

// Shares of the machine's file descriptors, as divisors of their number. The deployment page says that
// callers with calls hold at most a third, but idle callers may hold any number of connections; the call API,
// where it is enabled, has a quarter. Connections that are closing add an eighth to each share of callers.
// The setup servers get what these and the reserve leave, however many servers are listed, so that callers
// always find their share free.
const (
	callersDivisor        = 2
	callersDivisorWithAPI = 3
	apiDivisor            = 4
	extraServersDivisor   = 4  // above this share, no server gets a second connection
	reservedDivisor       = 16 // files, listeners, the bulletin, the console, other machines
	minReserved           = 12
	minServersDivisor     = 8 // the least share of the setup servers
)

// connLimits are the maximum numbers of connections by kind.
type connLimits struct {
	callers, api          int
	servers, extraServers int // to all setup servers, and the number above which no server gets a second connection
}

// newConnLimits divides the machine's descriptors. The limits add up to no more than there are, except on the
// smallest machines.
func newConnLimits(sockets int, api bool) connLimits {
	limits := connLimits{callers: sockets / callersDivisor}
	if api {
		limits.callers, limits.api = sockets/callersDivisorWithAPI, sockets/apiDivisor
	}
	limits.servers = max(sockets-limits.callerTotal()-max(sockets/reservedDivisor, minReserved), sockets/minServersDivisor)
	limits.extraServers = min(sockets/extraServersDivisor, limits.servers)
	return limits
}

// callerTotal returns how many connections callers may hold, including those that are closing.
func (l connLimits) callerTotal() int {
	return l.callers + l.callers/connmgr.ClosingDivisor + l.api + l.api/connmgr.ClosingDivisor
}
