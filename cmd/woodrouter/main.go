// Command woodrouter runs a call agent, and has the operators' commands for it.
package main

import (
	"os"

	"woodrouter/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
