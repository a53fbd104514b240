package daemon

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// callersListener returns the socket on which callers connect. If the platform holds the socket, as it does
// while a new process takes over from a running one, the process inherits it as the file descriptor fd: both
// accept from the same queue, and no connection in it is lost when either ends.
func callersListener(address, fd string) (net.Listener, error) {
	if fd == "" {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("configuration: field listen: %w", err)
		}
		return ln, nil
	}
	n, err := strconv.Atoi(fd)
	if err != nil || n < 3 {
		return nil, fmt.Errorf("PROXY_FD: %.40q is not a socket's file descriptor", fd)
	}
	file := os.NewFile(uintptr(n), "callers")
	defer file.Close() // net.FileListener duplicates the descriptor
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", n, err)
	}
	return ln, nil
}
