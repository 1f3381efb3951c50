package placement

import (
	"slices"

	"dogwoodline.example/fencedlog"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
)

// Phase tells what happens to a shard.
type Phase int

const (
	// Unowned shards have no owner yet.
	Unowned Phase = iota
	// Adopting shards have an owner that is replaying their sources.
	Adopting
	// Serving shards take calls at their owner.
	Serving
	// HandingOff shards are owned by this node, which holds their calls until
	// the next owner has them.
	HandingOff
)

// View is an immutable snapshot of the placement.
type View struct {
	Map     Map
	Version kvstore.Version // of the map
	Members *membership.View
	self    string
	states  []state
}

// Phase returns the phase of a shard. Of other nodes' shards it knows what the
// map tells.
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

// Owner returns the owner of a shard, or false if it is not a live member.
func (v *View) Owner(shard int) (membership.Member, bool) {
	return v.Members.ByIncarnation(v.Map.Shards[shard].Owner)
}

// Retains reports whether the journal must keep its records of a shard because
// the shard's owner has not adopted them yet.
func (v *View) Retains(journal string, shard int) bool {
	return slices.Contains(v.Map.Shards[shard].Sources, journal)
}

// Order is a message to the owner of the programs: Adopt, Serve, Release,
// Released or Drained.
type Order interface{ order() }

// Adopt gives the records of a shard that this node now owns. They replace
// whatever the owner of the programs has for it. It answers with Adopted.
type Adopt struct {
	Shard   int
	Records []fencedlog.Record
}

// Serve tells that calls for a shard are taken from now on, or again after a
// Release that is withdrawn.
type Serve struct {
	Shard int
	// Version is that of the map. It is greater for each later owner of the
	// shard.
	Version kvstore.Version
}

// Release asks to hold the calls for a shard. The answer is Idle when none of
// its calls is in progress and all its records were appended.
type Release struct {
	Shard    int
	NewOwner string
}

// Released tells that a shard is no longer this node's: its state is dropped
// and held calls are forwarded.
type Released struct {
	Shard    int
	NewOwner string
}

// Drained tells that nothing more can be handed over. Left is the number of
// shards that this node keeps because no other node can take them.
type Drained struct{ Left int }

func (Adopt) order()    {}
func (Serve) order()    {}
func (Release) order()  {}
func (Released) order() {}
func (Drained) order()  {}

// Message is a message from the owner of the programs: Adopted, Idle or Drain.
type Message interface{ message() }

// Adopted answers Adopt.
type Adopted struct{ Shard int }

// Idle answers Release.
type Idle struct{ Shard int }

// Drain asks to hand over all shards.
type Drain struct{}

func (Adopted) message() {}
func (Idle) message()    {}
func (Drain) message()   {}

// state is this node's progress with a shard.
type state uint8

const (
	elsewhere state = iota
	adopting        // Adopt was sent
	adopted         // Adopted was received; the sources are still in the map
	serving
	releasing // Release was sent
	idle      // Idle was received; the map still names this node
)
