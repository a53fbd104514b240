//go:build !linux

package connmgr

import "net"

// closedByCaller is false: this system can't tell before what was sent is read.
func closedByCaller(net.Conn) bool { return false }
