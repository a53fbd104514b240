package callapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/front/ws"
	"woodrouter/internal/standin"
)

func startFront(t *testing.T, cfg connmgr.Config) (*Front, *standin.AgentStub, string) {
	c := standin.NewAgentStub()
	f := New(cfg, c)
	f.Configure(ws.Endpoint{Path: "/calls"}, 4096)
	return f, c, "ws://" + standin.Serve(t, f) + "/calls"
}

// client uses coder/websocket, an implementation independent of package ws.
type client struct {
	*websocket.Conn
	t   *testing.T
	ctx context.Context
}

func dial(t *testing.T, url string) client {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), standin.WaitTimeout)
	t.Cleanup(cancel)
	conn, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{Subprotocols: []string{"woodrouter.call.v1"}})
	require.NoError(t, err)
	require.Equal(t, "woodrouter.call.v1", resp.Header.Get("Sec-WebSocket-Protocol"))
	t.Cleanup(func() { conn.CloseNow() })
	return client{conn, t, ctx}
}

func (c client) send(text string) {
	c.t.Helper()
	require.NoError(c.t, c.Write(c.ctx, websocket.MessageText, []byte(text)))
}

// receive returns the next message in a canonical form, without error texts.
func (c client) receive() string {
	c.t.Helper()
	_, text, err := c.Read(c.ctx)
	require.NoError(c.t, err)
	return withoutMessage(c.t, text)
}

func withoutMessage(t *testing.T, text []byte) string {
	var m map[string]any
	require.NoError(t, json.Unmarshal(text, &m))
	require.Equal(t, "2.0", m["jsonrpc"])
	delete(m, "jsonrpc")
	if e, ok := m["error"].(map[string]any); ok {
		require.NotEmpty(t, e["message"])
		delete(e, "message")
	}
	b, err := json.Marshal(m)
	require.NoError(t, err)
	return string(b)
}

const id = "7f3a9c21e0b4d655"

const setUp = `{"jsonrpc":"2.0","id":1,"method":"call.setUp","params":{"id":"` + id +
	`","class":"voice","tenant":"t","number":"12","first_choice":2,"deadline_ms":3000,"description":"b2ZmZXI=","x":1}}`

// TestOutcomes checks that each outcome of the core is one answer of the API.
func TestOutcomes(t *testing.T) {
	fail := &agent.Failure{Stage: agent.Written, Server: "s", Err: agent.ErrPanic}
	for _, tc := range []struct {
		name string
		do   func(f *Front, c agent.Call)
		want []string
	}{
		{"stands, ends", func(f *Front, c agent.Call) { f.Answered(c, []byte("there")); f.Ended(c, nil) },
			[]string{`{"id":1,"result":{"description":"dGhlcmU=","id":"` + id + `"}}`,
				`{"method":"call.ended","params":{"cause":"completed","id":"` + id + `"}}`}},
		{"stands, is cut", func(f *Front, c agent.Call) { f.Answered(c, nil); f.Ended(c, fail) },
			[]string{`{"id":1,"result":{"description":null,"id":"` + id + `"}}`,
				`{"method":"call.ended","params":{"cause":"cut","id":"` + id + `"}}`}},
		{"refused", func(f *Front, c agent.Call) { f.Refused(c, 1500*time.Millisecond) },
			[]string{`{"error":{"code":1001,"data":{"id":"` + id + `","retry_after_ms":1500}},"id":1}`}},
		{"failed", func(f *Front, c agent.Call) { f.Failed(c, fail) },
			[]string{`{"error":{"code":1002,"data":{"id":"` + id + `","retry_after_ms":1000,"stage":"written"}},"id":1}`}},
		{"overdue", func(f *Front, c agent.Call) { f.Failed(c, agent.ErrOverdue) },
			[]string{`{"error":{"code":1003,"data":{"id":"` + id + `","retry_after_ms":1000}},"id":1}`}},
		{"duplicate at another front", func(f *Front, c agent.Call) { f.Rejected(c, agent.ErrDuplicate) },
			[]string{`{"error":{"code":1005,"data":{"id":"` + id + `","retry_after_ms":0}},"id":1}`}},
		{"unknown class", func(f *Front, c agent.Call) { f.Rejected(c, agent.ErrUnknownClass) },
			[]string{`{"error":{"code":1006,"data":{"id":"` + id + `","retry_after_ms":0}},"id":1}`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, core, url := startFront(t, connmgr.Config{RetryAfter: time.Second})
			c := dial(t, url)
			c.send(setUp)
			call := standin.Next(t, core.Offered)
			assert.Equal(t, "voice t 12 2 offer", strings.Join([]string{call.Class, call.Tenant, call.Number,
				string(rune('0' + call.Pool)), string(call.Description)}, " "))
			assert.InDelta(t, 3, time.Until(call.Deadline).Seconds(), 2.9)
			tc.do(f, call)
			tc.do(f, call) // a second outcome must not be sent
			for _, want := range tc.want {
				assert.Equal(t, want, c.receive())
			}
			c.send(`{"jsonrpc":"2.0","id":9,"method":"nothing"}`)
			assert.Contains(t, c.receive(), `-32601`, "nothing else was sent")
		})
	}
}

