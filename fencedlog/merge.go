package fencedlog

import (
	"cmp"
	"slices"
)

// Merge returns the union of several lists of replayed records, sorted by
// program and sequence number, without duplicates.
func Merge(lists ...[]Record) []Record {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Seq, b.Seq))
	})
	return slices.CompactFunc(merged, func(a, b Record) bool {
		return a.Program == b.Program && a.Seq == b.Seq
	})
}

// dropSuperseded returns the program records that no later adoption of their
// shard supersedes, without the markers of adoption and handoff. The records
// must be in journal order.
func dropSuperseded(records []Record) []Record {
	type adoption struct {
		shard      int
		generation uint64
	}
	complete := map[adoption]bool{}
	for _, r := range records {
		if r.kind == kindAdoptionEnd {
			complete[adoption{r.Shard, r.Seq}] = true
		}
	}
	superseded := map[int]int{} // shard -> index below which its records are dropped
	for i, r := range records {
		if r.kind == kindAdoptionBegin || r.kind == kindOwnAdoptionBegin && complete[adoption{r.Shard, r.Seq}] {
			superseded[r.Shard] = i
		}
	}
	var kept []Record
	for i, r := range records {
		if r.kind == kindProgram && i >= superseded[r.Shard] {
			kept = append(kept, r)
		}
	}
	return kept
}
