package ws

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Endpoint says which requests a server upgrades.
type Endpoint struct {
	Path        string
	Subprotocol string   // confirmed if the client offers it
	Origins     []string // origins of web pages that may connect; a request without the header is allowed
	// Allow checks the request; a non-zero status refuses it.
	Allow func(*http.Request) (status int)
}

// refusal is the error of a refused upgrade.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string {
	return fmt.Sprintf("upgrade refused with %d: %s", r.status, r.reason)
}

// Upgrade handles an upgrade request, given what ReadHead returned. It always returns the response to write, and an error
// if the connection must be closed after it. Otherwise admitted is the part of the request
// that Admits checks, and the path.
func (e Endpoint) Upgrade(head []byte, err error) (response []byte, admitted *http.Request, refused error) {
	if errors.Is(err, errHeadTooLong) {
		return respond(http.StatusRequestHeaderFieldsTooLarge), nil, fmt.Errorf("upgrade request: %w", err)
	}
	var req *http.Request
	if err == nil {
		req, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	}
	if err != nil {
		return respond(http.StatusBadRequest), nil, fmt.Errorf("upgrade request: %w", err)
	}
	if refusal := e.check(req); refusal != nil {
		return respond(refusal.status), nil, refusal
	}
	h := sha1.Sum([]byte(req.Header.Get("Sec-Websocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	r := "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Accept: " + base64.StdEncoding.EncodeToString(h[:]) + "\r\n"
	if e.Subprotocol != "" && hasToken(req.Header, "Sec-Websocket-Protocol", e.Subprotocol) {
		r += "Sec-WebSocket-Protocol: " + e.Subprotocol + "\r\n"
	}
	return []byte(r + "\r\n"), admissionOf(req), nil
}

// maxKeptCredentials is the size in bytes up to which a request's credentials are kept with its connection.
const maxKeptCredentials = 1 << 10

// admissionOf returns the part of a request that Admits checks, and the path.
func admissionOf(req *http.Request) *http.Request {
	kept := &http.Request{URL: &url.URL{Path: req.URL.Path}, Header: http.Header{}}
	for _, name := range []string{"Origin", "Authorization"} {
		if value := req.Header.Get(name); value != "" && len(value) <= maxKeptCredentials {
			kept.Header.Set(name, value)
		}
	}
	return kept
}

// Admits reports whether the client of a request may be upgraded, at whatever path.
func (e Endpoint) Admits(req *http.Request) bool { return e.checkClient(req) == nil }

// checkClient returns why the client of a request is not admitted; nil if it is.
func (e Endpoint) checkClient(req *http.Request) *refusal {
	if origin := req.Header.Get("Origin"); origin != "" && !slices.Contains(e.Origins, origin) {
		return &refusal{http.StatusForbidden, "origin " + origin}
	}
	if e.Allow != nil {
		if status := e.Allow(req); status != 0 {
			return &refusal{status, "not allowed"}
		}
	}
	return nil
}

// check returns why a request is not upgraded; nil if it is.
func (e Endpoint) check(req *http.Request) *refusal {
	key, err := base64.StdEncoding.DecodeString(req.Header.Get("Sec-Websocket-Key"))
	switch {
	case req.URL.Path != e.Path:
		return &refusal{http.StatusNotFound, "path " + req.URL.Path}
	case req.Method != http.MethodGet:
		return &refusal{http.StatusMethodNotAllowed, req.Method}
	case !req.ProtoAtLeast(1, 1) || req.Host == "":
		return &refusal{http.StatusBadRequest, "HTTP/1.1 with a host is needed"}
	case !hasToken(req.Header, "Upgrade", "websocket") || !hasToken(req.Header, "Connection", "upgrade"):
		return &refusal{http.StatusUpgradeRequired, "no upgrade to websocket asked for"}
	case req.Header.Get("Sec-Websocket-Version") != "13":
		return &refusal{http.StatusUpgradeRequired, "version " + req.Header.Get("Sec-Websocket-Version")}
	case err != nil || len(key) != 16:
		return &refusal{http.StatusBadRequest, "Sec-WebSocket-Key"}
	}
	return e.checkClient(req)
}

// hasToken reports whether a header's lists contain a token, ignoring case.
func hasToken(h http.Header, name, token string) bool {
	for _, line := range h.Values(name) {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// respond returns an HTTP response without a body that closes the connection.
func respond(status int) []byte {
	extra := ""
	switch status {
	case http.StatusUpgradeRequired:
		extra = "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
	case http.StatusUnauthorized:
		extra = "WWW-Authenticate: Bearer\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), extra)
}
