// Command wirehost runs simulated gateways. It reads batches of events in the simulator's line
// protocol from standard input, and writes the replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"woodrouter/internal/wire"
)

func main() {
	h := wire.NewHost(os.Stdin, os.Stdout)
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(os.Stderr, "wirehost: %v\n%s", r, debug.Stack())
			h.Fatal(r)
			os.Exit(1)
		}
	}()
	if err := h.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
