package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"woodrouter/isup"
)

// apiClient is a client of the call-control API: JSON-RPC 2.0 over WebSocket, one connection at a time.
type apiClient struct {
	name, address string
	record        *recorder

	class, tenant string

	mu       sync.Mutex
	conn     *wsConn
	since    time.Time
	lines    []span
	asked    map[int]string       // by request id: the call of a set-up
	answered map[string]time.Time // when the call's result came
	ended    map[string]time.Time // when call.ended came
	requests int
}

// apiMessage is any message of the API.
type apiMessage struct {
	Version string          `json:"jsonrpc"`
	ID      *int            `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  any             `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

func newAPIClient(name, address string, record *recorder) *apiClient {
	return &apiClient{name: name, address: address, record: record, asked: map[int]string{},
		answered: map[string]time.Time{}, ended: map[string]time.Time{}}
}

// connect opens a connection and reads it until it ends.
func (c *apiClient) connect() error {
	conn, err := dialWS(c.address, "/calls")
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.conn, c.since = conn, c.record.add("client %s: connected", c.name)
	c.mu.Unlock()
	go c.read(conn)
	return nil
}

func (c *apiClient) read(conn *wsConn) {
	for {
		text, err := conn.readText()
		if err != nil {
			c.record.add("client %s: connection ended: %v", c.name, err)
			break
		}
		c.handle(text)
	}
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.lines = append(c.lines, span{c.since, time.Now()})
		c.conn = nil
	}
}

func (c *apiClient) handle(text []byte) {
	var m struct {
		ID     *int   `json:"id"`
		Method string `json:"method"`
		Params struct{ ID, Cause string }
		Result json.RawMessage `json:"result"`
		Error  json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		c.record.add("client %s: unreadable message %q", c.name, text)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.Method == "call.ended":
		c.ended[m.Params.ID] = c.record.add("client %s: call.ended of %s, %s", c.name, m.Params.ID, m.Params.Cause)
	case m.ID != nil && m.Error == nil && c.asked[*m.ID] != "":
		c.answered[c.asked[*m.ID]] = c.record.add("client %s: call %s stands", c.name, c.asked[*m.ID])
	case m.ID != nil:
		c.record.add("client %s: answer to request %d for %s: %s", c.name, *m.ID, c.asked[*m.ID], text)
	}
}

// request sends a request; call is the one that its result makes stand, if any.
func (c *apiClient) request(method, call string, params any) {
	c.mu.Lock()
	conn := c.conn
	c.requests++
	id := c.requests
	if call != "" {
		c.asked[id] = call
	}
	c.mu.Unlock()
	if conn == nil {
		return
	}
	text, err := json.Marshal(apiMessage{Version: "2.0", ID: &id, Method: method, Params: params})
	if err != nil {
		return
	}
	c.record.add("client %s: request %d %s", c.name, id, method)
	if err := conn.writeFrame(opText, text); err != nil {
		c.record.add("client %s: request %d not written: %v", c.name, id, err)
	}
}

// place asks for a call.
func (c *apiClient) place(i int) {
	id := newCallID().String()
	c.request("call.setUp", id, map[string]any{"id": id, "class": c.class, "tenant": c.tenant,
		"number": fmt.Sprintf("%016x", uint64(i)*2654435761), "first_choice": i % 2, "deadline_ms": 3000, "description": "b2ZmZXI="})
}

func (c *apiClient) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}

// connectedDuring reports whether one connection was open through the whole time.
func (c *apiClient) connectedDuring(from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.lines
	if c.conn != nil {
		lines = append(lines[:len(lines):len(lines)], span{c.since, time.Now()})
	}
	for _, l := range lines {
		if !l.from.After(from) && !l.to.Before(to) {
			return true
		}
	}
	return false
}

// callID returns the number of a call's text form.
func callID(text string) isup.CallID {
	id, _ := isup.ParseCallID(text) // valid: newCallID made it
	return id
}
