package connmgr

import (
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/agent"
)

// closingConn is a connection whose caller closes it once something was written.
type closingConn struct {
	net.Conn
	readErr  error // how the close is seen
	noOpErr  error // result of writing the message without effect
	mu       sync.Mutex
	written  []string
	wrote    chan struct{}
	wroteOne sync.Once
}

func (c *closingConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *closingConn) SetReadDeadline(time.Time) error  { return nil }
func (c *closingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *closingConn) Close() error                     { return nil }
func (c *closingConn) Read([]byte) (int, error) {
	<-c.wrote
	return 0, c.readErr
}
func (c *closingConn) Write(b []byte) (int, error) {
	if string(b) == "no-op" {
		return len(b), c.noOpErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = append(c.written, string(b))
	c.wroteOne.Do(func() { close(c.wrote) })
	return len(b), nil
}

// TestUnreadEndResent guards against the end of a call that is lost because its caller closes the connection at
// the same moment.
func TestUnreadEndResent(t *testing.T) {
	for _, tc := range []struct {
		name             string
		readErr, noOpErr error
		resent           bool
	}{
		{"reset", syscall.ECONNRESET, nil, true},
		{"closed before it came", io.EOF, syscall.EPIPE, true},
		{"closed after it was read", io.EOF, nil, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := New(Config{NoOpMessage: []byte("no-op")}, nullCore{}, nil, func(p *Peer) error { _, err := p.In.ReadByte(); return err })
			closing := &closingConn{readErr: tc.readErr, noOpErr: tc.noOpErr, wrote: make(chan struct{})}
			staying := &closingConn{wrote: make(chan struct{})}
			admit := func(conn net.Conn, id string) {
				m.admit(conn)
				m.mu.Lock()
				peers := slices.Collect(maps.Keys(m.peers))
				m.mu.Unlock()
				for _, p := range peers {
					if p.conn == conn {
						m.MarkReady(p)
						assert.NoError(t, m.Offer(p, agent.Call{ID: id}, nil))
					}
				}
			}
			admit(closing, "1")
			admit(staying, "2")
			m.SendEnd("1", []byte("end"))
			time.Sleep(time.Second)
			synctest.Wait()
			staying.mu.Lock()
			assert.Equal(t, tc.resent, len(staying.written) > 0, tc.name)
			staying.mu.Unlock()
			staying.readErr = io.EOF
			staying.wroteOne.Do(func() { close(staying.wrote) })
			m.Close()
		})
	}
}
