// Package resource defines the configuration resources that operators declare:
// their types, their TOML and JSON encoding, their validation, and immutable
// versioned sets of them.
//
// A resource has a kind, a name, a spec that operators write, a status that
// the system reports, and a version: the platform store's revision of its last
// write. Specs are immutable after decoding, so that sets can share them.
package resource

import (
	"strings"

	"github.com/zeebo/errs"

	"dogwoodline.example/kvstore"
)

// Error is the class of the errors of this package, except *Problems.
var Error = errs.Class("resource")

// ErrMalformed reports input that is not a resource document.
var ErrMalformed = Error.New("malformed resource")

// Kind is the type of a resource.
type Kind string

const (
	// KindTenant resources are the organisations that run programs.
	KindTenant Kind = "tenant"
	// KindClass resources describe programs of one type and their limits.
	KindClass Kind = "class"
	// KindPool resources are groups of backend servers that serve the same
	// model.
	KindPool Kind = "pool"
	// KindBackend resources are single backend servers of a pool.
	KindBackend Kind = "backend"
	// KindService resources are tool services with their operations.
	KindService Kind = "service"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindTenant, KindClass, KindPool, KindBackend, KindService}

// ID identifies a resource.
type ID struct {
	Kind Kind
	Name string
}

// String returns the ID in the form kind/name, as used in keys of the platform
// store.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// ParseID parses the form kind/name. The second result is false if the kind is
// unknown or the name is empty.
func ParseID(text string) (ID, bool) {
	kind, name, _ := strings.Cut(text, "/")
	id := ID{Kind: Kind(kind), Name: name}
	return id, name != "" && newSpec(id.Kind) != nil
}

// Resource is one declared resource.
type Resource struct {
	Kind    Kind
	Name    string
	Version kvstore.Version
	Spec    Spec
	Status  Status
}

// ID returns the identifier of the resource.
func (r Resource) ID() ID { return ID{Kind: r.Kind, Name: r.Name} }

// Status is what the system reports about a resource.
type Status struct {
	// Warnings lists references to resources that do not exist and similar
	// inconsistencies. The resource takes effect in spite of them.
	Warnings []string `json:"warnings,omitempty"`
}

// Spec is the part of a resource that operators write. The concrete types are
// *Tenant, *Class, *Pool, *Backend and *Service.
type Spec interface {
	setDefaults()
	validate(problems *Problems)
}

// Change is a new version of a resource, or its deletion. A deletion has no
// spec.
type Change struct {
	ID      ID
	Version kvstore.Version
	Spec    Spec
	Deleted bool
}

// newSpec returns an empty spec of the kind, or nil if the kind is unknown.
func newSpec(kind Kind) Spec {
	switch kind {
	case KindTenant:
		return &Tenant{}
	case KindClass:
		return &Class{}
	case KindPool:
		return &Pool{}
	case KindBackend:
		return &Backend{}
	case KindService:
		return &Service{}
	}
	return nil
}
