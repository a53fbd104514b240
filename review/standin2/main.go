// Command review-standin-2 plays the cases 6 to 10 of the independent review. It holds the stand-ins of a case
// (setup servers, bulletins, callers), starts the project's programs as separate processes with the commands of the
// deploy file, and judges only what callers, setup servers and the platform can see.
//
// Usage: review-standin-2 CASE RECORD
//
// It runs from the repository's root. TROUBLE=0 in the environment plays the case without its disruption. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration limits one run of a case.
const maxDuration = 110 * time.Second

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

// play runs one case. It returns the breaches of the rule, or an error if the case could not run.
type play func(w *world) (breaches []string, err error)

var cases = map[string]play{
	"6":  lostAnswers,
	"7":  endsOfOthers,
	"8":  settingsChanged,
	"9":  drainingServerUnreached,
	"10": replacedUnseen,
}

// trials are shown in the report and are no cases.
var trials = map[string]play{
	"api-restart": apiClientRestart,
	"run-twice":   runTwice,
	"releases":    manyReleases,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		play = trials[os.Args[1]]
	}
	if play == nil {
		fmt.Fprintf(os.Stderr, "review-standin-2: no case %s\n", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		if r := recover(); r != nil {
			w.note("case", "fault of the case: %v\n%s", r, debug.Stack())
			code = exitNotRun
		}
	}()
	type outcome struct {
		breaches []string
		err      error
	}
	played := make(chan outcome, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				played <- outcome{err: fmt.Errorf("%w: %v\n%s", errNotRun, r, debug.Stack())}
			}
		}()
		breaches, err := play(w)
		played <- outcome{breaches, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	var o outcome
	select {
	case o = <-played:
	case <-stop:
		o.err = fmt.Errorf("%w: stopped by a signal", errNotRun)
	case <-time.After(maxDuration):
		o.err = fmt.Errorf("%w: not done within %v", errNotRun, maxDuration)
	}
	if o.err != nil {
		w.note("case", "not run: %v", o.err)
		fmt.Println("not run:", o.err)
		return exitNotRun
	}
	for _, b := range o.breaches {
		w.note("case", "BROKEN: %s", b)
	}
	if len(o.breaches) > 0 {
		fmt.Printf("broken: %s (%d in all)\n", o.breaches[0], len(o.breaches))
		return exitBroken
	}
	w.note("case", "the rule held")
	fmt.Println("held")
	return exitHeld
}
