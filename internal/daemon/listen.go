package daemon

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// callersListener returns the socket on which callers come. Where the platform holds it, as
// it does while a new version takes over from a running one, the process inherits it under
// the descriptor that fd names: both accept from one queue, and none of it is lost when
// either ends.
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
		return nil, fmt.Errorf("PROXY_FD: %.40q is no descriptor of a socket", fd)
	}
	file := os.NewFile(uintptr(n), "callers")
	defer file.Close() // the listener has a copy of its own
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", n, err)
	}
	return ln, nil
}
