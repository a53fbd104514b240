package callapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/front/callproto"
	"woodrouter/isup"
)

// Bounds of a set-up's parameters. A description must fit into a message to a setup server.
const (
	maxDescriptionBytes = 15000
	maxNameBytes        = 256
	maxDeadlineMillis   = 600_000
)

// request is a JSON-RPC request, or a notification if it has no id.
type request struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params"`
}

// parseRequest parses a message. Batches are not supported.
func parseRequest(text []byte) (request, *callproto.Error) {
	var r request
	if err := json.Unmarshal(text, &r); err != nil {
		if json.Valid(text) {
			return r, &callproto.Error{Code: callproto.CodeInvalid, Message: "not a request object"}
		}
		return r, &callproto.Error{Code: callproto.CodeParse, Message: "not JSON: " + err.Error()}
	}
	if !validID(r.ID) {
		r.ID, r.Version = nil, ""
	}
	if r.Version != "2.0" || r.Method == "" {
		return r, &callproto.Error{Code: callproto.CodeInvalid, Message: "not a JSON-RPC 2.0 request"}
	}
	return r, nil
}

// validID reports whether an id is missing, a string, a number or null.
func validID(id json.RawMessage) bool {
	return len(id) == 0 || !bytes.ContainsAny(id[:1], "{[tf")
}

// parseParams parses parameters; unknown ones are ignored.
func parseParams(params json.RawMessage, into any) *callproto.Error {
	if len(params) == 0 {
		params = []byte("{}")
	}
	if err := json.Unmarshal(params, into); err != nil {
		return &callproto.Error{Code: callproto.CodeParams, Message: err.Error()}
	}
	return nil
}

// parseCall checks a set-up's parameters and converts them to a call for the core. An error names the invalid
// parameter.
func parseCall(params json.RawMessage, now time.Time) (agent.Call, *callproto.Error) {
	var p callproto.Call
	if rpcErr := parseParams(params, &p); rpcErr != nil {
		return agent.Call{}, rpcErr
	}
	id, err := isup.ParseCallID(p.ID)
	switch {
	case err != nil:
		err = fmt.Errorf("id: %w", err)
	case p.Class == "":
		err = errors.New("class: missing")
	case p.DeadlineMs < 1 || p.DeadlineMs > maxDeadlineMillis:
		err = fmt.Errorf("deadline_ms: %d is outside 1 to %d", p.DeadlineMs, maxDeadlineMillis)
	case len(p.Description) > maxDescriptionBytes:
		err = fmt.Errorf("description: over %d bytes", maxDescriptionBytes)
	case max(len(p.Class), len(p.Tenant), len(p.Number)) > maxNameBytes:
		err = fmt.Errorf("class, tenant, number: over %d bytes", maxNameBytes)
	}
	if err != nil {
		return agent.Call{}, &callproto.Error{Code: callproto.CodeParams, Message: err.Error()}
	}
	c := agent.Call{ID: id.String(), Class: p.Class, Tenant: p.Tenant, Number: p.Number, Pool: -1,
		Deadline: now.Add(time.Duration(p.DeadlineMs) * time.Millisecond), Description: p.Description}
	if p.FirstChoice != nil {
		c.Pool = *p.FirstChoice
	}
	return c, nil
}

// response is a JSON-RPC response or, with a method, a notification.
type response struct {
	Version string           `json:"jsonrpc"`
	ID      json.RawMessage  `json:"id,omitempty"`
	Result  any              `json:"result,omitempty"`
	Error   *callproto.Error `json:"error,omitempty"`
	Method  string           `json:"method,omitempty"`
	Params  any              `json:"params,omitempty"`
}

// marshal encodes a message. It panics on an error, which can't occur: messages consist of strings, numbers
// and valid ids.
func marshal(r response) []byte {
	r.Version = "2.0"
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

func encodeResult(id json.RawMessage, result any) []byte {
	return marshal(response{ID: id, Result: result})
}

func encodeError(id json.RawMessage, e *callproto.Error) []byte {
	if len(id) == 0 {
		id = json.RawMessage("null")
	}
	return marshal(response{ID: id, Error: e})
}

func encodeEnded(e callproto.End) []byte {
	return marshal(response{Method: callproto.Ended, Params: e})
}
