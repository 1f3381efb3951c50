package slopes

import (
	"context"
	"fmt"
	"time"

	"dogwoodline.example/placement"
)

// targetShards leaves about 16 shards to each of 420 nodes, so that the load
// of one is a small part of a node's.
const targetShards = 8192

func owners(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d-%012x", i, i*7919)
	}
	return names
}

// measurePlacement measures the shard map by shards and by nodes: its stored
// size, what a swap costs at its writer, and what it costs at every reader.
func measurePlacement(ctx context.Context, _ Options) ([]Slope, error) {
	named := []series{{"shard map: stored size", "B"}, {"shard map: plan a takeover and encode", "us"}, {"shard map: decode", "us"}}
	return runAll(ctx,
		sweep{size: "shards at 420 nodes", target: targetShards, sizes: []int{256, 1024, 8192, 65_536}, series: named,
			measure: func(size int) ([]float64, error) { return mapCosts(size, targetNodes) }},
		sweep{size: "nodes at 8,192 shards", target: targetNodes, sizes: []int{3, 24, 100, targetNodes}, series: named,
			measure: func(size int) ([]float64, error) { return mapCosts(targetShards, size) }})
}

func mapCosts(shards, nodes int) ([]float64, error) {
	names := owners(nodes)
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
