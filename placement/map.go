// Package placement decides which journal owns which shard, and carries out
// takeovers and handoffs.
//
// The shard map is one value in the platform store. Any node changes it by
// compare-and-swap; the plans are pure functions on a Map.
package placement

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("placement")

var (
	// ErrMalformed reports a stored map that cannot be decoded.
	ErrMalformed = Error.New("malformed map")
	// ErrFormat reports a stored map of a format version that this build does
	// not know.
	ErrFormat = Error.New("unknown format version")
)

const (
	// Prefix is the prefix of the keys of this package in the platform store.
	Prefix = "placement/"
	// MapKey is the key of the shard map.
	MapKey = Prefix + "map"
	// DefaultShards is the number of shards of a new map.
	DefaultShards = 1024
	// MaxShards bounds the number of shards of a stored map.
	MaxShards = 1 << 16

	formatVersion = 1
)

// Shard returns the shard of a program. A child has the shard of its root, the
// part of its id before the first dot.
func Shard(program string, shards int) int {
	root, _, _ := strings.Cut(program, ".")
	return int(xxhash.Sum64String(root) % uint64(shards)) //nolint:gosec // below shards
}

// Entry is the state of one shard.
type Entry struct {
	// Owner is the incarnation whose journal the shard's records go to, or
	// empty.
	Owner string
	// Sources are the journals that the owner has not adopted yet. The owner
	// serves the shard when there is none.
	Sources []string
}

// Map assigns each shard to an incarnation.
type Map struct {
	Shards []Entry
	// Sealed are the sealed journals that are not deleted yet.
	Sealed []string
}

// NewMap returns a map whose shards have no owner.
func NewMap(shards int) Map { return Map{Shards: make([]Entry, shards)} }

// Clone returns a copy. The lists of sources are shared; plans replace them.
func (m Map) Clone() Map {
	return Map{Shards: slices.Clone(m.Shards), Sealed: slices.Clone(m.Sealed)}
}

// Owned returns the number of shards of an owner.
func (m Map) Owned(owner string) int {
	n := 0
	for _, e := range m.Shards {
		if e.Owner == owner {
			n++
		}
	}
	return n
}

// Names reports whether any shard names the journal as its owner or source.
func (m Map) Names(journal string) bool {
	return slices.ContainsFunc(m.Shards, func(e Entry) bool {
		return e.Owner == journal || slices.Contains(e.Sources, journal)
	})
}

// stored is the encoded form: incarnations are listed once and referred to by
// their index plus one.
type stored struct {
	Format  int              `json:"format"`
	Names   []string         `json:"names"`
	Owners  []byte           `json:"owners"` // one varint for each shard
	Sources map[int][]uint64 `json:"sources,omitempty"`
	Sealed  []string         `json:"sealed,omitempty"`
}

// Encode returns the stored form of the map.
func (m Map) Encode() ([]byte, error) {
	s := stored{Format: formatVersion, Sources: map[int][]uint64{}, Sealed: m.Sealed}
	known := map[string]uint64{"": 0}
	index := func(name string) uint64 {
		if _, ok := known[name]; !ok {
			s.Names = append(s.Names, name)
			known[name] = uint64(len(s.Names))
		}
		return known[name]
	}
	for shard, e := range m.Shards {
		s.Owners = binary.AppendUvarint(s.Owners, index(e.Owner))
		for _, source := range e.Sources {
			s.Sources[shard] = append(s.Sources[shard], index(source))
		}
	}
	value, err := json.Marshal(s)
	return value, Error.Wrap(err)
}

// Decode returns the map of a stored form, or ErrMalformed or ErrFormat.
func Decode(value []byte) (Map, error) {
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Map{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Format != formatVersion {
		return Map{}, fmt.Errorf("%w: %d", ErrFormat, s.Format)
	}
	m := Map{Sealed: s.Sealed}
	for rest := s.Owners; len(rest) > 0; {
		i, n := binary.Uvarint(rest)
		if n <= 0 || i > uint64(len(s.Names)) || len(m.Shards) == MaxShards {
			return Map{}, fmt.Errorf("%w: owner of shard %d", ErrMalformed, len(m.Shards))
		}
		m.Shards = append(m.Shards, Entry{Owner: s.name(i)})
		rest = rest[n:]
	}
	for shard, sources := range s.Sources {
		if shard < 0 || shard >= len(m.Shards) {
			return Map{}, fmt.Errorf("%w: sources of shard %d", ErrMalformed, shard)
		}
		for _, i := range sources {
			if i == 0 || i > uint64(len(s.Names)) {
				return Map{}, fmt.Errorf("%w: source of shard %d", ErrMalformed, shard)
			}
			m.Shards[shard].Sources = append(m.Shards[shard].Sources, s.name(i))
		}
	}
	if len(m.Shards) == 0 || slices.Contains(s.Names, "") || slices.Contains(s.Sealed, "") {
		return Map{}, fmt.Errorf("%w: no shards or an empty name", ErrMalformed)
	}
	return m, nil
}

func (s stored) name(i uint64) string {
	if i == 0 {
		return ""
	}
	return s.Names[i-1]
}
