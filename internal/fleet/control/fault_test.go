package control

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// TestQuorumLost checks that a machine without a leader reports that it lags, at once to waiting watchers
// and also to new ones, that it still serves the documents it has, and that no change is accepted without
// a quorum. A machine that restarts with an old disk lags until it has caught up; its agents never get an
// older revision than they have.
func TestQuorumLost(t *testing.T) {
	g := startGroup(t)
	at4, at3 := g.agent("c4", "a4").run(), g.agent("c3", "a3").run()
	routes := parseName(t, "routes@all")
	first, err := g.put(rollout.Entry{Name: routes, Text: []byte("routes: 1")})
	require.NoError(t, err)
	at3.has("routes@all", "routes: 1")
	at4.has("routes@all", "routes: 1")

	g.close("c3")
	second, err := g.put(rollout.Entry{Name: routes, Base: first, Text: []byte("routes: 2")})
	require.NoError(t, err)
	at4.has("routes@all", "routes: 2")
	g.open("c3")
	back := g.agent("c3", "a3")
	back.args.Have, back.args.Version, back.args.Report.Life = map[string]uint64{"routes@all": first}, first, 2
	r, err := back.watch()
	require.NoError(t, err)
	require.True(t, r.Lagging || len(r.Docs) == 1, "%+v", r)
	back.run().has("routes@all", "routes: 2")
	back.until("up to date", func() bool { return !back.lastReply.Lagging })

	patient := g.agent("c4", "patient") // must be answered before its patience ends
	patient.args.PatienceMs = 9000
	_, err = patient.watch()
	require.NoError(t, err)
	patient.run()
	began := time.Now()
	g.close("c1")
	g.close("c2")
	patient.until("lagging", func() bool { return patient.lastReply.Lagging })
	require.Less(t, time.Since(began), 8*time.Second)
	at4.until("lagging", func() bool { return at4.lastReply.Lagging })
	back.until("lagging", func() bool { return back.lastReply.Lagging })
	late := g.agent("c4", "late")
	r, err = late.watch()
	require.NoError(t, err)
	require.True(t, r.Lagging && r.Whole && len(r.Docs) == 1, "%+v", r)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = g.client.Put(ctx, rollout.Entry{Op: rollout.OpPut, Name: routes, Base: second, Text: []byte("routes: 3"), Author: "ann"})
	require.True(t, errors.Is(err, quorum.ErrNoQuorum) || errors.Is(err, quorum.ErrUnknownOutcome), "%v", err)

	g.open("c1")
	g.open("c2")
	back.until("up to date", func() bool { return !back.lastReply.Lagging })
	at4.until("up to date", func() bool { return !at4.lastReply.Lagging })
	_, err = g.put(rollout.Entry{Name: routes, Base: second, Text: []byte("routes: 3")})
	require.NoError(t, err)
	at4.has("routes@all", "routes: 3")
	back.has("routes@all", "routes: 3")
}

// TestStopAnswersWatchers checks that a machine that stops answers its waiting watchers at once.
func TestStopAnswersWatchers(t *testing.T) {
	g := startGroup(t)
	a := g.agent("c4", "a4")
	a.args.PatienceMs = 9000
	_, err := a.watch()
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { _, err := a.watch(); ended <- err }()
	require.Eventually(t, func() bool { return g.nodes["c4"].watchers.Load() == 1 }, waitLimit, time.Millisecond)
	began := time.Now()
	g.close("c4")
	require.ErrorContains(t, <-ended, "stops")
	require.Less(t, time.Since(began), 2*time.Second)
}

// hugeMap returns a request whose map claims 1<<28 entries, for which gob would allocate 10 GB, and has
// one.
func hugeMap(t *testing.T) []byte {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	require.NoError(t, enc.Encode(rpc.Request{ServiceMethod: "Rollout.Watch", Seq: 1}))
	require.NoError(t, enc.Encode(rollout.WatchArgs{Have: map[string]uint64{"k": 1}}))
	all, from := b.Bytes(), 0
	for at := 0; at < len(all); { // find the last message, which holds the arguments
		size, width := int(all[at]), 1
		if all[at] > 0x7f {
			size, width = int(binary.BigEndian.Uint16(append([]byte{0}, all[at+1])[:2])), 2
		}
		from, at = at, at+width+size
	}
	value := bytes.Replace(all[from:], []byte{1, 1, 'k', 1}, []byte{0xfc, 0x10, 0, 0, 0, 1, 'k', 1}, 1)
	require.Greater(t, len(value), len(all[from:]))
	value[0] += byte(len(value) - len(all[from:]))
	return append(all[:from:from], value...)
}

