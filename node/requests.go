package node

import (
	"time"

	"dogwoodline.example/program"
	"dogwoodline.example/ring"
)

// callerRingSize is the number of messages that can wait for one caller. If the
// caller falls further behind its stream, the request is repeated from the offset
// that it has received.
const callerRingSize = 64

// callerMessage is a message to the goroutine that serves one caller: a part of
// the stream, the reply, or lagged, which says that the ring had no room for a
// part.
type callerMessage struct {
	chunk  program.Chunk
	reply  *program.Reply
	lagged bool
}

// caller identifies the goroutine that waits for the reply to a request, and
// holds the ring on which it receives messages.
type caller struct {
	waiterID program.WaiterID
	messages *ring.Ring[callerMessage]
}

// command is a request to the programs duty. Exactly one of start, call,
// history, end, detach and crashes is set.
type command struct {
	caller  caller
	start   *program.Spec
	call    *program.Call
	stream  bool
	history *programRef
	end     *programRef
	detach  bool
	crashes []program.Crash
}

// programRef names a program and the tenant whose request refers to it.
type programRef struct {
	program string
	tenant  string
}

// shardChange tells the programs duty to change the state of a shard, as the
// placement duty ordered.
type shardChange struct {
	shard   int
	action  shardAction
	epoch   int
	records [][]byte
}

type shardAction int

const (
	// adoptShard replays the records of the shard. Its requests are held until
	// serveShard.
	adoptShard shardAction = iota
	// serveShard starts serving the shard, or resumes it if a moveShard is
	// withdrawn.
	serveShard
	// moveShard holds new requests for the shard until its calls have finished
	// and it can be handed over.
	moveShard
	// dropShard discards the state of a shard that another node owns now.
	dropShard
)

// deadlineAfter returns the time at which a request with the given timeout ends.
// The fallback replaces a timeout that is not positive. The wait is at most
// maxDeadline.
func deadlineAfter(now time.Time, timeout, fallback time.Duration) time.Time {
	if timeout <= 0 {
		timeout = fallback
	}
	return now.Add(min(timeout, maxDeadline))
}
