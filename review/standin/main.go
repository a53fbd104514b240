// Command standin plays the cases of the review. It has the stand-ins of setup servers, the bulletin and callers,
// written from the protocol page, and starts the call agent as the platform does.
//
// It exits with 1 if the rule was broken, 0 if it was kept, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// play is one case; it returns whether the rule was kept.
type play func(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error)

var plays = map[string]play{"copies": playCopies, "ends": playEnds, "list": playLateList, "rude": playRude, "cross": playCross}

// cleanups are run at the end of a case, however it ends.
type cleanups struct{ all []func() }

func (c *cleanups) add(f func()) { c.all = append(c.all, f) }

func (c *cleanups) run() {
	for i := len(c.all) - 1; i >= 0; i-- {
		c.all[i]()
	}
	c.all = nil
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE")
		return 2
	}
	record, err := newRecorder(os.Getenv("CASE_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	var cleanup cleanups
	type result struct {
		kept bool
		err  error
	}
	done := make(chan result, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the output may leave before the end
	go func() {
		kept, err := plays[os.Args[1]](record, os.Getenv("TROUBLE") != "0", &cleanup)
		done <- result{kept, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	}
	cleanup.run()
	switch {
	case r.err != nil:
		record.say("the case couldn't run: %v", r.err)
		return 2
	case !r.kept:
		record.say("RULE BROKEN")
		return 1
	}
	record.say("rule kept")
	return 0
}
