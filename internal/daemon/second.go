package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"time"

	"woodrouter/internal/front/callapi"
	"woodrouter/internal/front/ws"
	"woodrouter/internal/plan"
)

// replacedCloseTimeout is how long a connection whose settings no longer hold may wait for the
// answers of its set-ups.
const replacedCloseTimeout = 5 * time.Second

// apiServer is the front that an operator may set up: the call-control API. One front
// outlives all its settings, so that calls that stand are heard of after a change.
type apiServer struct {
	daemon *Daemon
	front  *callapi.Front

	mu      sync.Mutex
	applied *plan.Front // nil or not enabled: off
	ln      net.Listener
	closed  bool
}

// configure applies settings. On an error the former ones stay in force.
func (s *apiServer) configure(next *plan.Front) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || reflect.DeepEqual(s.applied, next) {
		return nil
	}
	enabled := next != nil && next.Enabled
	ln := s.ln
	rebind := !enabled || s.ln == nil || s.applied.Listen != next.Listen
	if rebind {
		ln = nil
	}
	if enabled && ln == nil {
		var err error
		if ln, err = net.Listen("tcp", next.Listen); err != nil {
			return fmt.Errorf("field listen: %w", err)
		}
	}
	if enabled {
		s.front.Configure(endpoint(next), next.MaxMessage)
		s.front.SetLimits(min(next.MaxConnections, s.daemon.connLimits.api), time.Duration(next.IdleS)*time.Second)
	}
	if rebind && s.ln != nil {
		s.ln.Close()
	}
	if s.ln != nil { // who may connect has changed: the clients connect anew
		go s.front.CloseExisting(replacedCloseTimeout)
	}
	if rebind && enabled {
		go s.front.Serve(ln)
	}
	s.applied, s.ln = next, ln
	if enabled {
		s.daemon.log.Info("call API on", "listen", ln.Addr().String(), "path", next.Path, "clients", len(next.Clients))
	} else {
		s.daemon.log.Info("call API off")
	}
	return nil
}

// reload reads the state file again.
func (s *apiServer) reload(path string) error {
	state, err := plan.ReadState(path)
	if err != nil {
		return err
	}
	if err := s.configure(state.Front); err != nil {
		return fmt.Errorf("state %s: %w", path, err)
	}
	return nil
}

// apiListenRetryInterval is how often a new version tries for the second front's address.
const apiListenRetryInterval = 50 * time.Millisecond

// openAPI applies the state at the start. A new version beside a running one finds the
// second front's address taken, as that is not handed over, and has it once the other stops.
func (d *Daemon) openAPI(ctx context.Context) error {
	err := d.api.reload(d.cfg.State)
	if d.cfg.Callers == "" || !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	d.log.Warn("call API waits for its address", "error", err)
	go func() {
		for errors.Is(err, syscall.EADDRINUSE) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(apiListenRetryInterval):
			}
			err = d.api.reload(d.cfg.State)
		}
		if err != nil {
			d.log.Error("state not taken; the former settings stay", "error", err)
		}
	}()
	return nil
}

// stopListening frees the address for good. The connections there are stay.
func (s *apiServer) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
}

// address is where the front listens; nil: it is off.
func (s *apiServer) address() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return nil
	}
	return s.ln.Addr()
}

func (s *apiServer) close() {
	s.stopListening()
	s.front.Close()
}

// endpoint words who may connect and how.
func endpoint(f *plan.Front) ws.Endpoint {
	e := ws.Endpoint{Path: f.Path, Origins: f.Origins}
	if len(f.Clients) > 0 {
		e.Allow = func(r *http.Request) int { return authorize(f.Clients, r.Header.Get("Authorization")) }
	}
	return e
}

// authorize looks for the client of a bearer token, in a time that tells nothing of it.
func authorize(clients []plan.Client, header string) int {
	token, ok := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	matched := 0
	for _, c := range clients {
		want, _ := hex.DecodeString(c.TokenSHA256) // checked when it was planned
		matched |= subtle.ConstantTimeCompare(sum[:], want)
	}
	if !ok || matched == 0 {
		return http.StatusUnauthorized
	}
	return 0
}
