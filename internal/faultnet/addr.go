package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Octet is the second octet of loopback addresses that no other run on this machine uses: a
// port that a run means to take must not be taken meanwhile by another's proxy or by one end of
// another's connection, which the system draws from the same ports on 127.0.0.1.
type Octet struct {
	N    byte
	lock net.Listener
}

// ReserveOctet takes one that is free.
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

// Release lets others use it.
func (o *Octet) Release() { o.lock.Close() }

// Host is the address 127.N.hi.lo of a number below 65,000.
func (o *Octet) Host(n int) string { return fmt.Sprintf("127.%d.%d.%d", o.N, n>>8, n&255) }

var hosts struct {
	sync.Mutex
	octet *Octet
	next  int
}

// NewHost is a loopback address that nobody else uses, in this process or another, for as long
// as this process runs. What listens on it and takes its ports has them to itself.
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
