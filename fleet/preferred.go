package fleet

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRankings and maxRankedBytes bound the cache of rankings to 1.6 MB: a front has
	// up to some thousand conversations with calls at a time, named by IDs of up to 36 bytes.
	maxRankings    = 4096
	maxRankedBytes = 256 // of the strings of a key; longer ones are not cached
	// rankInputSize is the size of an affinity with the ID of a server for which no memory
	// is allocated.
	rankInputSize = 256
)

// rankingKey is what a ranking depends on, beside the servers and their limits.
type rankingKey struct{ service, affinity, softwareVersion string }

// ranking holds the first and the second choice for an affinity.
type ranking struct{ first, second *backendState }

// preferred returns the first and the second choice for the affinity of a call. Both are
// nil for a call without affinity. The choices are kept until the servers that get calls
// change, or one begins or ends to name a limit.
func (f *Fleet) preferred(request Request) (first, second *backendState) {
	if request.Affinity == "" {
		return nil, nil
	}
	key := rankingKey{request.Service, request.Affinity, request.SoftwareVersion}
	if known, cached := f.rankings[key]; cached {
		return known.first, known.second
	}
	first, second = f.rank(request)
	if !f.onTrial && len(key.service)+len(key.affinity)+len(key.softwareVersion) <= maxRankedBytes {
		if len(f.rankings) >= maxRankings {
			for old := range f.rankings { // an arbitrary one
				delete(f.rankings, old)
				break
			}
		}
		// The strings may be parts of larger ones.
		key = rankingKey{strings.Clone(key.service), strings.Clone(key.affinity), strings.Clone(key.softwareVersion)}
		f.rankings[key] = ranking{first, second}
	}
	return first, second
}

// rank returns the first and the second choice for the affinity of a call.
// They are selected by rendezvous hashing over the ids, so that all fronts
// prefer the same servers: the first one has handled the earlier calls, and the
// second one takes the calls that exceed its capacity. The second is one without a
// limit if there is any, because it has to take all of these calls.
func (f *Fleet) rank(request Request) (first, second *backendState) {
	unlimited := f.hasUnlimited(request.Service)
	input := append(make([]byte, 0, rankInputSize), request.Affinity...)
	input = append(input, 0)
	prefix := len(input)
	var firstRank, secondRank uint64
	for _, s := range f.byService[request.Service] {
		if !request.versionFits(s) {
			continue // else the calls of a conversation would not stay together
		}
		input = append(input[:prefix], s.ID...)
		switch rank := xxhash.Sum64(input); {
		case first == nil || rank > firstRank:
			if first != nil && !(unlimited && first.limit.perSecond > 0) {
				second, secondRank = first, firstRank
			}
			first, firstRank = s, rank
		case unlimited && s.limit.perSecond > 0: // no second choice
		case second == nil || rank > secondRank:
			second, secondRank = s, rank
		}
	}
	return first, second
}