// TestBadRequests checks that each bad request is answered, and that the connection and its calls continue.
func TestBadRequests(t *testing.T) {
	f, core, url := startFront(t, connmgr.Config{})
	c := dial(t, url)
	c.send(setUp)
	call := standin.Next(t, core.Offered)
	for name, tc := range map[string]struct{ in, want string }{
		"not JSON":               {`{`, `{"error":{"code":-32700},"id":null}`},
		"not an object":          {`7`, `{"error":{"code":-32600},"id":null}`},
		"a batch":                {`[]`, `{"error":{"code":-32600},"id":null}`},
		"no version":             {`{"id":2,"method":"call.cancel"}`, `{"error":{"code":-32600},"id":2}`},
		"invalid request id":     {`{"jsonrpc":"2.0","id":{},"method":"call.cancel"}`, `{"error":{"code":-32600},"id":null}`},
		"unknown method":         {`{"jsonrpc":"2.0","id":"a","method":"call.hold"}`, `{"error":{"code":-32601},"id":"a"}`},
		"request id in use":      {strings.Replace(setUp, id, "0000000000000002", 1), `{"error":{"code":-32600},"id":null}`},
		"duplicate call id":      {strings.Replace(setUp, `"id":1`, `"id":2`, 1), `{"error":{"code":1005,"data":{"id":"` + id + `","retry_after_ms":0}},"id":2}`},
		"bad call id":            {`{"jsonrpc":"2.0","id":2,"method":"call.setUp","params":{"id":"x"}}`, `{"error":{"code":-32602},"id":2}`},
		"no class":               {`{"jsonrpc":"2.0","id":2,"method":"call.setUp","params":{"id":"` + id + `"}}`, `{"error":{"code":-32602},"id":2}`},
		"no deadline":            {`{"jsonrpc":"2.0","id":2,"method":"call.setUp","params":{"id":"` + id + `","class":"v"}}`, `{"error":{"code":-32602},"id":2}`},
		"long name":              {`{"jsonrpc":"2.0","id":2,"method":"call.setUp","params":{"id":"` + id + `","deadline_ms":1,"class":"` + strings.Repeat("v", 300) + `"}}`, `{"error":{"code":-32602},"id":2}`},
		"wrong type":             {`{"jsonrpc":"2.0","id":2,"method":"call.setUp","params":{"id":5}}`, `{"error":{"code":-32602},"id":2}`},
		"params that are a list": {`{"jsonrpc":"2.0","id":2,"method":"call.release","params":[1]}`, `{"error":{"code":-32602},"id":2}`},
		"unknown call":           {`{"jsonrpc":"2.0","id":2,"method":"call.release","params":{"id":"0"}}`, `{"error":{"code":1007,"data":{"id":"0","retry_after_ms":0}},"id":2}`},
	} {
		c.send(tc.in)
		assert.Equal(t, tc.want, c.receive(), name)
	}
	c.send(`{"jsonrpc":"2.0","method":"call.setUp"}`) // a notification is not answered
	f.Answered(call, nil)
	assert.Contains(t, c.receive(), `"result"`)
}

// TestCancel checks that a cancel also answers the set-up's request, and that a release ends a standing call,
// on another connection too. Neither may reach the core twice.
func TestCancel(t *testing.T) {
	f, core, url := startFront(t, connmgr.Config{})
	c := dial(t, url)
	c.send(setUp)
	standin.Next(t, core.Offered)
	c.send(`{"jsonrpc":"2.0","id":2,"method":"call.cancel","params":{"id":"` + id + `"}}`)
	assert.Equal(t, `{"error":{"code":1004,"data":{"id":"`+id+`","retry_after_ms":0}},"id":1}`, c.receive())
	assert.Equal(t, `{"id":2,"result":{}}`, c.receive())
	assert.Equal(t, id, standin.Next(t, core.Withdrawn))

	c.send(setUp)
	f.Answered(standin.Next(t, core.Offered), nil)
	c.receive()
	c.CloseNow()
	other := dial(t, url)
	other.send(`{"jsonrpc":"2.0","id":1,"method":"call.release","params":{"id":"` + id + `"}}`)
	assert.Equal(t, `{"id":1,"result":{}}`, other.receive())
	assert.Equal(t, id, standin.Next(t, core.Withdrawn))
	assert.Empty(t, core.Withdrawn, "the connection's end withdraws no call that stands")
}

