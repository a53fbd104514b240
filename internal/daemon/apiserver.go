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

// The times of a change of the settings.
const (
	movedClientGrace = 5 * time.Second        // clients that must connect elsewhere may place calls for so long
	openSetUpMargin  = 500 * time.Millisecond // beyond the longest deadline, for set-ups that are open then
)

// apiServer serves the call-control API, which operators enable by the state file. The same front is kept
// through all changes of the settings, so that the ends of standing calls are still reported after a change.
type apiServer struct {
	daemon *Daemon
	front  *callapi.Front

	mu      sync.Mutex
	applied *plan.Front   // the settings in force; nil or not enabled: off
	ln      net.Listener  // nil: off
	served  chan struct{} // closed once no connection of ln is admitted any more
	closed  bool          // no further settings are applied
}

// configure applies settings. On an error the former settings stay in force.
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
		<-s.served
	}
	s.retireClients(ln)
	if rebind && enabled {
		s.serve(ln)
	}
	s.applied, s.ln = next, ln
	if enabled {
		s.daemon.log.Info("call API enabled", "listen", ln.Addr().String(), "path", next.Path, "clients", len(next.Clients))
	} else {
		s.daemon.log.Info("call API disabled")
	}
	return nil
}

// serve accepts clients until the listener is closed.
func (s *apiServer) serve(ln net.Listener) {
	served := make(chan struct{})
	s.served = served
	go func() {
		s.front.Serve(ln)
		close(served)
	}()
}

// retireClients closes the connections that were made under former settings. ln is the listener in force; nil: the API is off.
func (s *apiServer) retireClients(ln net.Listener) {
	change := callapi.Change{Grace: movedClientGrace, Longest: s.daemon.longestDeadline() + openSetUpMargin}
	if ln != nil {
		change.Address = ln.Addr()
	}
	s.front.RetireClients(change)
}

// reload reads the state file and applies its settings.
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

// apiListenRetryInterval is the interval at which a new process retries to listen on the call API's address.
const apiListenRetryInterval = 50 * time.Millisecond

// openAPI applies the state file at the start. The call API's address is not handed over between processes: a
// new process that starts beside a running one finds it in use, and retries until the other has stopped.
func (d *Daemon) openAPI(ctx context.Context) error {
	err := d.api.reload(d.cfg.State)
	if d.cfg.Callers == "" || !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	d.log.Warn("call API: address in use; retrying until the other process has stopped", "error", err)
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
			d.log.Error("state file rejected; the former settings stay in force", "error", err)
		}
	}()
	return nil
}

// stopListening closes the listener for good. Existing connections stay open.
func (s *apiServer) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
}

// address returns where the API listens; nil if it is off.
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

// endpoint returns the WebSocket endpoint of the settings: its path, and who may connect.
func endpoint(f *plan.Front) ws.Endpoint {
	e := ws.Endpoint{Path: f.Path, Origins: f.Origins}
	if len(f.Clients) > 0 {
		e.Allow = func(r *http.Request) int { return authorize(f.Clients, r.Header.Get("Authorization")) }
	}
	return e
}

// authorize returns 0 if the Authorization header holds a client's bearer token, else 401. It compares in
// constant time, so that its duration reveals nothing of the tokens.
func authorize(clients []plan.Client, header string) int {
	token, ok := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	matched := 0
	for _, c := range clients {
		want, _ := hex.DecodeString(c.TokenSHA256) // Front.Check has verified the hex digits
		matched |= subtle.ConstantTimeCompare(sum[:], want)
	}
	if !ok || matched == 0 {
		return http.StatusUnauthorized
	}
	return 0
}
