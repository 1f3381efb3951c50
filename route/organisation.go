package route

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
)

// Organisation is a customer organisation whose programs the deployment runs.
type Organisation struct {
	Name string
	// Priority ranks organisations before routes; 0 is the most urgent.
	Priority int
	// RatePerSecond and Burst bound its requests over all fronts, in requests per second
	// and in requests; 0 means no limit.
	RatePerSecond float64
	Burst         float64
}

// keyDigest is the hash of a key. An index holds no keys, so that none can appear in what
// is printed of it, and a comparison does not depend on how much of a key is right.
type keyDigest [16]byte

func digestOf(key string) keyDigest {
	sum := sha256.Sum256([]byte(key))
	return keyDigest(sum[:])
}

// OrganisationEntry is an organisation with the hashes of its keys. It is immutable.
type OrganisationEntry struct {
	organisation Organisation
	keys         []keyDigest
}

// NewOrganisationEntry returns an organisation with the keys that its clients send.
func NewOrganisationEntry(organisation Organisation, keys []string) *OrganisationEntry {
	entry := &OrganisationEntry{organisation: organisation}
	for _, key := range keys {
		if key != "" {
			entry.keys = append(entry.keys, digestOf(key))
		}
	}
	return entry
}

// OrganisationIndex finds organisations by name and by key. It is immutable, so that
// successive tables can share it.
type OrganisationIndex struct {
	byName     map[string]*Organisation
	byKey      map[keyDigest]*Organisation
	priorities []int // that occur, the most urgent first
	largest    map[string]bool
}

// largestCount is the number of organisations that are counted one by one.
const largestCount = 20

// NewOrganisationIndex returns an index of the given organisations. Those without a name
// and empty keys are left out. Of two organisations with one name or with one key in
// common, the first counts; both sets of keys belong to the first one of a name.
func NewOrganisationIndex(entries []*OrganisationEntry) *OrganisationIndex {
	keys := 0
	for _, entry := range entries {
		keys += len(entry.keys)
	}
	index := &OrganisationIndex{
		byName: make(map[string]*Organisation, len(entries)), byKey: make(map[keyDigest]*Organisation, keys),
	}
	var largest []*Organisation
	for _, entry := range entries {
		if entry.organisation.Name == "" {
			continue
		}
		organisation := index.byName[entry.organisation.Name]
		if organisation == nil {
			organisation = &entry.organisation
			index.byName[organisation.Name] = organisation
			index.addPriority(organisation.Priority)
			largest = addLargest(largest, organisation)
		}
		for _, key := range entry.keys {
			if _, taken := index.byKey[key]; !taken {
				index.byKey[key] = organisation
			}
		}
	}
	index.largest = make(map[string]bool, len(largest))
	for _, organisation := range largest {
		index.largest[organisation.Name] = true
	}
	return index
}

// addPriority adds a priority to those that occur.
func (x *OrganisationIndex) addPriority(priority int) {
	if at, known := slices.BinarySearch(x.priorities, priority); !known {
		x.priorities = slices.Insert(x.priorities, at, priority)
	}
}

// addLargest adds an organisation to the largest ones, the largest first.
func addLargest(largest []*Organisation, organisation *Organisation) []*Organisation {
	if len(largest) == largestCount && compareSize(largest[largestCount-1], organisation) < 0 {
		return largest
	}
	at, _ := slices.BinarySearchFunc(largest, organisation, compareSize)
	return slices.Insert(largest, at, organisation)[:min(len(largest)+1, largestCount)]
}

// compareSize orders organisations by their limit, the largest first. Those without a
// limit come before all others.
func compareSize(a, b *Organisation) int {
	unlimitedA, unlimitedB := a.RatePerSecond <= 0, b.RatePerSecond <= 0
	switch {
	case unlimitedA != unlimitedB && unlimitedA:
		return -1
	case unlimitedA != unlimitedB:
		return 1
	}
	return cmp.Or(cmp.Compare(b.RatePerSecond, a.RatePerSecond), cmp.Compare(a.Name, b.Name))
}

// SetOrganisations makes the organisations of an index those of the table. It must be
// called before the table is shared.
func (t *Table) SetOrganisations(index *OrganisationIndex) {
	t.index, t.Organisations = index, index.byName
}

// HasOrganisations reports whether requests need the key of an organisation.
func (t *Table) HasOrganisations() bool { return t.index != nil }

// OrganisationOfKey returns the organisation that a key belongs to.
func (t *Table) OrganisationOfKey(key string) (*Organisation, bool) {
	if t.index == nil || key == "" {
		return nil, false
	}
	organisation, known := t.index.byKey[digestOf(key)]
	return organisation, known
}

// IsLarge reports whether an organisation is one of those with the highest limits, which
// are the same on all fronts.
func (t *Table) IsLarge(organisation string) bool {
	return t.index != nil && t.index.largest[organisation]
}

// LargeOrganisations returns the names for which IsLarge is true.
func (t *Table) LargeOrganisations() []string {
	if t.index == nil {
		return nil
	}
	return slices.Collect(maps.Keys(t.index.largest))
}

// Priority returns the priority of an organisation's requests on a route: first that of
// the organisation, then that of the route. 0 is the most urgent; without organisations
// it is the route's. Requests of no organisation rank with those of the least urgent ones.
func (t *Table) Priority(organisation string, r *Route) int {
	if t.index == nil {
		return r.Priority
	}
	first := max(0, len(t.index.priorities)-1)
	if known := t.Organisations[organisation]; known != nil {
		first, _ = slices.BinarySearch(t.index.priorities, known.Priority)
	}
	second, _ := slices.BinarySearch(t.routePriorities, r.Priority)
	return first*len(t.routePriorities) + second
}

// PriorityLevels returns the number of values that Priority returns; 0 if the table has no
// organisations, whose routes have any priority.
func (t *Table) PriorityLevels() int {
	if t.index == nil {
		return 0
	}
	return max(1, len(t.index.priorities)) * max(1, len(t.routePriorities))
}
