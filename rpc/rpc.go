// Package rpc implements the gRPC client and server for messages between nodes.
//
// It translates between the messages of package peerpb and the types of the
// packages that send and handle them, and makes no decisions of its own.
package rpc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/config"
	"dogwoodline.example/copies"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/rpc/peerpb"
)

// Error is the class of all errors of this package.
var Error = errs.Class("rpc")

var (
	// ErrNoLink reports that there is no link to the incarnation.
	ErrNoLink = Error.New("no link to the node")
	// ErrUndecodable reports a message that cannot be decoded.
	ErrUndecodable = Error.New("message cannot be decoded")
	// ErrNotHolder reports that the process that received the request never was
	// the incarnation that is named as the holder, so that it has no copies.
	ErrNotHolder = Error.New("another process answers in place of the holder")
)

// Method is the operation that a forwarded request asks for. The values are those
// of the enum Method in peerpb.
type Method int

const (
	// Start starts a program.
	Start Method = Method(peerpb.Method_METHOD_START)
	// Call runs a call of a program.
	Call Method = Method(peerpb.Method_METHOD_CALL)
	// History reads a program's history.
	History Method = Method(peerpb.Method_METHOD_HISTORY)
	// End ends a program.
	End Method = Method(peerpb.Method_METHOD_END)
)

// ForwardRequest is a caller's request that one node forwards to another, the owner of
// the program.
type ForwardRequest struct {
	Method  Method
	Tenant  string
	Program string
	// Request is the caller's request as JSON.
	Request []byte
	// Body is the input of a service call.
	Body []byte
	// Stream asks for the parts of the answer while it is generated.
	Stream bool
	// Deadline is the time left for the request.
	Deadline time.Duration
}

// PingResponse is a node's response to a ping.
type PingResponse struct {
	Incarnation string
	// StoreSilence is the time since the platform store last answered the node.
	StoreSilence time.Duration
}

// Handler handles the requests of other nodes.
type Handler interface {
	// Ping returns the node's incarnation, and when the platform store last
	// answered it.
	Ping(ctx context.Context) PingResponse
	// Forward handles a request for a program that this node owns. It calls
	// chunk with each part of a streamed answer, in order.
	Forward(ctx context.Context, request ForwardRequest, chunk func(program.Chunk) error) program.Reply
	// PushConfig receives accepted changes of resources.
	PushConfig(ctx context.Context, changes []resource.Change)
	// PullConfig returns the changes that the requesting node may lack.
	PullConfig(ctx context.Context, request config.PullRequest) config.PullResponse
	// NoteCrashes receives the requests that are held to have crashed backend
	// servers.
	NoteCrashes(ctx context.Context, crashes []program.Crash)
	// HoldCopies keeps a copy of uncommitted records of the incarnation's
	// journal, if this process is the named holder. The verdict tells whether
	// the copy was accepted. It returns ErrNotHolder, or another error if the
	// copy was not kept.
	HoldCopies(ctx context.Context, holder, incarnation string, c fencedlog.Copy) (copies.Verdict, error)
	// CollectCopies returns the copies of the incarnation's journal, after which
	// no further copies of it are accepted. It returns ErrNotHolder, or another
	// error if the request may be repeated.
	CollectCopies(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error)
	// DropCopies discards the copies of the incarnation's journal whose records
	// are committed up to the given commit number. It returns ErrNotHolder, or
	// another error if they were not discarded.
	DropCopies(ctx context.Context, holder, incarnation string, commit uint64) error
	// Schedule serves a node that owns programs and requests slots for their
	// calls. It returns when the stream ends.
	Schedule(stream ScheduleServer) error
}

// ScheduleServer is the granting node's end of a schedule stream.
type ScheduleServer = peerpb.Peer_ScheduleServer

func encodeReply(reply program.Reply) []byte {
	data, err := json.Marshal(reply)
	if err != nil {
		panic("rpc: reply of plain values failed to encode: " + err.Error())
	}
	return data
}

func decodeReply(data []byte) (program.Reply, error) {
	var reply program.Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return program.Reply{}, errs.Combine(ErrUndecodable, err)
	}
	return reply, nil
}

func encodeChanges(changes []resource.Change) [][]byte {
	encoded := make([][]byte, 0, len(changes))
	for _, c := range changes {
		data, err := json.Marshal(c)
		if err != nil {
			panic("rpc: change of plain values failed to encode: " + err.Error())
		}
		encoded = append(encoded, data)
	}
	return encoded
}

func decodeChanges(encoded [][]byte) ([]resource.Change, error) {
	changes := make([]resource.Change, 0, len(encoded))
	for _, data := range encoded {
		var c resource.Change
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, errs.Combine(ErrUndecodable, err)
		}
		changes = append(changes, c)
	}
	return changes, nil
}
