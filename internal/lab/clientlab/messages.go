package clientlab

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"woodrouter/internal/front/callproto"
	"woodrouter/isup"
)

// Limits of a client's connection.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
)

// callClass and callTenant are those of the calls.
const callClass, callTenant = "group", "east"

// callTime is what callers allow a call.
const callTime = 3 * time.Second

// encode encodes a message that is within the size limit.
func encode(m isup.Message) []byte {
	b, err := m.Append(nil)
	if err != nil {
		panic(fmt.Sprintf("message of type %d: %v", m.Type, err))
	}
	return b
}

// binarySetUp returns a set-up. An empty class is that of the deployment.
func binarySetUp(id isup.CallID, class, number, description string) []byte {
	return encode(isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, class).WithMillis(isup.TimeLeft, callTime).
		WithText(isup.Tenant, callTenant).WithText(isup.Number, number).WithText(isup.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", uint64(id)%setupServers)).WithText(isup.Description, description))
}

// apiRequest returns a request as a frame. Without an id it is a notification.
func apiRequest(id, method string, params any) []byte {
	request := map[string]any{"jsonrpc": "2.0", "method": method, "params": params}
	if id != "" {
		request["id"] = id
	}
	text, err := json.Marshal(request)
	if err != nil {
		panic(fmt.Sprintf("request %s: %v", method, err))
	}
	return textFrame(text)
}

func apiSetUp(id isup.CallID, class, number, description string) []byte {
	first := int(uint64(id) % setupServers)
	return apiRequest(id.String(), callproto.SetUp, callproto.Call{ID: id.String(), Class: class, Tenant: callTenant, Number: number, FirstChoice: &first,
		DeadlineMs: callTime.Milliseconds(), Description: []byte(description)})
}

// The opcodes and bits of a WebSocket frame (RFC 6455, section 5.2).
const (
	finalBit     = 0x80
	maskBit      = 0x80
	opText       = 1
	opPing       = 9
	longLength   = 127
	mediumLength = 126
)

func textFrame(payload []byte) []byte { return frame(finalBit|opText, payload) }

// frame returns a client's frame. Its mask is zero, so that the payload is sent as it is.
func frame(first byte, payload []byte) []byte {
	return append(frameHead(first, len(payload)), payload...)
}

func frameHead(first byte, length int) []byte {
	b := []byte{first}
	switch {
	case length < mediumLength:
		b = append(b, maskBit|byte(length))
	case length < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, maskBit|mediumLength), uint16(length))
	default:
		b = binary.BigEndian.AppendUint64(append(b, maskBit|longLength), uint64(length))
	}
	return append(b, 0, 0, 0, 0)
}

// upgradeHead returns the request of a WebSocket handshake with more header fields, without the end of its head.
func upgradeHead(fields string) string {
	key := base64.StdEncoding.EncodeToString(make([]byte, 16))
	return "GET " + apiPath + " HTTP/1.1\r\nHost: agent\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: " + key + "\r\n" + fields
}

// shortFields returns as many different header fields as fit in a number of bytes.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		field := fmt.Sprintf("%s:\r\n", shortName(i))
		if b.Len()+len(field) > bytes {
			return b.String()
		}
		b.WriteString(field)
	}
}

// shortName returns the i-th shortest name of letters.
func shortName(i int) string {
	name := ""
	for ; i >= 0; i = i/26 - 1 {
		name += string(rune('a' + i%26))
	}
	return name
}

// dial connects to a front. On the call API it makes the handshake.
func (s *site) dial(front Front, host string) (net.Conn, *bufio.Reader, error) {
	addr := s.listen
	if front == API {
		addr = s.apiAddr
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReader(conn)
	if front == Binary {
		return conn, in, nil
	}
	conn.SetDeadline(time.Now().Add(writeTimeout))
	fmt.Fprint(conn, upgradeHead("")+"\r\n")
	response, err := http.ReadResponse(in, nil)
	if err == nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("handshake: %s", response.Status)
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, in, nil
}

// passesTest reports whether the agent answers a test as ready.
func passesTest(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(encode(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)))
	m, err := isup.Read(conn)
	if err != nil {
		return false
	}
	cause, err := m.Cause()
	return err == nil && m.Type == isup.TestResult && cause == isup.Passed
}