// TestMalformedRequests checks that input which no client would send closes its own connection and has no
// other effect: maps and messages that claim huge sizes, endless type definitions, and random bytes.
func TestMalformedRequests(t *testing.T) {
	g := startGroup(t)
	a := g.agent("c4", "a4").run()
	a.until("up to date", func() bool { return a.lastReply.Machine != "" && !a.lastReply.Lagging })
	types := &bytes.Buffer{} // more type definitions than a connection may send
	for range maxTypeDefinitions {
		var b bytes.Buffer
		gob.NewEncoder(&b).Encode(rpc.Request{ServiceMethod: "x", Seq: 1})
		types.Write(b.Bytes()[:1+b.Bytes()[0]]) // the definition alone
	}
	sent := [][]byte{hugeMap(t), types.Bytes(), {0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0xfc, 0x20, 0, 0, 0, 1}, {0}, {0x80}}
	rng := rand.New(rand.NewPCG(7, 7))
	for range 60 {
		input := make([]byte, 1+rng.IntN(400))
		for j := range input {
			input[j] = byte(rng.Uint32())
		}
		sent = append(sent, input)
	}
	for i, input := range sent {
		conn, err := net.Dial("tcp", g.configs["c4"].Client)
		require.NoError(t, err)
		conn.Write(input)
		if i < 5 {
			conn.SetReadDeadline(time.Now().Add(waitLimit))
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "input %d: the connection was not closed", i)
		}
		conn.Close()
	}
	// A well-formed message that is too large.
	big := g.agent("c4", "big")
	big.args.Report.Refused = []rollout.Refusal{{Why: strings.Repeat("x", maxMessageBytes)}}
	_, err := big.watch()
	require.Error(t, err)
	_, err = g.agent("c4", "big").watch()
	require.NoError(t, err)
	number, err := g.put(rollout.Entry{Name: parseName(t, "routes@all"), Text: []byte("routes: 1")})
	require.NoError(t, err)
	a.until("still served", func() bool { return a.args.Have["routes@all"] == number })
}

// TestLateStageEntries checks that stage entries which a former leader proposes late change nothing, and
// that clients can't propose stage entries.
func TestLateStageEntries(t *testing.T) {
	g := startGroup(t)
	a := g.agent("c4", "a4").run()
	a.until("first answer", func() bool { return a.lastReply.Machine != "" })
	number, err := g.put(rollout.Entry{Name: parseName(t, "routes@all"), Text: []byte("routes: 1")})
	require.NoError(t, err)
	a.has("routes@all", "routes: 1")
	leader := g.nodes[g.leader()]
	require.Eventually(t, func() bool {
		o, _ := leader.overview("")
		return len(o.Names) == 1 && o.Names[0].Latest.Stage == rollout.StageEverywhere && o.Names[0].Coverage.InForce <= 1
	}, waitLimit, 10*time.Millisecond)
	for _, op := range []rollout.Op{rollout.OpStart, rollout.OpAdvance, rollout.OpHalt} {
		late := rollout.Entry{Op: op, Revision: number, First: []string{"a4"}, Why: "late"}
		r, answer, err := leader.Propose(rollout.Encode(late))
		require.NoError(t, err)
		require.Equal(t, quorum.Committed, answer.Outcome)
		require.False(t, r.(rollout.Result).Changed)
		_, err = g.client.Put(context.Background(), rollout.Entry{Op: op, Revision: number, Author: "ann"})
		require.ErrorIs(t, err, rollout.ErrEntry)
	}
	o, err := leader.overview("routes@all")
	require.NoError(t, err)
	require.Equal(t, number, o.Names[0].Latest.Revision)
	require.Equal(t, rollout.StageEverywhere, o.Names[0].Latest.Stage)
}

// scriptedMachine is a machine that gives every put the same answer.
type scriptedMachine struct {
	reply PutReply
	hold  chan struct{} // if not nil, it answers once this is closed
	puts  atomic.Int64  // puts received
}

func (s *scriptedMachine) Put(_ PutArgs, r *PutReply) error {
	s.puts.Add(1)
	if s.hold != nil {
		<-s.hold
	}
	*r = s.reply
	return nil
}

