package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// apiConn is the client's end of a WebSocket connection (RFC 6455) to the call API: unfragmented text messages, and
// pings are answered. Only the standard library is used, so that it builds wherever the program does.
type apiConn struct {
	net.Conn
	in *bufio.Reader
}

// The opcodes of RFC 6455 that are used.
const (
	opText  = 1
	opClose = 8
	opPing  = 9
	opPong  = 10
)

// errClosedByAgent reports that the call agent closed the connection.
var errClosedByAgent = errors.New("the call agent closed the connection")

// dialAPI connects to the call API at an address, under the path of the test's settings.
func dialAPI(address string) (*apiConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	key := make([]byte, 16)
	rand.Read(key)
	fmt.Fprintf(conn, "GET /calls HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: %s\r\nSec-WebSocket-Protocol: woodrouter.call.v1\r\n\r\n", address, base64.StdEncoding.EncodeToString(key))
	c := &apiConn{conn, bufio.NewReader(conn)}
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(c.in, nil)
	if err == nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("the call API answered %s", response.Status)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// writeFrame writes a whole message. A client masks what it sends.
func (c *apiConn) writeFrame(opcode byte, data []byte) error {
	frame := []byte{0x80 | opcode}
	if len(data) < 126 {
		frame = append(frame, 0x80|byte(len(data)))
	} else {
		frame = binary.BigEndian.AppendUint16(append(frame, 0x80|126), uint16(len(data)))
	}
	var mask [4]byte
	rand.Read(mask[:])
	frame = append(frame, mask[:]...)
	for i, b := range data {
		frame = append(frame, b^mask[i%4])
	}
	_, err := c.Write(frame)
	return err
}

// readText returns the next text message.
func (c *apiConn) readText(deadline time.Time) ([]byte, error) {
	c.SetReadDeadline(deadline)
	for {
		var head [2]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return nil, err
		}
		size := uint64(head[1] & 0x7f)
		switch size {
		case 126:
			var long [2]byte
			if _, err := io.ReadFull(c.in, long[:]); err != nil {
				return nil, err
			}
			size = uint64(binary.BigEndian.Uint16(long[:]))
		case 127:
			return nil, errors.New("a message over 64 KiB")
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(c.in, data); err != nil {
			return nil, err
		}
		switch head[0] & 0x0f {
		case opText:
			return data, nil
		case opPing:
			if err := c.writeFrame(opPong, data); err != nil {
				return nil, err
			}
		case opClose:
			return nil, errClosedByAgent
		}
	}
}
