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

// What follows is memberlist's Delegate and EventDelegate; it is called on its goroutines.

// NodeMeta is this agent's zone and region.
func (m *Members) NodeMeta(limit int) []byte {
	d, _ := json.Marshal(metadata{m.self.Zone, m.self.Region, m.self.InControlGroup})
	return d[:min(len(d), limit)]
}

// NotifyMsg takes one message of gossip. Malformed ones are counted and passed over.
func (m *Members) NotifyMsg(data []byte) { m.handleMessage(data) }

// GetBroadcasts hands over what waits to be gossiped.
func (m *Members) GetBroadcasts(overhead, limit int) [][]byte {
	return m.queue.GetBroadcasts(overhead, limit)
}

// LocalState is the epoch known here: what two agents exchange by stream, now and then and at a
// join, so that one that missed the gossip hears of it.
func (m *Members) LocalState(bool) []byte {
	d, _ := json.Marshal(gossipMessage{Epoch: m.Epoch()})
	return d
}

// MergeRemoteState takes another's.
func (m *Members) MergeRemoteState(data []byte, _ bool) { m.handleMessage(data) }

// NotifyJoin records an agent that has joined, and logs it; the library holds its lock during this call, as in
// NotifyLeave and NotifyUpdate.
func (m *Members) NotifyJoin(n *memberlist.Node) {
	m.putNode(n)
	m.log.Info("agent joined", "agent", n.Name, "at", n.Address())
}

// NotifyLeave forgets an agent, and what it saw: it left, or is held for dead.
func (m *Members) NotifyLeave(n *memberlist.Node) {
	m.removeNode(n.Name)
	m.mu.Lock()
	delete(m.summaries, n.Name)
	m.mu.Unlock()
	m.log.Info("agent gone", "agent", n.Name, "left", n.State == memberlist.StateLeft)
}

// NotifyUpdate keeps changed metadata, as of an agent that was started again within a probe.
func (m *Members) NotifyUpdate(n *memberlist.Node) { m.putNode(n) }

// transport sends to some addresses by another way (the links of the file), and counts.
type transport struct {
	*memberlist.NetTransport
	members *Members
}

// sendAddress is where to send what goes to an address.
func (m *Members) sendAddress(addr string) string {
	if to, ok := m.cfg.Links[addr]; ok {
		return to
	}
	return addr
}

// How long a stream may take to open, and its far end to answer. Who accepts and says nothing, or
// is not there at all, must not keep an agent long from asking another.
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

// DialAddressTimeout opens a stream, which ends at the latest with this agent's part.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.members.sent.Add(1)
	// From its own address, as datagrams go: who stands between may tell members apart by it.
	host, _, _ := net.SplitHostPort(t.members.cfg.Bind)
	d := net.Dialer{Timeout: min(timeout, maxDialTimeout), LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := d.DialContext(t.members.ctx, "tcp", t.members.sendAddress(a.Addr))
	if err != nil {
		return nil, err
	}
	return &stream{Conn: c, stop: context.AfterFunc(t.members.ctx, func() { c.Close() })}, nil
}

// stream is a connection that is closed where this agent's part ends.
type stream struct {
	net.Conn
	stop func() bool
}

// Close ends it.
func (s *stream) Close() error {
	s.stop()
	return s.Conn.Close()
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// logWriter turns memberlist's lines into the program's: "[WARN] memberlist: text".
type logWriter struct{ log *slog.Logger }

func (l logWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	level := slog.LevelDebug
	for mark, at := range map[string]slog.Level{"[ERR] ": slog.LevelWarn, "[WARN] ": slog.LevelWarn, "[INFO] ": slog.LevelInfo} {
		if rest, ok := strings.CutPrefix(text, mark); ok {
			text, level = rest, at
		}
	}
	name, rest, _ := strings.Cut(text, ": ")
	l.log.Log(context.Background(), level, name+": a line of the library", "line", rest)
	return len(line), nil
}