// TestClientPut checks that the client does not retry a put that a machine may have accepted, whether the
// leader reports an unknown outcome or does not answer, and that other refusals give their own errors.
func TestClientPut(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	for text, c := range map[string]struct {
		reply PutReply
		hold  chan struct{}
		want  error
	}{
		"leadership lost mid-commit": {PutReply{Outcome: quorum.Unknown, ComeBackMs: 40}, nil, quorum.ErrUnknownOutcome},
		"stopped mid-commit":         {PutReply{}, hold, quorum.ErrUnknownOutcome},
		"no leader":                  {PutReply{Outcome: quorum.NoQuorum, ComeBackMs: 40}, nil, quorum.ErrNoQuorum},
		"changed in the meantime":    {PutReply{Outcome: Conflict, Error: "at 7 by bob"}, nil, rollout.ErrConflict},
		"refused":                    {PutReply{Outcome: quorum.Refused, Error: "too large"}, nil, rollout.ErrEntry},
	} {
		s := &scriptedMachine{reply: c.reply, hold: c.hold}
		srv := rpc.NewServer()
		require.NoError(t, srv.RegisterName("Rollout", s))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
				go srv.ServeConn(conn)
			}
		}()
		client := NewClient(map[string]string{"c1": ln.Addr().String()})
		client.CallTimeout = 100 * time.Millisecond
		_, err = client.Put(context.Background(), rollout.Entry{Op: rollout.OpPut})
		require.ErrorIs(t, err, c.want, text)
		if c.want != quorum.ErrNoQuorum {
			require.EqualValues(t, 1, s.puts.Load(), text)
		}
		client.Close()
		ln.Close()
		<-ended
	}
}

