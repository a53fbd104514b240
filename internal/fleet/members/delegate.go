package members

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
)

// The methods below implement memberlist.Delegate and memberlist.EventDelegate. The library calls them on its
// own goroutines.

// NodeMeta returns the metadata of this agent: its zone, its region and whether it is in the control group.
func (m *Members) NodeMeta(limit int) []byte {
	d, _ := json.Marshal(metadata{m.self.Zone, m.self.Region, m.self.InControlGroup})
	return d[:min(len(d), limit)]
}

// NotifyMsg handles one gossip message. A malformed one is counted and ignored.
func (m *Members) NotifyMsg(data []byte) { m.handleMessage(data) }

// GetBroadcasts returns the queued broadcasts.
func (m *Members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns the epoch known here. Two agents exchange it over a stream at a join and periodically,
// so that an agent that missed the gossip learns of the epoch.
func (m *Members) LocalState(bool) []byte {
	d, _ := json.Marshal(gossipMessage{Epoch: m.Epoch()})
	return d
}

// MergeRemoteState handles the state that another agent sent.
func (m *Members) MergeRemoteState(data []byte, _ bool) { m.handleMessage(data) }

// NotifyJoin records an agent that has joined, and logs it. The library holds its lock during this call, as
// in NotifyLeave and NotifyUpdate.
func (m *Members) NotifyJoin(n *memberlist.Node) {
	m.putNode(n)
	m.log.Info("agent joined", "agent", n.Name, "at", n.Address())
}

// NotifyLeave removes an agent that has left or is considered dead, together with its last summary.
func (m *Members) NotifyLeave(n *memberlist.Node) {
	m.removeNode(n.Name)
	m.mu.Lock()
	delete(m.summaries, n.Name)
	m.mu.Unlock()
	m.log.Info("agent gone", "agent", n.Name, "left", n.State == memberlist.StateLeft)
}

// NotifyUpdate records changed metadata, for example of an agent that restarted between two probes.
func (m *Members) NotifyUpdate(n *memberlist.Node) { m.putNode(n) }

// transport counts what is sent, and sends to the addresses in Config.Links by way of their proxies.
type transport struct {
	*memberlist.NetTransport
	members *Members
}

// sendAddress returns the address to send to in order to reach addr: the proxy given in Config.Links, or addr
// itself.
func (m *Members) sendAddress(addr string) string {
	if to, ok := m.cfg.Links[addr]; ok {
		return to
	}
	return addr
}

// maxDialTimeout bounds opening a stream, streamTimeout waiting for the answer on it. A peer that accepts and
// does not answer, or that is gone, must not keep an agent from asking another for long.
const (
	maxDialTimeout = 3 * time.Second
	streamTimeout  = 10 * time.Second
)

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.members.sent.Add(1)
	t.members.bytes.Add(int64(len(b)))
	a.Addr = t.members.sendAddress(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialAddressTimeout opens a stream, which is closed when the membership is.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.members.sent.Add(1)
	// Dial from the bind address, as datagrams are sent: a proxy may tell members apart by it.
	host, _, _ := net.SplitHostPort(t.members.cfg.Bind)
	d := net.Dialer{Timeout: min(timeout, maxDialTimeout), LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := d.DialContext(t.members.ctx, "tcp", t.members.sendAddress(a.Addr))
	if err != nil {
		return nil, err
	}
	return &stream{Conn: c, stop: context.AfterFunc(t.members.ctx, func() { c.Close() })}, nil
}

// stream is a connection that is closed when the membership is.
type stream struct {
	net.Conn
	stop func() bool
}

// Close closes the connection.
func (s *stream) Close() error {
	s.stop()
	return s.Conn.Close()
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// logWriter passes on memberlist's log lines, which look like "[WARN] memberlist: text".
type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	for prefix, prefixLevel := range map[string]slog.Level{"[ERR] ": slog.LevelWarn, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, prefix); ok {
			text, level = rest, prefixLevel
		}
	}
	name, rest, _ := strings.Cut(text, ": ")
	l.log.Log(context.Background(), level, name+": message from the library", "line", rest)
	return len(line), nil
}
