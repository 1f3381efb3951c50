package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"dogwoodline.example/daemon"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
)

// targetTenants is the number of tenants that the system is designed for.
const targetTenants = 39_000

// keyOf returns the API key of a tenant.
func keyOf(tenant int) string { return fmt.Sprint("key-of-tenant-", tenant) }

// tenantChange returns a change that declares a tenant.
func tenantChange(number int, version kvstore.Version) resource.Change {
	sum := sha256.Sum256([]byte(keyOf(number)))
	highestPriority := 9
	return resource.Change{ID: resource.ID{Kind: resource.KindTenant, Name: fmt.Sprint("tenant-", number)}, Version: version,
		Spec: &resource.Tenant{KeySHA256: hex.EncodeToString(sum[:]), Share: 1, PriorityMax: &highestPriority, ProgramBudgetMax: 1e9}}
}

// measureConfig measures a resource set of tenants: its memory, and the times of
// applying a change, of listing the changes after a revision as a watch does, and
// of finding a tenant by its API key.
func measureConfig(ctx context.Context, _ Options) ([]Slope, error) {
	s := sweep{size: "tenants", target: targetTenants, sizes: []int{1000, 5000, 15_000, targetTenants}, measure: resourceSetCosts,
		series: []series{{"resource set: memory", "B"}, {"resource set: apply one change", "us"},
			{"resource set: changes after a revision", "us"}, {"tenant of a key", "us"}}}
	return s.run(ctx)
}

func resourceSetCosts(tenants int) ([]float64, error) {
	before := heapBytes()
	changes := make([]resource.Change, tenants)
	for i := range changes {
		changes[i] = tenantChange(i, kvstore.Version(i+1))
	}
	set := resource.NewSet().With(changes...)
	used := heapBytes() - before
	runtime.KeepAlive(changes)

	const times = 20
	begin := time.Now()
	for i := range times {
		set = set.With(tenantChange(i, kvstore.Version(tenants+i+1)))
	}
	applied := time.Since(begin)

	begin = time.Now()
	for range times {
		set.ChangesAfter(set.Revision())
	}
	listed := time.Since(begin)

	begin = time.Now()
	for i := range times {
		tenant := i * (tenants / times)
		if name, ok := daemon.TenantOfKey(set, keyOf(tenant)); !ok || name != fmt.Sprint("tenant-", tenant) {
			return nil, Error.New("tenant %d not found by its key", tenant)
		}
	}
	found := time.Since(begin)
	return []float64{used, microseconds(applied, times), microseconds(listed, times), microseconds(found, times)}, nil
}
