package node

import (
	"time"

	"dogwoodline.example/program"
	"dogwoodline.example/ring"
)

// replySlots is the number of stream parts that wait for one caller. A caller
// that falls further behind repeats its request with the offset it has.
const replySlots = 64

// answer is a message to the goroutine that serves one caller: a part of a
// stream, the reply, or the notice that parts were left out.
type answer struct {
	chunk  program.Chunk
	reply  *program.Reply
	lagged bool
}

// caller is the side of a request that waits for its answer.
type caller struct {
	waiter  program.WaiterID
	answers *ring.Ring[answer]
}

// command is a request to the programs duty. Exactly one of the pointers is
// set.
type command struct {
	from    caller
	start   *program.Spec
	call    *program.Call
	stream  bool
	history *programOf
	end     *programOf
	detach  bool
	crashes []program.Crash
}

// programOf names a program and the tenant that asks for it.
type programOf struct {
	program string
	tenant  string
}

// shardChange is a message from the placement duty.
type shardChange struct {
	shard   int
	action  shardAction
	epoch   int
	records [][]byte
}

type shardAction int

const (
	// adoptShard replays the records of the shard.
	adoptShard shardAction = iota
	// serveShard takes calls from now on, or again after moveShard.
	serveShard
	// moveShard asks for the shard to become idle.
	moveShard
	// dropShard gives the shard up.
	dropShard
)

// deadlineOf returns the time at which a wait of a request ends.
func deadlineOf(now time.Time, wait, fallback time.Duration) time.Time {
	if wait <= 0 {
		wait = fallback
	}
	return now.Add(min(wait, maxDeadline))
}
