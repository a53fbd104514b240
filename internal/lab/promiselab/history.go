package promiselab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"woodrouter/internal/fleet/replica"
	"woodrouter/promise"
)

// operation is one client's operation on one call.
type operation struct {
	Kind   promise.Op // OpClaim, OpResolve, or "" for a read
	Call   string
	Token  string
	Answer string // of a resolution
}

// outcome is the result of an operation as its client saw it.
type outcome struct {
	Claimed          bool
	Answer           string // the call's answer; "" if a read or a claim found none
	ClaimedByAnother bool   // a resolution was rejected because another token has claimed the call
	Unknown          bool   // the client can't know whether the operation took effect
}

// history records operations with their times. An operation with unknown outcome gets the largest
// possible return time, so that the checker may let it take effect at any time or never.
type history struct {
	mu           sync.Mutex
	startedAt    time.Time
	ops          []porcupine.Operation
	promised     map[string]string // answers by call, of every resolution that a client was promised
	claimed      map[string]string // by call: the token that was told it alone may send the call
	doubleClaims []string          // calls that two tokens were told they may send
	refused      int               // operations that took no effect: no quorum, or not answered
	acknowledged int               // claims and resolutions committed by a quorum
}

func newHistory() *history {
	return &history{startedAt: time.Now(), promised: map[string]string{}, claimed: map[string]string{}}
}

// perform executes an operation and records it. An operation that took no effect is only counted, and
// its error is returned.
func (h *history) perform(client int, op operation, ask func() (outcome, error)) (outcome, error) {
	start := time.Since(h.startedAt).Nanoseconds()
	out, err := ask()
	end := time.Since(h.startedAt).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case errors.Is(err, promise.ErrEntry):
		out = outcome{ClaimedByAnother: true}
	case errors.Is(err, replica.ErrUnknownOutcome) && op.Kind != "":
		out, end = outcome{Unknown: true}, math.MaxInt64
	case err != nil: // took no effect, or a read without an answer
		h.refused++
		return out, err
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: start, Output: out, Return: end})
	h.recordPromise(op, out)
	return out, err
}

// recordPromise records what a client was promised, for the later check that nothing is lost.
func (h *history) recordPromise(op operation, out outcome) {
	if op.Kind != "" && !out.Unknown {
		h.acknowledged++
	}
	if out.Answer != "" && op.Kind != "" {
		h.promised[op.Call] = out.Answer
	}
	if !out.Claimed {
		return
	}
	if t, ok := h.claimed[op.Call]; ok && t != op.Token {
		h.doubleClaims = append(h.doubleClaims, op.Call)
	}
	h.claimed[op.Call] = op.Token
}

// acknowledgedCount returns how many claims and resolutions a quorum has committed so far. The number of
// promised calls would not measure progress: a fast run has resolved all 2000 before its last fault.
func (h *history) acknowledgedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acknowledged
}

// callModel is the sequential specification of one call: unclaimed, claimed by a token, or resolved.
var callModel = porcupine.NondeterministicModel{
	Partition: partitionByCall,
	Init:      func() []any { return []any{""} },
	Step: func(state, in, out any) []any {
		before, op, seen := state.(string), in.(operation), out.(outcome)
		next, expected := transition(before, op)
		if seen.Unknown {
			return []any{before, next}
		}
		if expected != seen {
			return nil
		}
		return []any{next}
	},
}

const claimPrefix = "claim "

// transition returns a call's state after an operation and the outcome that the client must see.
func transition(state string, op operation) (string, outcome) {
	holder, claimed := strings.CutPrefix(state, claimPrefix)
	resolved := state != "" && !claimed
	switch {
	case op.Kind == "" && resolved:
		return state, outcome{Answer: state}
	case op.Kind == "":
		return state, outcome{}
	case resolved:
		return state, outcome{Answer: state}
	case op.Kind == promise.OpClaim && claimed && holder != op.Token:
		return promise.AnswerRefused, outcome{Answer: promise.AnswerRefused}
	case op.Kind == promise.OpClaim:
		return claimPrefix + op.Token, outcome{Claimed: true}
	case claimed && holder != op.Token:
		return state, outcome{ClaimedByAnother: true}
	}
	return op.Answer, outcome{Answer: op.Answer}
}

