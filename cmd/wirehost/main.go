// Command wirehost hosts gateways on the simulator's wire: batches of events on
// standard input, replies on standard output.
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
