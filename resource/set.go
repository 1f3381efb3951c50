package resource

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"dogwoodline.example/kvstore"
)

// Set is an immutable set of versioned resources. A deleted resource leaves a
// tombstone, so that an older version that arrives late is not applied.
//
// A set has two revisions. Revision is the greatest version in it. Complete is
// the revision up to which no change is missing; above it changes may be
// missing, because peers push changes in any order.
type Set struct {
	entries        map[ID]Change
	backendsByPool map[string][]Resource // by pool, sorted by name
	tenantsByKey   map[string][]string   // tenant names by Tenant.KeySHA256, sorted
	revision       kvstore.Version
	complete       kvstore.Version
	digest         uint64
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{} }

// With returns a set with the changes applied. A change is applied only if its
// version is greater than that of the resource in the set, so changes may
// arrive in any order and more than once. With returns the receiver if it
// applies no change.
func (s *Set) With(changes ...Change) *Set {
	next := s
	for _, change := range changes {
		if change.Version <= next.entries[change.ID].Version {
			continue
		}
		if next == s {
			next = s.copy()
			if s.changesTenantKeys(changes) {
				next.tenantsByKey = cloneOrMake(s.tenantsByKey)
			}
		}
		next.apply(change)
	}
	return next
}

// WithComplete returns a set whose Complete revision is at least the given
// revision.
func (s *Set) WithComplete(revision kvstore.Version) *Set {
	if revision <= s.complete {
		return s
	}
	next := *s
	next.complete = revision
	return &next
}

// WithListing returns a set with a full listing of the resources applied, which
// was taken at the given revision. A resource that is older than the revision
// and missing from the listing was deleted; it gets a tombstone with that
// revision.
func (s *Set) WithListing(listed []Change, revision kvstore.Version) *Set {
	present := make(map[ID]bool, len(listed))
	for _, change := range listed {
		present[change.ID] = true
	}
	var removed []Change
	for id, entry := range s.entries {
		if !present[id] && !entry.Deleted && entry.Version < revision {
			removed = append(removed, Change{ID: id, Version: revision, Deleted: true})
		}
	}
	return s.With(listed...).With(removed...).WithComplete(revision)
}

// Get returns a resource with its status. The second result is false if it
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

// Change returns the latest change of a resource, which may be a tombstone. The
// second result is false if the set has none.
func (s *Set) Change(id ID) (Change, bool) {
	entry, ok := s.entries[id]
	return entry, ok
}

// List returns the resources of a kind with their status, sorted by name.
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

// ChangesAfter returns all changes above a revision, including tombstones,
// sorted by version.
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

// Revision returns the greatest version in the set, including tombstones.
func (s *Set) Revision() kvstore.Version { return s.revision }

// Complete returns the revision up to which no change is missing.
func (s *Set) Complete() kvstore.Version { return s.complete }

// Digest returns a hash of the resources, tombstones and versions. Equal sets
// have equal digests, in whatever order their changes were applied.
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

// copy returns a set on which apply may be called. It still shares the tenant
// index with s.
func (s *Set) copy() *Set {
	next := *s
	next.entries = cloneOrMake(s.entries)
	next.backendsByPool = cloneOrMake(s.backendsByPool)
	return &next
}

func cloneOrMake[K comparable, V any](from map[K]V) map[K]V {
	if from == nil {
		return map[K]V{}
	}
	return maps.Clone(from)
}

// apply modifies a set that has not been published yet. The slices in
// s.backendsByPool and s.tenantsByKey are shared with older sets, so apply
// replaces them and never writes to them.
func (s *Set) apply(change Change) {
	if change.Deleted {
		change.Spec = nil
	}
	old, ok := s.entries[change.ID]
	if ok {
		s.digest ^= hashChange(old)
	}
	s.digest ^= hashChange(change)
	s.entries[change.ID] = change
	s.revision = max(s.revision, change.Version)
	if backend, ok := old.Spec.(*Backend); ok {
		s.backendsByPool[backend.Pool] = removeByName(s.backendsByPool[backend.Pool], change.ID.Name)
	}
	if backend, ok := change.Spec.(*Backend); ok {
		r := Resource{Kind: KindBackend, Name: change.ID.Name, Version: change.Version, Spec: backend}
		s.backendsByPool[backend.Pool] = insertByName(s.backendsByPool[backend.Pool], r)
	}
	s.reindexTenant(change.ID.Name, keyDigest(old.Spec), keyDigest(change.Spec))
}

// changesTenantKeys reports whether any change gives a tenant another key.
// Other changes need no copy of the tenant index.
func (s *Set) changesTenantKeys(changes []Change) bool {
	return slices.ContainsFunc(changes, func(c Change) bool {
		return c.ID.Kind == KindTenant && keyDigest(c.Spec) != keyDigest(s.entries[c.ID].Spec)
	})
}

// keyDigest returns the key digest of a tenant, or "" for other specs.
func keyDigest(spec Spec) string {
	if tenant, ok := spec.(*Tenant); ok {
		return tenant.KeySHA256
	}
	return ""
}

// reindexTenant moves a tenant in the index from the old key digest to the new
// one. A digest has several names only if operators gave the same key to
// several tenants.
func (s *Set) reindexTenant(name, oldDigest, newDigest string) {
	if oldDigest == newDigest {
		return
	}
	if oldDigest != "" {
		kept := slices.DeleteFunc(slices.Clone(s.tenantsByKey[oldDigest]), func(n string) bool { return n == name })
		s.tenantsByKey[oldDigest] = kept
		if len(kept) == 0 {
			delete(s.tenantsByKey, oldDigest)
		}
	}
	if newDigest != "" {
		list := s.tenantsByKey[newDigest]
		i, _ := slices.BinarySearch(list, name)
		s.tenantsByKey[newDigest] = slices.Insert(slices.Clone(list), i, name)
	}
}

func removeByName(list []Resource, name string) []Resource {
	return slices.DeleteFunc(slices.Clone(list), func(r Resource) bool { return r.Name == name })
}

func insertByName(list []Resource, r Resource) []Resource {
	i, _ := slices.BinarySearchFunc(list, r, byName)
	return slices.Insert(slices.Clone(list), i, r)
}

func byName(a, b Resource) int { return cmp.Compare(a.Name, b.Name) }

// hashChange hashes the ID and the version. The version identifies the content,
// because every write to the store gets a version of its own.
func hashChange(change Change) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(change.ID.String() + "@" + strconv.FormatInt(int64(change.Version), 10)))
	return hash.Sum64()
}
