// Command woodlab runs the project's lab: long fault schedules and measurements over loopback, limited in
// number and time.
package main

import (
	"os"

	"woodrouter/internal/lab/labcli"
)

func main() { os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
