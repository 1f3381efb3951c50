// Package call describes one request of a client as the front decoded it, and
// the answers of backend servers as the upstream client decoded them.
package call

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one attempt of a client.
type Request struct {
	// ID is unique for each attempt.
	ID     string
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	// Header holds what may be forwarded; fields that the system sets itself
	// and fields that concern one connection are removed.
	Header http.Header
	Body   []byte

	Arrived time.Time
	// Wait is how long the client waits for the answer; 0 if it did not say.
	Wait time.Duration

	Program string
	Session string
	// TokenBudget bounds the tokens that all turns of the program generate;
	// 0 if the request has none.
	TokenBudget int
	// MaxOutput is the most tokens that this turn generates.
	MaxOutput int
	// PreviousTurn is the id of the turn that this one continues.
	PreviousTurn string
	// ResumeAfter is the id of the last event that the client has; empty for
	// a stream from its start.
	ResumeAfter string
	// Affinity names the object that the request concerns.
	Affinity string
	// Prompt lists the parts of a model call's prompt in order. Calls share
	// parts; the last one belongs to the request or its session.
	Prompt []PromptPart
}

// PromptPart is a piece of a prompt that a model server may keep in memory.
type PromptPart struct {
	ID     string
	Tokens int
}

// sharedParts is the number of parts at the front of a prompt that many
// programs have in common.
const sharedParts = 1

// OwnTokens is the memory that the call takes beside what it shares with many
// others: its prompt without the shared part, and its output.
func (r *Request) OwnTokens() int {
	tokens := r.MaxOutput
	for _, part := range r.Prompt[min(sharedParts, len(r.Prompt)):] {
		tokens += part.Tokens
	}
	return tokens
}

// Locality names what makes a backend server faster for this request, because
// it has handled it before: the conversation that the prompt belongs to (a
// sub-agent's prompt begins with that of its parent), else the session, else
// the object. It is empty if nothing does.
func (r *Request) Locality() string {
	switch {
	case len(r.Prompt) > sharedParts:
		return r.Prompt[sharedParts].ID
	case r.Session != "":
		return r.Session
	default:
		return r.Affinity
	}
}

// Identity names the call whatever attempt it is: attempts of one client have
// the same method, target, program and body. It is empty for a call that cannot
// be told from others.
func (r *Request) Identity() string {
	if r.Program == "" && len(r.Body) == 0 {
		return ""
	}
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Program, r.Session} {
		_, _ = digest.WriteString(part + "\x00") // a digest in memory takes everything
	}
	_, _ = digest.Write(r.Body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Verdict says what an answer, or the lack of one, proves about a request.
type Verdict int

const (
	// Unknown means that the request may have run.
	Unknown Verdict = iota
	// NotRun means that the request has not run and will not.
	NotRun
	// Answered means that the backend server answered.
	Answered
)

// String returns the verdict for logs.
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

// Answer is the head of a backend server's answer.
type Answer struct {
	Status int
	// Header holds what may be passed on to the client.
	Header http.Header
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Signed reports that the answer bears the backend server's signature.
	Signed bool
	// NotRun reports that the backend server did not run the request.
	NotRun bool
	// WrongServer reports that another backend server has the address now.
	WrongServer bool
	// Leaving reports that the connection ends with this answer.
	Leaving bool
	// Encoded reports that the body is not the backend server's own bytes.
	Encoded bool
	// KeepIdle is how long the backend server keeps an idle connection; 0 if
	// it did not say.
	KeepIdle time.Duration
}
