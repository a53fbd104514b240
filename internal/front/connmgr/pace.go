package connmgr

import (
	"errors"
	"runtime"
	"time"

	"golang.org/x/time/rate"
)

// A connection may send maxIdleMessages messages a second that concern no open call of this front, after a burst of
// idleMessageBurst. Callers' tests, confirmations of ends and releases of calls from before a restart stay far below
// this. A connection that sends more is read more slowly, at most by maxPause for each message, and is closed if it
// still sends more after maxPaced.
const (
	maxIdleMessages  = 1000
	idleMessageBurst = 2000
	maxPause         = 20 * time.Millisecond
	maxPaced         = time.Second
)

// errTooManyMessages reports that a caller went on sending messages without a call at too high a rate.
var errTooManyMessages = errors.New("too many messages that concern no open call")

func newIdleMessageLimiter() *rate.Limiter { return rate.NewLimiter(maxIdleMessages, idleMessageBurst) }

// idleMessageUnit is the size up to which a message counts as one; a larger one counts as several, as it costs more to read
// and to parse.
const idleMessageUnit = 1 << 10

// CountIdleMessage counts a message of this many bytes that concerns no open call of this front.
func (p *Peer) CountIdleMessage(bytes int) {
	p.idleMessages.ReserveN(time.Now(), min(1+bytes/idleMessageUnit, idleMessageBurst))
}

// sendsIdly reports whether the connection is near its limit of idle messages, or was over it lately.
func (p *Peer) sendsIdly() bool {
	return p.paced.Load() || p.idleMessages.Tokens() < idleMessageBurst/2
}

// pace keeps a connection from taking the processor from the others: it lets other goroutines run between two
// messages that have already come, and pauses if the connection is over its limit of idle messages. It returns an
// error once that has gone on for too long. Only the reader calls it.
func (p *Peer) pace() error {
	tokens := p.idleMessages.Tokens()
	switch {
	case tokens < 0:
		return p.pause(time.Duration(-tokens / maxIdleMessages * float64(time.Second)))
	case tokens >= idleMessageBurst/2:
		p.paced.Store(false)
	}
	if p.In.Buffered() > 0 {
		runtime.Gosched()
	}
	return nil
}

// pause delays the reader of a connection that is over its limit.
func (p *Peer) pause(excess time.Duration) error {
	if !p.paced.Swap(true) {
		p.pacedSince = time.Now()
	}
	if time.Since(p.pacedSince) > maxPaced && !p.manager.refuseUntilAnswered(p) {
		return errTooManyMessages
	}
	time.Sleep(min(excess, maxPause))
	return nil
}
