// Package callproto defines the methods, codes and message types of the call-control API, JSON-RPC 2.0 over
// WebSocket. The server and the client share it.
package callproto

import "fmt"

// Subprotocol is the API's name in the WebSocket upgrade.
const Subprotocol = "woodrouter.call.v1"

// The methods, and the one notification that the server sends.
const (
	SetUp   = "call.setUp"
	Cancel  = "call.cancel"
	Release = "call.release"
	Ended   = "call.ended"
)

// Error codes. The negative ones are defined by JSON-RPC.
const (
	CodeParse        = -32700
	CodeInvalid      = -32600
	CodeNoMethod     = -32601
	CodeParams       = -32602
	CodeRefused      = 1001 // may safely be retried after retry_after_ms
	CodeFailed       = 1002 // the call could not be set up
	CodeOverdue      = 1003 // no outcome by the deadline
	CodeCancelled    = 1004 // given up by the caller
	CodeDuplicate    = 1005 // a call of this id is open
	CodeUnknownClass = 1006
	CodeUnknownCall  = 1007 // no open or standing call has this id
)

// Error is a JSON-RPC error object.
type Error struct {
	Code    int        `json:"code"`
	Message string     `json:"message"`
	Data    *ErrorData `json:"data,omitempty"`
}

func (e *Error) Error() string { return fmt.Sprintf("%s (code %d)", e.Message, e.Code) }

// ErrorData holds what a client needs to decide what to do next.
type ErrorData struct {
	ID           string `json:"id,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	Stage        string `json:"stage,omitempty"` // how far the last attempt got: agent.Stage's text
}

// Call holds the parameters of SetUp.
type Call struct {
	ID          string `json:"id"` // 16 hex digits
	Class       string `json:"class"`
	Tenant      string `json:"tenant,omitempty"`
	Number      string `json:"number,omitempty"`
	FirstChoice *int   `json:"first_choice,omitempty"` // number of the preferred setup server
	DeadlineMs  int64  `json:"deadline_ms"`
	Description []byte `json:"description,omitempty"` // base64 in JSON
}

// Name holds the parameters of Cancel and Release.
type Name struct {
	ID string `json:"id"`
}

// Standing is the result of SetUp: the call stands.
type Standing struct {
	ID          string `json:"id"`
	Description []byte `json:"description"`
}

// End holds the parameters of Ended.
type End struct {
	ID    string `json:"id"`
	Cause string `json:"cause"` // completed or cut
}
