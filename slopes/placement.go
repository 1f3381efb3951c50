package slopes

import (
	"context"
	"fmt"
	"time"

	"dogwoodline.example/placement"
)

// targetShards gives each of 420 nodes about 20 shards, so that the load of one
// shard is a small part of the load of a node.
const targetShards = 8192

// nodeNames returns unique names in the format of member names.
func nodeNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d-%012x", i, i*7919)
	}
	return names
}

// measurePlacement measures the shard map by number of shards and of nodes: its
// stored size, the time in which its writer plans and encodes a takeover, and the
// time in which each reader decodes it.
func measurePlacement(ctx context.Context, _ Options) ([]Slope, error) {
	named := []series{{"shard map: stored size", "B"}, {"shard map: plan a takeover and encode", "us"}, {"shard map: decode", "us"}}
	return runAll(ctx,
		sweep{size: "shards at 420 nodes", target: targetShards, sizes: []int{256, 1024, 8192, 65_536}, series: named,
			measure: func(size int) ([]float64, error) { return shardMapCosts(size, targetNodes) }},
		sweep{size: "nodes at 8,192 shards", target: targetNodes, sizes: []int{3, 24, 100, targetNodes}, series: named,
			measure: func(size int) ([]float64, error) { return shardMapCosts(targetShards, size) }})
}

func shardMapCosts(shards, nodes int) ([]float64, error) {
	names := nodeNames(nodes)
	m := placement.NewMap(shards)
	m.Assign(names)
	begin := time.Now()
	next := m.Clone()
	next.Takeover(names[0], names[1:])
	value, err := next.Encode()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	planned := time.Since(begin)
	begin = time.Now()
	if _, err := placement.Decode(value); err != nil {
		return nil, Error.Wrap(err)
	}
	return []float64{float64(len(value)), microseconds(planned, 1), microseconds(time.Since(begin), 1)}, nil
}
