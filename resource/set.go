package resource

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"dogwoodline.example/kvstore"
)

// Set is an immutable set of resources with their versions. Deletions leave
// tombstones, so that an older version that arrives late is not applied.
//
// Two revisions describe a set. Revision is the greatest version in it.
// Complete is the revision up to which no change is missing; above it a set
// may have gaps, because pushes from peers arrive out of order.
type Set struct {
	entries  map[ID]Change
	backends map[string][]Resource // by pool, in order of name
	tenants  map[string][]string   // names by key digest, in order
	revision kvstore.Version
	complete kvstore.Version
	digest   uint64
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{} }

// With returns a set with the changes applied. A change is applied only when
// its version is greater than the one of its resource in the set, so the
// order and repetition of changes do not matter. It returns the receiver when
// nothing was applied.
func (s *Set) With(changes ...Change) *Set {
	next := s
	for _, change := range changes {
		if change.Version <= next.entries[change.ID].Version {
			continue
		}
		if next == s {
			next = s.copy()
			if s.changesKeys(changes) {
				next.tenants = cloneOrMake(s.tenants)
			}
		}
		next.apply(change)
	}
	return next
}

// WithComplete returns a set whose Complete revision is at least the given
// one.
func (s *Set) WithComplete(revision kvstore.Version) *Set {
	if revision <= s.complete {
		return s
	}
	next := *s
	next.complete = revision
	return &next
}

// WithView applies a full list of the resources, taken at the given revision.
// A resource that is not listed and not newer was deleted without a tombstone
// in the list; it gets one with that revision.
func (s *Set) WithView(listed []Change, revision kvstore.Version) *Set {
	present := make(map[ID]bool, len(listed))
	for _, change := range listed {
		present[change.ID] = true
	}
	var gone []Change
	for id, entry := range s.entries {
		if !present[id] && !entry.Deleted && entry.Version < revision {
			gone = append(gone, Change{ID: id, Version: revision, Deleted: true})
		}
	}
	return s.With(listed...).With(gone...).WithComplete(revision)
}

// Get returns a resource with its status. The second result is false when it
// does not exist.
func (s *Set) Get(id ID) (Resource, bool) {
	entry, ok := s.entries[id]
	if !ok || entry.Deleted {
		return Resource{}, false
	}
	r := Resource{Kind: id.Kind, Name: id.Name, Version: entry.Version, Spec: entry.Spec}
	r.Status.Warnings = s.warnings(entry.Spec)
	return r, true
}

// Change returns the last change of a resource, which may be a tombstone.
func (s *Set) Change(id ID) (Change, bool) {
	entry, ok := s.entries[id]
	return entry, ok
}

// List returns the resources of a kind in order of name, with their status.
func (s *Set) List(kind Kind) []Resource {
	var found []Resource
	for id := range s.entries {
		if id.Kind != kind {
			continue
		}
		if r, ok := s.Get(id); ok {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, byName)
	return found
}

// ChangesAfter returns all changes above a revision in order of version,
// tombstones included.
func (s *Set) ChangesAfter(revision kvstore.Version) []Change {
	var found []Change
	for _, entry := range s.entries {
		if entry.Version > revision {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	return found
}

// Revision returns the greatest version in the set, deletions included.
func (s *Set) Revision() kvstore.Version { return s.revision }

// Complete returns the revision up to which no change is missing.
func (s *Set) Complete() kvstore.Version { return s.complete }

// Digest is equal for sets with the same resources, tombstones and versions.
func (s *Set) Digest() uint64 { return s.digest }

// Len returns the number of resources, without tombstones.
func (s *Set) Len() int {
	count := 0
	for _, entry := range s.entries {
		if !entry.Deleted {
			count++
		}
	}
	return count
}

func (s *Set) copy() *Set {
	next := *s
	next.entries = cloneOrMake(s.entries)
	next.backends = cloneOrMake(s.backends)
	return &next
}

func cloneOrMake[K comparable, V any](from map[K]V) map[K]V {
	if from == nil {
		return map[K]V{}
	}
	return maps.Clone(from)
}

// apply changes a set that nobody else sees yet. The slices of s.backends and
// s.tenants are shared with older sets and are replaced, not changed.
func (s *Set) apply(change Change) {
	if change.Deleted {
		change.Spec = nil
	}
	old, ok := s.entries[change.ID]
	if ok {
		s.digest ^= fingerprint(old)
	}
	s.digest ^= fingerprint(change)
	s.entries[change.ID] = change
	s.revision = max(s.revision, change.Version)
	if backend, ok := old.Spec.(*Backend); ok {
		s.backends[backend.Pool] = without(s.backends[backend.Pool], change.ID.Name)
	}
	if backend, ok := change.Spec.(*Backend); ok {
		r := Resource{Kind: KindBackend, Name: change.ID.Name, Version: change.Version, Spec: backend}
		s.backends[backend.Pool] = withResource(s.backends[backend.Pool], r)
	}
	s.indexTenant(change.ID.Name, keyDigest(old.Spec), keyDigest(change.Spec))
}

// changesKeys reports whether any change gives a tenant another key, so that
// other changes need no copy of the index.
func (s *Set) changesKeys(changes []Change) bool {
	return slices.ContainsFunc(changes, func(c Change) bool {
		return c.ID.Kind == KindTenant && keyDigest(c.Spec) != keyDigest(s.entries[c.ID].Spec)
	})
}

// keyDigest returns "" for a spec that is no tenant's.
func keyDigest(spec Spec) string {
	if tenant, ok := spec.(*Tenant); ok {
		return tenant.KeySHA256
	}
	return ""
}

// indexTenant keeps the names by key digest. A digest has several names only
// when operators declared the same key twice.
func (s *Set) indexTenant(name, old, next string) {
	if old == next {
		return
	}
	if old != "" {
		kept := slices.DeleteFunc(slices.Clone(s.tenants[old]), func(n string) bool { return n == name })
		s.tenants[old] = kept
		if len(kept) == 0 {
			delete(s.tenants, old)
		}
	}
	if next != "" {
		list := s.tenants[next]
		at, _ := slices.BinarySearch(list, name)
		s.tenants[next] = slices.Insert(slices.Clone(list), at, name)
	}
}

func without(list []Resource, name string) []Resource {
	return slices.DeleteFunc(slices.Clone(list), func(r Resource) bool { return r.Name == name })
}

func withResource(list []Resource, r Resource) []Resource {
	at, _ := slices.BinarySearchFunc(list, r, byName)
	return slices.Insert(slices.Clone(list), at, r)
}

func byName(a, b Resource) int { return cmp.Compare(a.Name, b.Name) }

// fingerprint hashes id and version. The version stands for the content,
// because each write has its own.
func fingerprint(change Change) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(change.ID.String() + "@" + strconv.FormatInt(int64(change.Version), 10)))
	return hash.Sum64()
}
