package daemon

import (
	"fmt"
	"net"
	"time"

	"woodrouter/internal/console"
)

// openConsole serves the operators' calls, where the configuration names an address.
func (d *Daemon) openConsole() (close func(), err error) {
	if d.cfg.Console == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", d.cfg.Console)
	if err != nil {
		return nil, fmt.Errorf("configuration: field console: %w", err)
	}
	c := &console.Console{Log: d.log, Calls: map[string]func() string{
		"READY": d.sayReady,
	}}
	go c.Serve(ln)
	d.log.Info("console open", "listen", ln.Addr().String())
	return func() { ln.Close(); c.Close() }, nil
}

func (d *Daemon) sayReady() string {
	if d.ready() {
		return console.Success + " takes clients"
	}
	return console.Failure + " takes no clients"
}

// How connections are ended while callers are to go elsewhere: looked for each emptyTick,
// those quiet for emptyQuiet first, as the next set-up may be on its way; one that is in use
// all the time ends in whatever gap there is after emptyHurry.
const (
	emptyTick  = 20 * time.Millisecond
	emptyQuiet = 100 * time.Millisecond
	emptyHurry = time.Second
)

// endIdle ends callers' connections that are not in use, at an age of the wish to have none,
// and tells how many are left.
func (d *Daemon) endIdle(age time.Duration) int {
	quiet := emptyQuiet
	if age > emptyHurry {
		quiet = 0
	}
	return d.front.EndIdle(quiet, true) + d.second.front.EndIdle(quiet, true)
}
