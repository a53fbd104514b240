// Command woodrouter is a call agent on real sockets.
package main

import (
	"os"

	"woodrouter/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
