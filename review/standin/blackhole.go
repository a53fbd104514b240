package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// blackHole is a listener whose accept queue is full, so that connections to its address never come up.
type blackHole struct {
	ln    net.Listener
	conns []net.Conn
}

func newBlackHole(addr string) (*blackHole, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return nil, fmt.Errorf("accept queue of %s: %v, %v", addr, err, listenErr)
	}
	hole := &blackHole{ln: ln}
	for range 3 { // fills the queue; the last of them does not come up
		conn, err := net.DialTimeout("tcp", addr, 20*time.Millisecond)
		if err != nil {
			break
		}
		hole.conns = append(hole.conns, conn)
	}
	return hole, nil
}

func (h *blackHole) close() {
	h.ln.Close()
	for _, c := range h.conns {
		c.Close()
	}
}
