package clientlab

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"woodrouter/internal/front/callproto"
	"woodrouter/isup"
)

// Flood is a kind of message that one client sends at full speed on one connection, each with a new id or name.
type Flood struct {
	Name    string
	Front   Front
	message func(id isup.CallID) []byte
}

// floodBatch is how many messages of a flood are in one write.
const floodBatch = 200

// newName returns a name that was not used before.
func newName(id isup.CallID) string { return fmt.Sprintf("name-%d", uint64(id)) }

// Floods are the kinds of floods.
var Floods = []Flood{
	{"tests", Binary, func(id isup.CallID) []byte {
		return encode(isup.Message{Type: isup.Test, Call: id}.WithCause(isup.NotPassed))
	}},
	{"releases of unknown calls", Binary, func(id isup.CallID) []byte {
		return encode(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
	}},
	{"set-ups", Binary, func(id isup.CallID) []byte { return binarySetUp(id, callClass, "1", "offer") }},
	{"set-ups to new numbers", Binary, func(id isup.CallID) []byte { return binarySetUp(id, callClass, newName(id), "offer") }},
	{"set-ups of new classes", Binary, func(id isup.CallID) []byte { return binarySetUp(id, newName(id), "1", "offer") }},
	{"set-ups without a description", Binary, func(id isup.CallID) []byte { return binarySetUp(id, callClass, "1", "") }},
	{"set-ups that are released at once", Binary, func(id isup.CallID) []byte {
		return append(binarySetUp(id, callClass, "1", "offer"), encode(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))...)
	}},
	{"pings", API, func(isup.CallID) []byte { return frame(finalBit|opPing, nil) }},
	{"broken JSON", API, func(isup.CallID) []byte { return textFrame([]byte("{")) }},
	{"notifications of new methods", API, func(id isup.CallID) []byte { return apiRequest("", newName(id), nil) }},
	{"requests of new methods", API, func(id isup.CallID) []byte { return apiRequest(id.String(), newName(id), nil) }},
	{"releases of unknown calls", API, func(id isup.CallID) []byte {
		return apiRequest(id.String(), callproto.Release, callproto.Name{ID: id.String()})
	}},
	{"set-ups without a request id", API, func(id isup.CallID) []byte {
		return apiRequest("", callproto.SetUp, callproto.Call{ID: id.String(), Class: callClass, DeadlineMs: callTime.Milliseconds()})
	}},
	{"set-ups", API, func(id isup.CallID) []byte { return apiSetUp(id, callClass, "1", "offer") }},
	{"set-ups to new numbers", API, func(id isup.CallID) []byte { return apiSetUp(id, callClass, newName(id), "offer") }},
	{"set-ups of new classes", API, func(id isup.CallID) []byte { return apiSetUp(id, newName(id), "1", "offer") }},
	{"set-ups without a description", API, func(id isup.CallID) []byte { return apiSetUp(id, callClass, "1", "") }},
}

// FloodReport is the result of a flood.
type FloodReport struct {
	Report
	Messages int64 // written by the flood
}

func (r FloodReport) String() string { return fmt.Sprintf("%d messages, %v", r.Messages, r.Report) }

// PlayFlood plays a flood beside a gateway on each front.
func PlayFlood(ctx context.Context, cfg Config, kind Flood) (FloodReport, error) {
	s, err := startSite(cfg.Bin, cfg.Dir, cfg.Limits, false)
	if err != nil {
		return FloodReport{}, err
	}
	defer s.close()
	var messages atomic.Int64
	crowd := Crowd{Front: kind.Front, upgraded: kind.Front == API, send: func(conn net.Conn, n *atomic.Uint64) {
		for batch := []byte{}; ; batch = batch[:0] {
			for range floodBatch {
				batch = append(batch, kind.message(isup.CallID(n.Add(1)))...)
			}
			if !writeAll(conn, batch) {
				return
			}
			messages.Add(floodBatch)
		}
	}}
	report, err := s.playBeside(ctx, cfg.Span, func(ctx context.Context) int64 { return s.crowd(ctx, crowd, cfg.Clients) })
	return FloodReport{report, messages.Load()}, err
}