func partitionByCall(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
	byCall := map[string][]porcupine.Operation{}
	for _, op := range ops {
		call := op.Input.(operation).Call
		byCall[call] = append(byCall[call], op)
	}
	for _, p := range byCall {
		parts = append(parts, p)
	}
	return parts
}

// runClient executes claims, resolutions with and without a claim, and reads until stop is closed. Calls
// are drawn from a small set, so that clients race on the same calls.
func (h *history) runClient(ctx context.Context, c *replica.Client, n int, seed uint64, stop <-chan struct{}) {
	defer c.Close()
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	answers := []string{promise.AnswerServed, promise.AnswerRefused, promise.AnswerFailed}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		op := operation{Call: fmt.Sprintf("call-%d", rng.IntN(2000)), Token: fmt.Sprintf("c%d-%d", n, i), Answer: answers[rng.IntN(3)]}
		var err error
		switch rng.IntN(4) {
		case 0:
			_, err = h.read(ctx, c, n, op.Call)
		case 1:
			_, err = h.propose(ctx, c, n, op, promise.OpResolve)
		default:
			var out outcome
			if out, err = h.propose(ctx, c, n, op, promise.OpClaim); out.Claimed {
				_, err = h.propose(ctx, c, n, op, promise.OpResolve)
			}
		}
		var later *replica.RetryAfterError
		if errors.As(err, &later) {
			time.Sleep(later.After / 4) // sooner than told, for more load
		}
	}
}

func (h *history) read(ctx context.Context, c *replica.Client, n int, call string) (outcome, error) {
	return h.perform(n, operation{Call: call}, func() (outcome, error) {
		r, _, err := c.Read(ctx, call)
		return outcome{Answer: r.Answer}, err
	})
}

func (h *history) propose(ctx context.Context, c *replica.Client, n int, op operation, kind promise.Op) (outcome, error) {
	op.Kind = kind
	e := promise.Entry{Op: kind, Call: op.Call, Token: op.Token, AtUs: time.Now().UnixMicro()}
	if kind == promise.OpResolve {
		e.Answer, e.Server = op.Answer, "s1"
	} else {
		op.Answer = ""
	}
	return h.perform(n, op, func() (outcome, error) {
		r, err := c.Propose(ctx, e)
		return outcome{Claimed: r.Claimed, Answer: r.Resolution.Answer}, err
	})
}

// checkTimeout bounds the search for a linearization.
const checkTimeout = 30 * time.Second

// checkLinearizable reports whether some order of the operations, each taking effect between its call
// and its return, explains every outcome (Herlihy and Wing, "Linearizability: a correctness condition
// for concurrent objects", ACM TOPLAS 12(3), 1990).
func (h *history) checkLinearizable() porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	res, _ := porcupine.CheckOperationsVerbose(callModel.ToModel(), h.ops, checkTimeout)
	return res
}

// findLost reads every promised resolution back and returns those that are gone or changed.
func (h *history) findLost(ctx context.Context, c *replica.Client) (lost []string) {
	defer c.Close()
	for call, answer := range h.promised {
		r, found, err := readWithRetry(ctx, c, call)
		if err != nil || !found || r.Answer != answer {
			lost = append(lost, fmt.Sprintf("%s: promised %s, read %q (found %v, %v)", call, answer, r.Answer, found, err))
		}
	}
	return lost
}

// readWithRetry reads a call, and retries while the group asks the client to come back later.
func readWithRetry(ctx context.Context, c *replica.Client, call string) (r promise.Resolution, found bool, err error) {
	err = replica.Retry(ctx, func() error {
		r, found, err = c.Read(ctx, call)
		return err
	})
	return r, found, err
}
