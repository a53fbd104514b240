package callapi

import (
	"net"
	"time"

	"woodrouter/internal/front/connmgr"
)

// Change says how the connections of the present clients are closed after a change of the settings.
type Change struct {
	Address net.Addr      // where the API listens from now on; nil: it is off
	Grace   time.Duration // clients that would have to connect in another way may place calls for so long
	Longest time.Duration // set-ups may be open for so long once no further ones are accepted
}

// RetireClients has the connections of the present clients closed, each once no set-up is open on it, as settings apply to new
// connections. A client whom the settings in force still admit is not hurried. One that would have to connect to another address or
// path, or is above the limit of connections, may place calls for the time of grace. One that may no longer connect may not
// place any.
func (f *Front) RetireClients(change Change) {
	now := time.Now()
	f.Retire(func(p *connmgr.Peer, surplus bool) *connmgr.Retirement {
		return f.retirement(p, surplus, change, now)
	})
}

// retirement returns how one connection is closed; nil if it stays.
func (f *Front) retirement(p *connmgr.Peer, surplus bool, change Change, now time.Time) *connmgr.Retirement {
	f.mu.Lock()
	defer f.mu.Unlock()
	client, upgraded := f.admitted[p]
	elsewhere := surplus || !sameAddress(p.LocalAddr(), change.Address)
	if !upgraded && !elsewhere { // the settings in force apply to its upgrade
		return nil
	}
	refuseAfter := func(delay time.Duration) *connmgr.Retirement {
		from := now.Add(delay)
		return &connmgr.Retirement{RefuseFrom: from, FailAt: from.Add(change.Longest)}
	}
	endpoint := f.options.endpoint
	switch {
	case change.Address == nil || !upgraded || !endpoint.Admits(client):
		return refuseAfter(0)
	case elsewhere || client.URL.Path != endpoint.Path:
		return refuseAfter(change.Grace)
	}
	return &connmgr.Retirement{}
}

// sameAddress reports whether a connection's own address belongs to a listener.
func sameAddress(own, listener net.Addr) bool {
	conn, ok := own.(*net.TCPAddr)
	at, listens := listener.(*net.TCPAddr)
	return ok && listens && conn.Port == at.Port && (at.IP.IsUnspecified() || at.IP.Equal(conn.IP))
}
