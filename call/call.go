// Package call defines the decoded form of a client's request and of a backend
// server's response, and what a response proves about a request.
package call

import (
	"net/http"
	"time"
)

// Request is one attempt of a client at a call. A client that retries sends
// another attempt.
type Request struct {
	// ID is unique for each attempt.
	ID     string
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	// ClientHost is the network address of the client, without its port.
	ClientHost string
	// Header holds the fields that may be forwarded. Hop-by-hop fields and fields
	// that the system sets itself are removed.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Timeout is how long the client waits for the response; 0 if it did not say.
	Timeout time.Duration

	// Organisation is the name of the organisation that the client's key belongs to;
	// empty if the deployment has no organisations, or if the route is public and the key
	// is missing or not known.
	Organisation string
	// Key is the key that the client sent; empty if it sent none, or several.
	Key Secret
	// Credentials are the header lines that may contain keys. They are not in Header, and
	// are forwarded only if ForwardCredentials is set, because a deployment with
	// organisations passes no key on.
	Credentials        []Secret
	ForwardCredentials bool

	Program string
	Session string
	// FinishWithin is the time that was left at the arrival until the program should be
	// finished. It is negative if that time has passed, and 0 if the client did not say.
	FinishWithin time.Duration
	// LengthHint is the client's estimate of the number of output tokens, which is often
	// far off; 0 if the client did not say.
	LengthHint int
	// TokenBudget bounds the tokens that all turns of the program generate
	// together; 0 if the request states none.
	TokenBudget int
	// MaxOutputTokens is the largest number of tokens that this turn may generate.
	MaxOutputTokens int
	// PreviousTurn is the id of the turn that this one continues.
	PreviousTurn string
	// LastEventID is the id of the last event that the client received; empty for
	// a stream from its start.
	LastEventID string
	// ResumedAttempt is the ID of the attempt that brought the first event of the
	// stream that the client takes up after LastEventID; empty if the client names
	// none.
	ResumedAttempt string
	// AffinityKey identifies the object that the request concerns, so that it can
	// be sent to a backend server that handled the object before.
	AffinityKey string
	// Prompt lists the parts of a model call's prompt in order. Calls can have
	// parts in common; the last part belongs to this request or its session.
	Prompt []PromptPart
}

// PromptPart is a part of a prompt that a model server may keep in its KV cache.
type PromptPart struct {
	ID     string
	Tokens int
}

// sharedParts is the number of parts at the start of a prompt that many programs
// have in common.
const sharedParts = 1

// UnsharedTokens returns the memory, in tokens, that the call takes on a model
// server beyond what it shares with many other calls: its prompt without the
// shared part, and its largest output.
func (r *Request) UnsharedTokens() int {
	tokens := r.MaxOutputTokens
	for _, part := range r.Prompt[min(sharedParts, len(r.Prompt)):] {
		tokens += part.Tokens
	}
	return tokens
}

// LocalityKey returns a key for requests that run faster on a backend server that
// has handled a request with the same key: the conversation that the prompt
// belongs to (a sub-agent's prompt begins with that of its parent), else the
// session, else the object. It is empty if the request has none of them.
func (r *Request) LocalityKey() string {
	switch {
	case len(r.Prompt) > sharedParts:
		return r.Prompt[sharedParts].ID
	case r.Session != "":
		return r.Session
	default:
		return r.AffinityKey
	}
}

// Verdict states what a response, or the lack of one, proves about the execution
// of a request.
type Verdict int

const (
	// Unknown means that the request may have run.
	Unknown Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Answered means that the backend server responded.
	Answered
)

// String returns the name of the verdict as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// Response is the decoded status and header of a backend server's response.
type Response struct {
	Status int
	// Header holds the fields that may be passed on to the client.
	Header http.Header
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed reports that the response carries the backend server's signature.
	Signed bool
	// NotRun reports that the backend server did not run the request.
	NotRun bool
	// Misdirected reports that another backend server has the address now (status
	// 421).
	Misdirected bool
	// Close reports that the backend server closes the connection after this
	// response.
	Close bool
	// ContentEncoded reports that the body has a content encoding, so that its
	// bytes are not those that the backend server produced.
	ContentEncoded bool
	// RateLimited reports that the backend server names a limit, and RateLimit is the
	// number of calls per second that it takes from all fronts together.
	RateLimited bool
	RateLimit   float64
	// Leaving reports that the backend server is about to stop.
	Leaving bool
	// IdleTimeout is how long the backend server keeps an idle connection open; 0 if
	// it did not say.
	IdleTimeout time.Duration
}
