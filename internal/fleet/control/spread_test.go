package control

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/fleet/stewards"
	"woodrouter/spread"
)

// startWithoutQuorum starts a group and closes its voters, so that c4 is left without a quorum.
func startWithoutQuorum(t *testing.T) *testGroup {
	g := startGroup(t)
	for _, id := range []string{"c1", "c2", "c3"} {
		g.close(id)
	}
	return g
}

// dial connects to a machine; the connection is closed when the test ends.
func (g *testGroup) dial(id string) *rpc.Client {
	conn, err := rpc.Dial("tcp", g.configs[id].Client)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	return conn
}

// summary returns the summary of an agent that knows this many servers, with values that take the most
// bytes when encoded.
func summary(name string, seq uint64, servers int) stewards.TellArgs {
	s := spread.Summary{From: spread.Stamp{Name: name, Life: 1 << 60, Seq: seq}, Demand: 1.0 / 3, Period: time.Second, Senders: 2}
	for i := range servers {
		n := uint64(1<<40 + i)
		s.Counts = append(s.Counts, spread.Count{Server: fmt.Sprintf("setup-server-of-some-length-%04d", i), Sent: n + seq, Done: n, Stood: n / 2,
			Seen: spread.Seen{Lines: 900, Util: 1.0 / 3, Wait: 1.0 / 7}, Age: 123456789, Cold: 1.0 / 3})
	}
	return stewards.TellArgs{Service: "lessons", Summary: s}
}

// TestSpread checks that a machine without a quorum answers summaries with views, also of 730 servers,
// with a steward of its own for each service, and that its console lists the stewards.
func TestSpread(t *testing.T) {
	g := startWithoutQuorum(t)
	conn := g.dial("c4")
	for seq := uint64(1); seq <= 3; seq++ {
		var r stewards.TellReply
		args := summary("a1", seq, 730)
		require.NoError(t, conn.Call(stewards.Method, args, &r))
		require.NoError(t, r.View.Valid())
		require.Equal(t, args.Summary.From, r.View.Echo)
		require.Equal(t, "c4", r.View.From.Name)
		require.Len(t, r.View.Dues, 730)
	}
	var r stewards.TellReply
	require.ErrorContains(t, conn.Call(stewards.Method, summary("a1", 3, 1), &r), stewards.ErrStale.Error(), "the same summary again")
	var size bytes.Buffer
	require.NoError(t, gob.NewEncoder(&size).Encode(summary("a1", 4, stewards.MaxServers)))
	require.Less(t, size.Len(), maxMessageBytes, "the largest summary that is taken fits a message")
	other := summary("b1", 1, 3)
	other.Service = "exams"
	require.NoError(t, g.dial("c4").Call(stewards.Method, other, &r))
	require.Len(t, r.View.Dues, 3)
	said := g.askConsole("c4", "CONFIG")
	require.Contains(t, said, "LAGGING")
	require.Contains(t, said, "steward of exams: 1 of ")
	require.Contains(t, said, "steward of lessons: 1 of ")
}

// TestMalformedSummaries checks that a summary which no agent would send gets an error or closes its
// connection, that a connection can't send for more than one agent and service, that a panic in an answer
// only affects that answer, and that other connections are still served after each of these.
func TestMalformedSummaries(t *testing.T) {
	g := startWithoutQuorum(t)
	good := g.dial("c4")
	var r stewards.TellReply
	require.NoError(t, good.Call(stewards.Method, summary("good", 1, 3), &r))
	for what, args := range map[string]stewards.TellArgs{
		"field service":   {Summary: summary("x", 1, 1).Summary},
		"over 256 bytes":  {Service: strings.Repeat("x", 257), Summary: summary("x", 1, 1).Summary},
		"field f":         {Service: "lessons"},
		"4001 servers":    summary("x", 1, 4001),
		"no such service": {},
	} {
		conn, method := g.dial("c4"), stewards.Method
		if what == "no such service" {
			method, what = "Spread.Other", "can't find method"
		}
		require.ErrorContains(t, conn.Call(method, args, &r), what)
	}
	long := summary("x", 1, 1)
	long.Summary.Period = time.Minute
	require.ErrorContains(t, g.dial("c4").Call(stewards.Method, long, &r), "field p")
	// A message that is too large closes the connection.
	huge := summary("x", 1, 1)
	huge.Summary.Counts[0].Server = strings.Repeat("x", maxMessageBytes)
	require.Error(t, g.dial("c4").Call(stewards.Method, huge, &r))
	// A summary that claims 1<<28 servers and has one.
	raw, err := net.Dial("tcp", g.configs["c4"].Client)
	require.NoError(t, err)
	defer raw.Close()
	raw.Write(hugeSlice(t))
	raw.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = io.Copy(io.Discard, raw)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection was not closed")
	// Another agent, or another service, on one connection.
	for _, args := range []stewards.TellArgs{summary("y", 1, 1), {Service: "exams", Summary: summary("x", 2, 1).Summary}} {
		conn := g.dial("c4")
		require.NoError(t, conn.Call(stewards.Method, summary("x", uint64(time.Now().UnixNano()), 1), &r))
		require.ErrorContains(t, conn.Call(stewards.Method, args, &r), "on the connection of")
		require.Error(t, conn.Call(stewards.Method, summary("x", uint64(time.Now().UnixNano()), 1), &r),
			"the connection was not closed")
	}
	require.NoError(t, good.Call(stewards.Method, summary("good", 2, 3), &r))
	// A panic in an answer only affects that answer.
	original := g.nodes["c4"].stewards
	g.nodes["c4"].stewards = nil
	require.ErrorContains(t, good.Call(stewards.Method, summary("good", 3, 3), &r), "a fault of this machine")
	g.nodes["c4"].stewards = original
	require.NoError(t, good.Call(stewards.Method, summary("good", 4, 3), &r))
}

// hugeSlice returns a request whose list of servers claims 1<<28 entries and has one.
func hugeSlice(t *testing.T) []byte {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	require.NoError(t, enc.Encode(rpc.Request{ServiceMethod: stewards.Method, Seq: 1}))
	args := stewards.TellArgs{Service: "s", Summary: spread.Summary{From: spread.Stamp{Name: "x", Life: 1, Seq: 1},
		Counts: []spread.Count{{Server: "k"}}}}
	before := b.Len()
	require.NoError(t, enc.Encode(args))
	all := b.Bytes()
	at := bytes.LastIndex(all, []byte{1, 1, 1, 'k'}) // one element, first field, one byte
	require.Greater(t, at, before)
	head := lastMessage(all)
	require.Less(t, int(all[head]), 0x70)
	out := append(append(append([]byte{}, all[:at]...), 0xfc, 0x10, 0, 0, 0), all[at+1:]...)
	out[head] += 4
	return out
}

// lastMessage returns the offset at which the last gob message begins.
func lastMessage(all []byte) (from int) {
	for at := 0; at < len(all); {
		size, width := int(all[at]), 1
		if all[at] > 0x7f {
			width = 1 - int(int8(all[at]))
			size = 0
			for _, x := range all[at+1 : at+width] {
				size = size<<8 | int(x)
			}
		}
		from, at = at, at+width+size
	}
	return from
}
