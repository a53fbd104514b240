//go:build !linux

package connmgr

import "net"

// closedByCaller is false: this system can't tell before what was sent is read.
func closedByCaller(net.Conn) bool { return false }

// unreadBytes is 0: what is in the system's buffer is seen only when it is read.
func unreadBytes(net.Conn) int { return 0 }

// allSent is false: this system can't tell.
func allSent(net.Conn) bool { return false }
