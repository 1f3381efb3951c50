// Package rpc carries messages between nodes over gRPC.
//
// It translates between the messages of package peerpb and the types of the
// parts that exchange them. It decides nothing.
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
	// ErrNoLink reports that there is no connection to the node.
	ErrNoLink = Error.New("no link to the node")
	// ErrUndecodable reports a message that cannot be decoded.
	ErrUndecodable = Error.New("message cannot be decoded")
	// ErrNotHolder reports that the process never was the incarnation that was
	// asked as a holder of copies, so that it has none.
	ErrNotHolder = Error.New("another process answers in place of the holder")
)

// Method names what a forwarded request asks for.
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

// Forwarded is a caller's request that another node passes on.
type Forwarded struct {
	Method  Method
	Tenant  string
	Program string
	// Request is the caller's request in JSON.
	Request []byte
	// Body is the input of a service call.
	Body     []byte
	Stream   bool
	Deadline time.Duration
}

// PingAnswer is what a node says of itself.
type PingAnswer struct {
	Incarnation string
	// StoreSilent is the time since the platform store last answered it.
	StoreSilent time.Duration
}

// Handler serves the requests of other nodes.
type Handler interface {
	Ping(ctx context.Context) PingAnswer
	// Forward serves a request that belongs to a program of this node. Parts
	// of a streamed answer are handed to chunk.
	Forward(ctx context.Context, request Forwarded, chunk func(program.Chunk) error) program.Reply
	// PushConfig takes accepted changes of resources.
	PushConfig(ctx context.Context, changes []resource.Change)
	// PullConfig answers with the changes that the other node lacks.
	PullConfig(ctx context.Context, request config.PullRequest) config.PullResponse
	// NoteCrashes takes which requests crashed backend servers.
	NoteCrashes(ctx context.Context, crashes []program.Crash)
	// HoldCopies takes a copy of a journal's tail for the named holder. It
	// returns ErrNotHolder, or another error if the copy was not taken.
	HoldCopies(ctx context.Context, holder, incarnation string, c fencedlog.Copy) (copies.Verdict, error)
	// CollectCopies returns the copies of a journal and refuses further ones.
	// It returns ErrNotHolder, or another error when it may be asked again.
	CollectCopies(ctx context.Context, holder, incarnation string) ([]fencedlog.Copy, error)
	// DropCopies drops the copies up to a commit number.
	DropCopies(ctx context.Context, holder, incarnation string, commit uint64) error
	// Schedule serves the owner of programs that asks for slots of a pool. It
	// returns when the stream ends.
	Schedule(stream ScheduleServer) error
}

// ScheduleServer is the granting node's side of a schedule stream.
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
