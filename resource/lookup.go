package resource

import "fmt"

// Tenant returns a tenant by name.
func (s *Set) Tenant(name string) (*Tenant, bool) { return lookup[*Tenant](s, KindTenant, name) }

// TenantOfKey returns the name of the tenant whose key has the digest, see
// Tenant.KeySHA256. If several tenants have it, the last one by name wins.
func (s *Set) TenantOfKey(digest string) (string, bool) {
	names := s.tenantsByKey[digest]
	if len(names) == 0 {
		return "", false
	}
	return names[len(names)-1], true
}

// Class returns a class by name.
func (s *Set) Class(name string) (*Class, bool) { return lookup[*Class](s, KindClass, name) }

// Pool returns a pool by name.
func (s *Set) Pool(name string) (*Pool, bool) { return lookup[*Pool](s, KindPool, name) }

// Backend returns a backend server by name.
func (s *Set) Backend(name string) (*Backend, bool) { return lookup[*Backend](s, KindBackend, name) }

// Service returns a service by name.
func (s *Set) Service(name string) (*Service, bool) { return lookup[*Service](s, KindService, name) }

// Backends returns the backend servers of a pool, sorted by name and without
// their status. The caller must not modify the slice.
func (s *Set) Backends(pool string) []Resource { return s.backendsByPool[pool] }

// OperationRule holds the terms on which programs of a class may call an operation of a
// service.
type OperationRule struct {
	Service    *Service
	Idempotent bool
	// MaxCost is the worst-case cost of a call, in tokens.
	MaxCost int64
	Retry   Retry
}

// Operation combines the declarations of an operation by class and service. It
// is idempotent only if both declare it as such, and its maximum cost is the
// greater of the two. The second result is false if either does not declare the
// operation.
func (s *Set) Operation(class, service, operation string) (OperationRule, bool) {
	classSpec, ok := s.Class(class)
	if !ok {
		return OperationRule{}, false
	}
	tool, ok := classSpec.Tool(service, operation)
	if !ok {
		return OperationRule{}, false
	}
	serviceSpec, ok := s.Service(service)
	if !ok {
		return OperationRule{}, false
	}
	declared, ok := serviceSpec.Operation(operation)
	if !ok {
		return OperationRule{}, false
	}
	rule := OperationRule{
		Service:    serviceSpec,
		Idempotent: tool.Idempotent && declared.Idempotent,
		MaxCost:    max(tool.MaxCost, declared.Cost),
		Retry:      tool.Retry,
	}
	if !rule.Idempotent {
		rule.Retry.Attempts = 1
	}
	return rule, true
}

func lookup[T Spec](s *Set, kind Kind, name string) (T, bool) {
	spec, ok := s.entries[ID{Kind: kind, Name: name}].Spec.(T)
	return spec, ok
}

// warnings checks the references of a spec to other resources. A broken
// reference is no reason to refuse a resource, because operators may write
// resources in any order.
func (s *Set) warnings(spec Spec) []string {
	switch typed := spec.(type) {
	case *Class:
		return s.classWarnings(typed)
	case *Backend:
		if _, ok := s.Pool(typed.Pool); !ok {
			return []string{fmt.Sprintf("spec.pool: pool %q does not exist", typed.Pool)}
		}
	}
	return nil
}

func (s *Set) classWarnings(class *Class) []string {
	var warnings []string
	warn := func(format string, args ...any) { warnings = append(warnings, fmt.Sprintf(format, args...)) }
	if _, ok := s.Pool(class.Pool); !ok {
		warn("spec.pool: pool %q does not exist", class.Pool)
	} else if len(s.Backends(class.Pool)) == 0 {
		warn("spec.pool: pool %q has no backend server", class.Pool)
	}
	if class.Tenant != "" {
		tenant, ok := s.Tenant(class.Tenant)
		if !ok {
			warn("spec.tenant: tenant %q does not exist", class.Tenant)
		} else {
			if class.Priority < tenant.PriorityMin || class.Priority > *tenant.PriorityMax {
				warn("spec.priority: %d is outside %d to %d of tenant %q",
					class.Priority, tenant.PriorityMin, *tenant.PriorityMax, class.Tenant)
			}
			if class.BudgetLimit > tenant.ProgramBudgetMax {
				warn("spec.budget_limit: above program_budget_max of tenant %q", class.Tenant)
			}
		}
	}
	for i, tool := range class.Tools {
		service, ok := s.Service(tool.Service)
		if !ok {
			warn("spec.tools[%d]: service %q does not exist", i, tool.Service)
			continue
		}
		declared, ok := service.Operation(tool.Operation)
		if !ok {
			warn("spec.tools[%d]: service %q has no operation %q", i, tool.Service, tool.Operation)
			continue
		}
		if tool.Idempotent && !declared.Idempotent {
			warn("spec.tools[%d]: service %q declares %q as non-idempotent, which holds", i, tool.Service, tool.Operation)
		}
	}
	return warnings
}
