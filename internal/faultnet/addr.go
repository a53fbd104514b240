package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Octet is a reserved second octet of 127.0.0.0/8: no other run on this machine uses addresses with it.
// On 127.0.0.1, a proxy of another run, or the local end of one of its connections, whose port the
// system picks, could take a port between the moment this run chose it and the moment it listens there.
type Octet struct {
	N    byte         // the value of the octet
	lock net.Listener // a listener on 127.N.255.254 that marks the octet as reserved
}

// ReserveOctet reserves an octet that no other run on this machine holds.
func ReserveOctet() (*Octet, error) {
	first := rand.IntN(200)
	for i := range 200 {
		n := byte(16 + (first+i)%200)
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:1", n)); err == nil {
			return &Octet{n, ln}, nil
		}
	}
	return nil, errors.New("faultnet: no octet of 127.0.0.0/8 is free for a run")
}

// Release frees the octet for other runs.
func (o *Octet) Release() { o.lock.Close() }

// Host returns the address 127.N.hi.lo for a number below 65,000.
func (o *Octet) Host(n int) string { return fmt.Sprintf("127.%d.%d.%d", o.N, n>>8, n&255) }

var hosts struct {
	sync.Mutex
	octet *Octet
	next  int
}

// NewHost returns a loopback address that nothing else uses, in this process or another, as long as
// this process runs. Whoever listens on it finds all its ports free.
func NewHost() (string, error) {
	hosts.Lock()
	defer hosts.Unlock()
	if hosts.octet == nil {
		o, err := ReserveOctet()
		if err != nil {
			return "", err
		}
		hosts.octet = o
	}
	hosts.next++
	return hosts.octet.Host(hosts.next), nil
}