// TestClientGone checks that a client that leaves during a set-up withdraws its calls, and that the end of a
// standing call is sent on its host's next connection.
func TestClientGone(t *testing.T) {
	f, core, url := startFront(t, connmgr.Config{})
	c := dial(t, url)
	c.send(setUp)
	standing := standin.Next(t, core.Offered)
	f.Answered(standing, nil)
	c.receive()
	c.send(strings.NewReplacer(id, "0000000000000002", `"id":1,`, `"id":2,`).Replace(setUp))
	open := standin.Next(t, core.Offered)
	c.CloseNow()
	assert.Equal(t, open.ID, standin.Next(t, core.Withdrawn))
	f.Answered(open, nil) // crosses the withdrawal: not sent
	f.Ended(standing, nil)
	assert.Contains(t, dial(t, url).receive(), `"call.ended"`)
}

// TestBusyCore checks that the front refuses a call at once if the core accepts no more calls.
func TestBusyCore(t *testing.T) {
	_, core, url := startFront(t, connmgr.Config{RetryAfter: 700 * time.Millisecond})
	core.Busy = true
	c := dial(t, url)
	c.send(setUp)
	assert.Equal(t, `{"error":{"code":1001,"data":{"id":"`+id+`","retry_after_ms":700}},"id":1}`, c.receive())
}

// TestConnectionFaults checks that a framing error ends the connection with the matching status code, and its
// open calls with it.
func TestConnectionFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c client)
		want websocket.StatusCode
	}{
		{"oversized", func(c client) { c.send(strings.Repeat("x", 5000)) }, websocket.StatusMessageTooBig},
		{"oversized in fragments", func(c client) {
			w, err := c.Writer(c.ctx, websocket.MessageText)
			require.NoError(c.t, err)
			for range 5 { // the client's writer sends each of these as a frame
				w.Write([]byte(strings.Repeat("x", 1000)))
			}
		}, websocket.StatusMessageTooBig},
		{"binary", func(c client) { c.Write(c.ctx, websocket.MessageBinary, []byte("x")) }, websocket.StatusUnsupportedData},
		{"not UTF-8", func(c client) { c.send("\xff") }, websocket.StatusInvalidFramePayloadData},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, core, url := startFront(t, connmgr.Config{})
			c := dial(t, url)
			c.send(setUp)
			standin.Next(t, core.Offered)
			tc.do(c)
			_, _, err := c.Read(c.ctx)
			assert.Equal(t, tc.want, websocket.CloseStatus(err), "%v", err)
			assert.Equal(t, id, standin.Next(t, core.Withdrawn))
		})
	}
}

// TestUnmasked checks that the server closes the connection on an unmasked frame, as RFC 6455 requires.
func TestUnmasked(t *testing.T) {
	_, _, url := startFront(t, connmgr.Config{})
	conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "ws://"), "/calls"))
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(standin.WaitTimeout))
	_, err = conn.Write([]byte("GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n\x81\x02{}"))
	require.NoError(t, err)
	var got strings.Builder
	buf := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = conn.Read(buf)
		got.Write(buf[:n])
	}
	_, frames, _ := strings.Cut(got.String(), "\r\n\r\n")
	assert.True(t, strings.HasPrefix(frames, "\x88"), "a close frame: %q", frames)
	assert.Contains(t, frames, "\x03\xea", "1002")
}

// TestSlowReader checks that a client that reads nothing is disconnected and does not block the front.
func TestSlowReader(t *testing.T) {
	_, core, url := startFront(t, connmgr.Config{MaxQueued: 16, WriteTimeout: 100 * time.Millisecond})
	slow := dial(t, url)
	slow.send(setUp)
	standin.Next(t, core.Offered)
	ask := []byte(`{"jsonrpc":"2.0","id":"` + strings.Repeat("i", 3000) + `","method":"none"}`)
	for range 20000 { // bounded: 60 MB of answers fill any buffer
		if slow.Write(slow.ctx, websocket.MessageText, ask) != nil {
			break
		}
	}
	assert.Equal(t, id, standin.Next(t, core.Withdrawn), "its connection ended")
	c := dial(t, url)
	c.send(setUp)
	standin.Next(t, core.Offered)
}

// TestVanishedClient checks that a silent connection is pinged and then closed, and that one that answers the
// pings stays open.
func TestVanishedClient(t *testing.T) {
	_, _, url := startFront(t, connmgr.Config{IdleTimeout: 300 * time.Millisecond})
	silent := dial(t, url) // answers pings only while it reads
	time.Sleep(time.Second)
	_, _, err := silent.Read(silent.ctx)
	require.Error(t, err)
	assert.NotErrorIs(t, err, context.DeadlineExceeded, "closed by the agent")
	quiet := dial(t, url)
	ctx, cancel := context.WithTimeout(context.Background(), 1600*time.Millisecond)
	defer cancel()
	_, _, err = quiet.Read(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded, "its pings were answered")
}

