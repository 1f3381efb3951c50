package placement_test

import (
	"fmt"

	"dogwoodline.example/placement"
)

// This example assigns the shards of a new map to two nodes, takes over those of
// a dead node, and shows which journal the new owner has to replay. The methods of
// Map do no I/O.
func Example() {
	m := placement.NewMap(4)
	m.Assign([]string{"node-1", "node-2"})
	dead := m.Shards[0].Owner
	alive := map[string]string{"node-1": "node-2", "node-2": "node-1"}[dead]
	m.Takeover(dead, []string{alive})
	fmt.Println("shards of the survivor:", m.CountOwned(alive))
	fmt.Println("shard 0 replays the journal of the dead owner:", m.Shards[0].Sources[0] == dead)
	fmt.Println("a program and its child share a shard:", placement.Shard("invoice-1", 4) == placement.Shard("invoice-1.2", 4))
	// Output:
	// shards of the survivor: 4
	// shard 0 replays the journal of the dead owner: true
	// a program and its child share a shard: true
}
