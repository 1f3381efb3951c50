package node

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/api"
	"dogwoodline.example/program"
)

func shardOf(programID string, shards int) int {
	return int(xxhash.Sum64String(program.Root(programID)) % uint64(shards))
}

// Alone is the ownership of a node that runs without others.
type Alone struct {
	Incarnation string
	Self        api.Address
}

// Owner implements ownership.
func (a Alone) Owner(int) (string, bool) { return a.Incarnation, true }

// Address implements ownership.
func (a Alone) Address(int) api.Address { return a.Self }