// TestSilentClientGetsAnswer guards the answer of a set-up whose client is silent for longer than the idle time and answers no
// ping: its connection ends only after the answer.
func TestSilentClientGetsAnswer(t *testing.T) {
	f, core, url := startFront(t, connmgr.Config{IdleTimeout: 100 * time.Millisecond})
	c := dial(t, url) // answers pings only while it reads
	c.send(setUp)
	call := standin.Next(t, core.Offered)
	time.Sleep(time.Second)
	assert.Empty(t, core.Withdrawn)
	f.Refused(call, time.Second)
	assert.Contains(t, c.receive(), `"code":1001`)
	time.Sleep(time.Second)
	_, _, err := c.Read(c.ctx)
	require.Error(t, err)
	assert.NotErrorIs(t, err, context.DeadlineExceeded, "closed by the agent")
}

// TestUpgradeRefused checks that a client that may not connect gets an HTTP status that says so.
func TestUpgradeRefused(t *testing.T) {
	f, _, url := startFront(t, connmgr.Config{})
	f.Configure(ws.Endpoint{Path: "/calls", Allow: func(*http.Request) int { return http.StatusUnauthorized }}, 0)
	_, resp, err := websocket.Dial(context.Background(), url, nil)
	require.Error(t, err)
	require.NotNil(t, resp)
	assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
}

// TestClose checks that clients get a close frame when the front is closed.
func TestClose(t *testing.T) {
	f, _, url := startFront(t, connmgr.Config{})
	c := dial(t, url)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"none"}`)
	c.receive()
	go f.Close()
	_, _, err := c.Read(c.ctx)
	assert.Equal(t, websocket.StatusGoingAway, websocket.CloseStatus(err))
}

// TestSetUpCrossingClose guards the answers that a client has not read yet against a set-up that crosses the close of its
// connection: the set-up is not passed on, and the connection is closed, not reset.
func TestSetUpCrossingClose(t *testing.T) {
	f, core, url := startFront(t, connmgr.Config{LingerTimeout: standin.WaitTimeout})
	conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "ws://"), "/calls"))
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(standin.WaitTimeout))
	fmt.Fprintf(conn, "GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n%s", maskedText(setUp))
	f.Answered(standin.Next(t, core.Offered), nil)
	closed := make(chan struct{})
	go func() { f.Close(); close(closed) }()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"result"`)
	for range 3 {
		_, err = conn.Write(maskedText(strings.Replace(setUp, id, "0000000000000002", 1)))
		require.NoError(t, err, "closed, not reset")
		time.Sleep(10 * time.Millisecond)
	}
	conn.(*net.TCPConn).CloseWrite()
	standin.Next(t, closed)
	assert.Empty(t, core.Offered)
}

// maskedText returns a client's text frame with the mask 0.
func maskedText(text string) []byte {
	return append([]byte{0x81, 0x80 | 126, byte(len(text) >> 8), byte(len(text)), 0, 0, 0, 0}, text...)
}

// TestSilent checks that a connection that never requests an upgrade is closed soon, and that an upgraded one
// may be idle.
func TestSilent(t *testing.T) {
	_, _, url := startFront(t, connmgr.Config{FirstMessageTimeout: 100 * time.Millisecond})
	idle := dial(t, url)
	for _, partial := range []string{"", "GET /calls HTTP/1.1\r\n"} {
		conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(url, "ws://"), "/calls"))
		require.NoError(t, err)
		defer conn.Close()
		conn.Write([]byte(partial))
		conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
		_, err = io.ReadAll(conn)
		require.NoError(t, err, "closed by the agent, not by the test's deadline")
	}
	idle.send(`{}`)
	assert.Contains(t, idle.receive(), "error")
}

// TestUnfinishedMessagesLimited guards the memory limit against clients that each send a part of a large message and stop: the
// parts of all connections are limited together. A sound set-up is taken all the same.
func TestUnfinishedMessagesLimited(t *testing.T) {
	const largest = 1 << 20
	f, core, url := startFront(t, connmgr.Config{MaxHeldBytes: 2 * largest})
	f.Configure(ws.Endpoint{Path: "/calls"}, largest)
	ended := make(chan error, 5)
	for range cap(ended) {
		c := dial(t, url)
		w, err := c.Writer(c.ctx, websocket.MessageText)
		require.NoError(t, err)
		go func() {
			_, _, err := c.Read(c.ctx)
			ended <- err
		}()
		w.Write(make([]byte, largest*9/10)) // it fails once the agent has closed the connection
		time.Sleep(50 * time.Millisecond)
	}
	assert.Len(t, ended, 3)
	c := dial(t, url)
	c.send(setUp)
	standin.Next(t, core.Offered)
}
