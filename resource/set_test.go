package resource_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
)

// setMachine compares a Set with a map of the latest change of each resource.
// It guards against a late older version that replaces a newer one, wrong
// indexes, and changes to a set that was already published.
type setMachine struct {
	set            *resource.Set
	model          map[resource.ID]resource.Change
	previous       *resource.Set
	previousDigest uint64
}

func drawChange(t *rapid.T) resource.Change {
	number := rapid.IntRange(0, 3).Draw(t, "name")
	change := resource.Change{
		ID:      resource.ID{Kind: resource.KindBackend, Name: fmt.Sprint("b", number)},
		Version: kvstore.Version(rapid.IntRange(1, 20).Draw(t, "version")),
	}
	// ID and version determine the content, as in the platform store.
	change.Spec = &resource.Backend{Pool: fmt.Sprint("p", (int(change.Version)+number)%3), Slots: int(change.Version)}
	if rapid.Bool().Draw(t, "tenant") {
		change.ID = resource.ID{Kind: resource.KindTenant, Name: fmt.Sprint("t", number)}
		change.Spec = &resource.Tenant{KeySHA256: fmt.Sprint("k", (int(change.Version)+number)%3)}
	}
	if change.Deleted = (int(change.Version)+number)%4 == 0; change.Deleted {
		change.Spec = nil
	}
	return change
}

func (m *setMachine) Apply(t *rapid.T) {
	batch := rapid.SliceOfN(rapid.Custom(drawChange), 1, 5).Draw(t, "batch")
	m.previous, m.previousDigest = m.set, m.set.Digest()
	m.set = m.set.With(batch...)
	for _, change := range batch {
		if change.Version > m.model[change.ID].Version {
			m.model[change.ID] = change
		}
	}
}

func (m *setMachine) View(t *rapid.T) {
	revision := kvstore.Version(rapid.IntRange(1, 20).Draw(t, "revision"))
	m.set = m.set.WithListing(nil, revision)
	for id, change := range m.model {
		if !change.Deleted && change.Version < revision {
			m.model[id] = resource.Change{ID: id, Version: revision, Deleted: true}
		}
	}
}

func (m *setMachine) Check(t *rapid.T) {
	pools := map[string]int{}
	tenantsByKey := map[string]string{}
	rebuilt := resource.NewSet()
	for id, want := range m.model {
		got, _ := m.set.Change(id)
		if got.Version != want.Version || got.Deleted != want.Deleted {
			t.Fatalf("%v is %+v, want %+v", id, got, want)
		}
		switch spec := want.Spec.(type) {
		case *resource.Backend:
			pools[spec.Pool]++
		case *resource.Tenant:
			tenantsByKey[spec.KeySHA256] = max(tenantsByKey[spec.KeySHA256], id.Name)
		}
		rebuilt = rebuilt.With(want)
	}
	for _, pool := range []string{"p0", "p1", "p2"} {
		if len(m.set.Backends(pool)) != pools[pool] {
			t.Fatalf("pool %s has %d servers, want %d", pool, len(m.set.Backends(pool)), pools[pool])
		}
	}
	for _, key := range []string{"k0", "k1", "k2"} {
		if name, ok := m.set.TenantOfKey(key); name != tenantsByKey[key] || ok != (name != "") {
			t.Fatalf("key %s belongs to %q, want %q", key, name, tenantsByKey[key])
		}
	}
	if rebuilt.Digest() != m.set.Digest() || rebuilt.Revision() != m.set.Revision() {
		t.Fatal("digest or revision depends on the order of the changes")
	}
	if m.previous != nil && m.previous.Digest() != m.previousDigest {
		t.Fatal("a published set changed")
	}
}

func TestSetMachine(t *testing.T) {
	// A fixed seed makes the test deterministic.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		machine := &setMachine{set: resource.NewSet(), model: map[resource.ID]resource.Change{}}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

func put(kind resource.Kind, name string, version kvstore.Version, spec resource.Spec) resource.Change {
	return resource.Change{ID: resource.ID{Kind: kind, Name: name}, Version: version, Spec: spec}
}

var _ = Describe("Set", func() {
	// Guards against a key that is still accepted after it was replaced, and
	// against a change to a new set that shows up in an older one.
	It("finds a tenant by its current key only and leaves older sets unchanged", func() {
		before := resource.NewSet().With(put(resource.KindTenant, "t", 1, &resource.Tenant{KeySHA256: "old"}))
		after := before.With(put(resource.KindTenant, "t", 2, &resource.Tenant{KeySHA256: "new"}))
		_, ok := after.TenantOfKey("old")
		Expect(ok).To(BeFalse())
		name, ok := after.TenantOfKey("new")
		Expect(ok).To(BeTrue())
		Expect(name).To(Equal("t"))
		_, ok = before.TenantOfKey("new")
		Expect(ok).To(BeFalse())
		_, ok = after.TenantOfKey("")
		Expect(ok).To(BeFalse())
	})

	It("warns about references to missing resources and accepts the resource", func() {
		class := &resource.Class{Pool: "p", Tenant: "t", Tools: []resource.Tool{{Service: "s", Operation: "o"}}}
		set := resource.NewSet().With(put(resource.KindClass, "c", 1, class))
		r, ok := set.Get(resource.ID{Kind: resource.KindClass, Name: "c"})
		Expect(ok).To(BeTrue())
		Expect(r.Status.Warnings).To(HaveExactElements(
			ContainSubstring("spec.pool"), ContainSubstring("spec.tenant"), ContainSubstring("spec.tools[0]")))
	})

	It("treats an operation as non-idempotent if the service does not declare it idempotent, whatever the class declares", func() {
		set := resource.NewSet().With(
			put(resource.KindClass, "c", 1, &resource.Class{Tools: []resource.Tool{
				{Service: "s", Operation: "o", Idempotent: true, MaxCost: 1, Retry: resource.Retry{Attempts: 5}},
			}}),
			put(resource.KindService, "s", 2, &resource.Service{Operations: []resource.Operation{{Name: "o", Cost: 7}}}),
		)
		rule, ok := set.Operation("c", "s", "o")
		Expect(ok).To(BeTrue())
		Expect(rule.Idempotent).To(BeFalse())
		Expect(rule.Retry.Attempts).To(Equal(1))
		Expect(rule.MaxCost).To(BeEquivalentTo(7))
	})
})
