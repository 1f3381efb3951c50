// Package placement assigns the shards of programs to nodes and moves shards
// between nodes.
//
// A shard is owned by at most one incarnation, that is one run of a node's
// process, and the records of its programs go to the journal of that incarnation
// (see package fencedlog). In a handoff a live owner passes a shard on. In a
// takeover another node seals the journal of a dead owner and divides its shards
// among the live nodes. In both cases the new owner adopts the shard: it replays
// the records from the journals of the earlier owners, the sources, into its own
// journal, and only then serves the shard.
//
// The shard map, which assigns each shard to an owner, is one value in the
// platform store. Any node may change it, by compare-and-swap. The changes and
// the balancing plan are computed by methods of Map, which do no I/O. Duty is
// the goroutine that carries them out on a node. It exchanges messages with the
// programs duty, the goroutine that runs the programs of the node's shards.
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
	// ErrUnknownFormat reports a stored map of a format version that this build does
	// not know.
	ErrUnknownFormat = Error.New("unknown format version")
)

const (
	// Prefix is the prefix of this package's keys in the platform store.
	Prefix = "placement/"
	// MapKey is the key of the shard map.
	MapKey = Prefix + "map"
	// DefaultShards is the default number of shards of a new map.
	DefaultShards = 1024
	// MaxShards is the largest number of shards that Decode accepts.
	MaxShards = 1 << 16

	formatVersion = 1
)

// Shard returns the shard of a program. A child program is in the shard of its
// root program, whose id is the part of the child's id before the first dot.
func Shard(program string, shards int) int {
	root, _, _ := strings.Cut(program, ".")
	return int(xxhash.Sum64String(root) % uint64(shards)) //nolint:gosec // the remainder is below shards
}

// Entry is the entry of one shard in the map.
type Entry struct {
	// Owner is the incarnation that owns the shard and whose journal its records
	// go to. It is empty if the shard has no owner.
	Owner string
	// Sources are the journals of earlier owners, by incarnation, from which the
	// owner has yet to adopt the records of the shard. The owner serves the
	// shard once there are none.
	Sources []string
}

// Map assigns each shard to an incarnation.
type Map struct {
	Shards []Entry
	// Sealed lists the journals, by incarnation, that are sealed or about to be
	// sealed and are not deleted yet. Their incarnations get no shards.
	Sealed []string
}

// NewMap returns a map whose shards have no owner.
func NewMap(shards int) Map { return Map{Shards: make([]Entry, shards)} }

// Clone returns a copy. It shares the Sources slices with the original, because
// the methods of Map replace them and never modify them in place.
func (m Map) Clone() Map {
	return Map{Shards: slices.Clone(m.Shards), Sealed: slices.Clone(m.Sealed)}
}

// CountOwned returns the number of shards that an incarnation owns.
func (m Map) CountOwned(owner string) int {
	n := 0
	for _, e := range m.Shards {
		if e.Owner == owner {
			n++
		}
	}
	return n
}

// References reports whether any shard has the journal as that of its owner or as a
// source.
func (m Map) References(journal string) bool {
	return slices.ContainsFunc(m.Shards, func(e Entry) bool {
		return e.Owner == journal || slices.Contains(e.Sources, journal)
	})
}

// storedMap is the stored form of a Map. Each incarnation is listed once in
// Names, and the other fields refer to it by its index plus one; 0 stands for no
// owner.
type storedMap struct {
	Format  int              `json:"format"`
	Names   []string         `json:"names"`
	Owners  []byte           `json:"owners"` // one varint for each shard
	Sources map[int][]uint64 `json:"sources,omitempty"`
	Sealed  []string         `json:"sealed,omitempty"`
}

// Encode returns the stored form of the map, in JSON.
func (m Map) Encode() ([]byte, error) {
	s := storedMap{Format: formatVersion, Sources: map[int][]uint64{}, Sealed: m.Sealed}
	indices := map[string]uint64{"": 0}
	index := func(name string) uint64 {
		if _, ok := indices[name]; !ok {
			s.Names = append(s.Names, name)
			indices[name] = uint64(len(s.Names))
		}
		return indices[name]
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

// Decode decodes the stored form of a map. Its errors wrap ErrMalformed or
// ErrUnknownFormat.
func Decode(value []byte) (Map, error) {
	var s storedMap
	if err := json.Unmarshal(value, &s); err != nil {
		return Map{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Format != formatVersion {
		return Map{}, fmt.Errorf("%w: %d", ErrUnknownFormat, s.Format)
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

// name returns the incarnation that a stored index refers to, or an empty string
// for 0. The caller has checked that the index is in range.
func (s storedMap) name(i uint64) string {
	if i == 0 {
		return ""
	}
	return s.Names[i-1]
}
