package soaklab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"woodrouter/isup"
)

// Figures of a flood: bad clients that send one kind of message at full speed.
const (
	floodClients       = 10
	floodBatch         = 200 // messages in one write
	withdrawnBatch     = 20
	withdrawnPause     = 100 * time.Millisecond // between two batches of calls that are withdrawn at once
	floodWriteTimeout  = time.Second
	floodDescriptionKB = 12
)

// otherHost is the address of bad clients whose calls may stand for a moment. At the callers' address nobody could tell
// them from callers, to whom ends of calls may go.
const otherHost = "127.0.0.2"

// flood is a kind of message that bad clients send.
type flood struct {
	name  string
	batch int
	pause time.Duration // between two batches
	// freshIDs says that each batch has new ids of calls; else all batches of a connection are the same.
	freshIDs bool
	host     string // "": the callers' address
	// messages returns what is sent for a call that is used once.
	messages func(t *trial, id isup.CallID, rng *rand.Rand) []byte
}

var floods = []flood{
	{"releases of unknown calls", floodBatch, 0, false, "", func(_ *trial, id isup.CallID, _ *rand.Rand) []byte {
		return encoded(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
	}},
	{"tests", floodBatch, 0, false, "", func(_ *trial, id isup.CallID, _ *rand.Rand) []byte {
		return encoded(isup.Message{Type: isup.Test, Call: id}.WithCause(isup.NotPassed))
	}},
	{"progress", floodBatch, 0, false, "", func(_ *trial, id isup.CallID, _ *rand.Rand) []byte {
		return encoded(isup.Message{Type: isup.Progress, Call: id})
	}},
	{"set-ups of an unknown class", floodBatch, 0, true, "", func(t *trial, id isup.CallID, rng *rand.Rand) []byte {
		return t.setUp(id, "no such class", time.Second, rng)
	}},
	{"calls withdrawn at once", withdrawnBatch, withdrawnPause, true, otherHost, func(t *trial, id isup.CallID, rng *rand.Rand) []byte {
		t.cluster.World.Check.AddCall(id)
		class := t.Deployment.Classes[0]
		offer := t.setUpDescribed(id, class.Name, class.Deadline, strings.Repeat("x", floodDescriptionKB<<10), rng)
		return append(offer, encoded(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))...)
	}},
}

// encoded encodes a message of short texts.
func encoded(m isup.Message) []byte {
	b, err := m.Append(nil)
	if err != nil {
		panic(fmt.Sprintf("message of type %d: %v", m.Type, err))
	}
	return b
}

// floodAgent has bad clients flood an agent for a while. One flood at a time leaves the laboratory's own processor
// time for the callers and the servers.
func (t *trial) floodAgent(rng *rand.Rand) string {
	if !t.flooding.CompareAndSwap(false, true) {
		return ""
	}
	agent, kind := rng.IntN(t.Agents), floods[rng.IntN(len(floods))]
	until := time.Now().Add(between(rng, 500*time.Millisecond, 3*time.Second))
	var clients sync.WaitGroup
	for i := range floodClients {
		clientRNG := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		clients.Go(func() { t.callers[agent].flood(kind, until, clientRNG) })
	}
	t.underWay.Go(func() {
		clients.Wait()
		t.flooding.Store(false)
	})
	return fmt.Sprintf("a%d, %s", agent, kind.name)
}

// flood sends messages of one kind on one connection after another.
func (c *callers) flood(kind flood, until time.Time, rng *rand.Rand) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	if kind.host != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(kind.host)}
	}
	for time.Now().Before(until) {
		if !c.accepting.Load() {
			time.Sleep(reconnectInterval)
			continue
		}
		conn, err := dialer.Dial("tcp", c.trial.cluster.Addr(c.agent))
		if err != nil {
			time.Sleep(reconnectInterval)
			continue
		}
		var reading sync.WaitGroup
		reading.Go(func() { io.Copy(io.Discard, conn) })
		c.floodConn(conn, kind, until, rng)
		conn.Close()
		reading.Wait()
	}
}

// floodConn sends messages on a connection until it ends.
func (c *callers) floodConn(conn net.Conn, kind flood, until time.Time, rng *rand.Rand) {
	var batch []byte
	for time.Now().Before(until) {
		if batch == nil || kind.freshIDs {
			batch = batch[:0]
			for range kind.batch {
				batch = append(batch, kind.messages(c.trial, isup.CallID(c.trial.lastID.Add(1)), rng)...)
			}
		}
		conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		if _, err := conn.Write(batch); err != nil {
			return
		}
		time.Sleep(kind.pause)
	}
}
