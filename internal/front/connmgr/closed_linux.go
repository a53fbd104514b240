package connmgr

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection (linux/tcp_states.h) in which its peer has closed or reset it.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// closedByCaller reports whether the other side has closed or reset a connection, or this side has closed it. What was
// sent before may still be unread. Where the system can't tell it is false.
func closedByCaller(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil { // closed on this side
		return true
	}
	if infoErr != nil || info.Bytes_received == 0 {
		return false
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}

// unreadBytes returns how many bytes of a connection are in the system's buffer; 0 where that is not known.
func unreadBytes(conn net.Conn) int {
	bytes, _ := queuedBytes(conn, unix.SIOCINQ)
	return bytes
}

// allSent reports whether the other side has taken all that was written to a connection; false where that is not known.
func allSent(conn net.Conn) bool {
	bytes, known := queuedBytes(conn, unix.SIOCOUTQ)
	return known && bytes == 0
}

// queuedBytes returns how many bytes are in one of the queues of a connection. known is false on a connection without such, or
// one that is closed on this side.
func queuedBytes(conn net.Conn, request uint) (bytes int, known bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var requestErr error
	err = raw.Control(func(fd uintptr) { bytes, requestErr = unix.IoctlGetInt(int(fd), request) })
	return bytes, err == nil && requestErr == nil
}