// askConsole sends one order to a machine's console and returns the answer.
func (g *testGroup) askConsole(id, order string) string {
	conn, err := net.Dial("tcp", g.configs[id].Rollout.Console)
	require.NoError(g.t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	fmt.Fprintln(conn, order)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestConsoleOrders checks that operators can query and change documents at any machine's console,
// including the non-voter's, which passes changes on, and that members can be removed and added.
func TestConsoleOrders(t *testing.T) {
	g := startGroup(t)
	a := g.agent("c1", "a1").run()
	a.until("first answer", func() bool { return a.lastReply.Machine != "" })
	g.leader()
	var first, second uint64
	_, err := fmt.Sscanf(g.askConsole("c4", "config put routes@all 0 ann\nroutes: 1\nEOT"), "SUCCESS routes@all is at %d", &first)
	require.NoError(t, err)
	a.has("routes@all", "routes: 1\n")
	require.Contains(t, g.askConsole("c4", "CONFIG PUT routes@all 0 bob\nroutes: 2\nEOT"), fmt.Sprintf("is at %d by ann", first))
	require.Contains(t, g.askConsole("c4", "CONFIG PUT routes@all x bob\nEOT"), "FAILURE BASE")
	require.Contains(t, g.askConsole("c4", "CONFIG PUT routes 0 bob\nEOT"), "KIND@SCOPE")
	require.Contains(t, g.askConsole("c4", "CONFIG LOOK spread@all"), "FAILURE no document")
	answer := g.askConsole("c4", fmt.Sprintf("CONFIG PUT routes@all %d bob\nroutes: 2\nEOT", first))
	_, err = fmt.Sscanf(answer, "SUCCESS routes@all is at %d", &second)
	require.NoError(t, err)
	a.has("routes@all", "routes: 2\n")
	everywhere := fmt.Sprintf("routes@all revision %d, stage everywhere", second)
	require.Eventually(t, func() bool { // c4 gets the report of the agent at c1 from c1
		return strings.Contains(g.askConsole("c4", "CONFIG"), everywhere) &&
			strings.Contains(g.askConsole("c4", "CONFIG LOOK routes@all"), "zone z1: in force ")
	}, waitLimit, 50*time.Millisecond)
	look := g.askConsole("c4", "CONFIG LOOK routes@all")
	require.Contains(t, look, "| routes: 2\n")
	require.Contains(t, look, fmt.Sprintf("revision %d: superseded, base 0, by ann", first))
	require.True(t, strings.HasSuffix(look, "EOT\n"))
	var third uint64
	answer = g.askConsole("c4", fmt.Sprintf("CONFIG BACK routes@all %d %d ann", first, second))
	_, err = fmt.Sscanf(answer, "SUCCESS routes@all is at %d", &third)
	require.NoError(t, err)
	a.has("routes@all", "routes: 1\n")
	require.Contains(t, g.askConsole("c4", fmt.Sprintf("CONFIG REMOVE routes@all %d ann", third)), "SUCCESS")
	a.has("routes@all", "")
	require.Contains(t, g.askConsole("c1", "CONFIG LEAVE c4"), "SUCCESS")
	lists := func(member string, want bool) func() bool { // c1 shows what it knows, and may not be the leader
		return func() bool {
			_, members, ok := strings.Cut(g.askConsole("c1", "CONFIG"), "machines: ")
			return ok && strings.Contains(members, member) == want
		}
	}
	require.Eventually(t, lists("c4=", false), waitLimit, 10*time.Millisecond)
	require.Contains(t, g.askConsole("c1", "CONFIG JOIN c4 "+g.configs["c4"].Raft+" novote"), "SUCCESS")
	require.Eventually(t, lists("c4="+g.configs["c4"].Raft+" (no vote)", true), waitLimit, 10*time.Millisecond)
}

// TestLoadConfig checks that a control machine's file is recognized by its rollout section, that the error
// for an unusable file names the file and field, and that the deploy folder's file is accepted.
func TestLoadConfig(t *testing.T) {
	const head = "id: c1\nraft: 127.0.0.1:0\nclient: 127.0.0.1:0\ndata: d\n"
	for text, want := range map[string]string{
		head + "rollout: {peers: {c1: 127.0.0.1:1}}\n":                                                 "",
		head + "rollout: {peers: {c1: 127.0.0.1:1}, bogus: 1}\n":                                       "bogus",
		head + "rollout: {peers: {c2: 127.0.0.1:1}}\n":                                                 "field rollout.peers",
		head + "rollout: {peers: {c1: x}}\n":                                                           "field rollout.peers.c1",
		head + "rollout: {peers: {c1: 127.0.0.1:1}, dwell: soon}\n":                                    "field rollout.dwell",
		head + "rollout: {peers: {c1: 127.0.0.1:1}, worse: 2}\n":                                       "worse: 2 is not",
		head + "rollout: {peers: {c1: 127.0.0.1:1}, console: x}\n":                                     "field rollout.console",
		head + "bootstrap: [{id: c1, raft: a:1, voter: false}]\nrollout: {peers: {c1: 127.0.0.1:1}}\n": "no voter",
		head + "timing: {keep: 10m}\nrollout: {peers: {c1: 127.0.0.1:1}}\n":                            "keep",
	} {
		path := filepath.Join(t.TempDir(), "c.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.True(t, IsConfigFile(path), text)
		_, err := LoadConfig(path)
		if want == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, want)
			require.ErrorContains(t, err, "c.yaml")
		}
	}
	require.False(t, IsConfigFile("../../../deploy/replica.yaml"))
	cfg, err := LoadConfig("../../../deploy/control.yaml")
	require.NoError(t, err)
	require.False(t, cfg.Bootstrap[3].Votes())
}

// TestManyAgentsReturn checks that the agents of a zone that reconnect at once all get the whole set of
// documents from one machine, and that a watcher beyond maxWatchers gets errTooManyWatchers.
func TestManyAgentsReturn(t *testing.T) {
	g := startGroup(t)
	number, err := g.put(rollout.Entry{Name: parseName(t, "routes@all"), Text: []byte("routes: 1")})
	require.NoError(t, err)
	g.agent("c4", "first").run().has("routes@all", "routes: 1")
	var back []*testAgent
	for i := range 146 {
		back = append(back, g.agent("c4", fmt.Sprintf("a%d", i)).run())
	}
	for _, a := range back {
		a.until("the whole set", func() bool { return a.args.Have["routes@all"] == number })
	}
	g.nodes["c4"].watchers.Add(maxWatchers)
	_, err = g.agent("c4", "late").watch()
	require.ErrorContains(t, err, errTooManyWatchers.Error())
	g.nodes["c4"].watchers.Add(-maxWatchers)
}

// TestNonVoterLosesDisk checks that the non-voter may lose its disk and restart under the same id: it
// catches up by a snapshot, and its agents get no older text in the meantime.
func TestNonVoterLosesDisk(t *testing.T) {
	g := startGroup(t)
	a := g.agent("c1", "a1").run()
	a.until("first answer", func() bool { return a.lastReply.Machine != "" })
	var number uint64
	for i := range 4 {
		var err error
		number, err = g.put(rollout.Entry{Name: parseName(t, "routes@all"), Base: number,
			Text: fmt.Appendf(nil, "routes: %d", i)})
		require.NoError(t, err)
		a.has("routes@all", fmt.Sprintf("routes: %d", i))
	}
	for _, n := range g.nodes {
		require.NoError(t, n.Raft.Snapshot().Error())
	}
	g.close("c4")
	require.NoError(t, os.RemoveAll(g.configs["c4"].Data))
	g.open("c4")
	back := g.agent("c4", "a4")
	back.args.Have, back.args.Version = map[string]uint64{"routes@all": number - 1}, number-1
	back.run().has("routes@all", "routes: 3")
	back.until("up to date", func() bool { return !back.lastReply.Lagging })
	require.NotEqual(t, "0", g.nodes["c4"].Raft.Stats()["last_snapshot_index"])
}
