package placement

import (
	"slices"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
)

// Phase is the stage of a shard's assignment to an owner.
type Phase int

const (
	// Unowned shards have no owner yet.
	Unowned Phase = iota
	// Adopting shards have an owner that is adopting their records: it replays
	// them from the journals of earlier owners, the sources.
	Adopting
	// Serving shards have an owner that accepts calls.
	Serving
	// HandingOff shards are owned by this node, which holds back their calls
	// until another node owns the shard.
	HandingOff
)

// View is an immutable snapshot of the shard map, of the live members and of
// this node's own shards.
type View struct {
	Map     Map
	Version kvstore.Version // of the map in the store; 0 before the map is read
	Members *membership.View
	self    string // incarnation of this node
	states  []shardState
}

// Phase returns the phase of a shard. For a shard of another node it depends on
// the map alone, so it never returns HandingOff for one.
func (v *View) Phase(shard int) Phase {
	e := v.Map.Shards[shard]
	switch {
	case e.Owner == "":
		return Unowned
	case len(e.Sources) > 0:
		return Adopting
	case e.Owner != v.self:
		return Serving
	}
	switch v.states[shard] {
	case serving:
		return Serving
	case releasing, idle:
		return HandingOff
	default:
		return Adopting
	}
}

// Owner returns the owner of a shard, or false if no live member owns it.
func (v *View) Owner(shard int) (membership.Member, bool) {
	return v.Members.ByIncarnation(v.Map.Shards[shard].Owner)
}

// Retains reports whether the journal must keep its records of a shard because
// it is a source of the shard, that is, the owner has not adopted them yet.
func (v *View) Retains(journal string, shard int) bool {
	return slices.Contains(v.Map.Shards[shard].Sources, journal)
}

// Command is a message to the programs duty: Adopt, Serve, Release, Released or
// Drained.
type Command interface{ order() }

// Adopt passes on the records of a shard that this node now owns. They replace
// whatever state the programs duty has for the shard. The programs duty answers
// with Adopted.
type Adopt struct {
	Shard   int
	Records []fencedlog.Record
}

// Serve tells the programs duty to accept calls for a shard, or to accept them
// again because a Release was withdrawn.
type Serve struct {
	Shard int
	// Version is the version of the map. It is greater for each later owner of
	// the shard.
	Version kvstore.Version
}

// Release tells the programs duty to hold back the calls for a shard, which is
// about to be handed off to NewOwner. The programs duty answers with Idle once
// no call for the shard is in progress and all its records were passed to the
// journal.
type Release struct {
	Shard    int
	NewOwner string
}

// Released reports that this node does not own a shard any more. The programs
// duty drops the state of the shard and forwards the calls that it held back.
type Released struct {
	Shard    int
	NewOwner string
}

// Drained reports that the node has handed off all the shards that it can.
// ShardsLeft is the number of shards that it keeps because no other node can
// take them.
type Drained struct{ ShardsLeft int }

func (Adopt) order()    {}
func (Serve) order()    {}
func (Release) order()  {}
func (Released) order() {}
func (Drained) order()  {}

// Event is a message to the placement duty: Adopted or ShardIdle, which come from
// the programs duty, or Drain.
type Event interface{ message() }

// Adopted answers Adopt: the programs duty has the records of the shard.
type Adopted struct{ Shard int }

// ShardIdle answers Release: no call for the shard is in progress, and all its
// records were passed to the journal.
type ShardIdle struct{ Shard int }

// Drain asks the placement duty to hand off all shards of this node.
type Drain struct{}

func (Adopted) message()   {}
func (ShardIdle) message() {}
func (Drain) message()     {}

// shardState is this node's progress with a shard.
type shardState uint8

const (
	// inactive shards are owned by another node or by none, or this node has not
	// yet started to adopt or serve them.
	inactive  shardState = iota
	adopting             // Adopt was sent
	adopted              // Adopted was received; the sources are still in the map
	serving              // Serve was sent
	releasing            // Release was sent
	idle                 // Idle was received; the map still names this node
)
