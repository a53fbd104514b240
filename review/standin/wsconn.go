package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// wsConn is the client's side of a WebSocket connection (RFC 6455), as far as the call-control API needs it: whole text
// messages, pings and the close.
type wsConn struct {
	net.Conn
	in *bufio.Reader
	mu sync.Mutex // held while a frame is written
}

// Opcodes and bits of frames.
const (
	opText  = 1
	opClose = 8
	opPing  = 9
	opPong  = 10

	finalBit = 0x80
	maskBit  = 0x80
)

var errClosed = errors.New("closed by the agent")

// dialWS opens a connection for the API's subprotocol.
func dialWS(address, path string) (*wsConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: c3RhbmQtaW4ta2V5LTAwMQ==\r\nSec-WebSocket-Protocol: woodrouter.call.v1\r\n\r\n", path, address)
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err == nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("status %s", response.Status)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return &wsConn{Conn: conn, in: in}, nil
}

// writeFrame writes one frame. The mask is zero, which leaves the payload as it is.
func (c *wsConn) writeFrame(opcode byte, payload []byte) error {
	b := []byte{finalBit | opcode}
	if len(payload) < 126 {
		b = append(b, maskBit|byte(len(payload)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, maskBit|126), uint16(len(payload)))
	}
	b = append(append(b, 0, 0, 0, 0), payload...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(b)
	return err
}

// readText returns the next text message, and answers pings.
func (c *wsConn) readText() ([]byte, error) {
	for {
		var head [2]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return nil, err
		}
		length := int(head[1])
		if length == 126 {
			var long [2]byte
			if _, err := io.ReadFull(c.in, long[:]); err != nil {
				return nil, err
			}
			length = int(binary.BigEndian.Uint16(long[:]))
		}
		payload := make([]byte, length)
		if _, err := io.ReadFull(c.in, payload); err != nil {
			return nil, err
		}
		switch head[0] &^ finalBit {
		case opText:
			return payload, nil
		case opPing:
			if err := c.writeFrame(opPong, payload); err != nil {
				return nil, err
			}
		case opClose:
			c.writeFrame(opClose, payload)
			return nil, errClosed
		}
	}
}
