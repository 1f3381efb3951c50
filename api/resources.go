package api

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("api")

var (
	// ErrNotFound means that the resource does not exist.
	ErrNotFound = Error.New("resource not found")
	// ErrConflict means that the resource does not have the expected version.
	// Errors of type *ConflictError match it.
	ErrConflict = Error.New("version conflict")
	// ErrInvalid means that the resource failed validation. Errors of type
	// *InvalidError match it.
	ErrInvalid = Error.New("resource invalid")
	// ErrUnavailable means that the platform store cannot be reached. A write
	// may have taken effect; it is safe to repeat it.
	ErrUnavailable = Error.New("platform store unavailable")
)

// ConflictError is an ErrConflict with the current version of the resource.
type ConflictError struct {
	// CurrentVersion is the current version, 0 if the resource does not exist.
	CurrentVersion int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: current version is %d", e.CurrentVersion)
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict } //nolint:errorlint // the sentinel itself

// InvalidError is an ErrInvalid with all problems that validation found.
type InvalidError struct {
	Problems FieldProblems
}

// Error implements error.
func (e *InvalidError) Error() string { return "resource invalid: " + e.Problems.String() }

// Is makes the error match ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid } //nolint:errorlint // the sentinel itself

// Resource is a resource of the declared configuration, as the API shows it to
// operators.
type Resource struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the platform store at the last write. It
	// only grows.
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// Status is the state that the system reports for the resource.
	Status json.RawMessage `json:"status,omitempty"`
	// Deleted means that the resource was deleted. It is set only in the
	// results of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// ResourceList holds the resources at a revision, or the changes up to it.
type ResourceList struct {
	// Revision is the revision from which a watch continues.
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Resources reads and writes the resources of a deployment. The HTTP API for
// operators is built on it.
type Resources interface {
	// Get returns a resource or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Resource, error)
	// List returns all resources of a kind, or of all kinds if kind is "".
	List(ctx context.Context, kind string) (ResourceList, error)
	// Put writes a resource if it has the expected version; 0 means that it
	// must not exist. It returns ErrConflict, ErrInvalid or ErrUnavailable.
	// Repeating a write with the same content succeeds.
	Put(ctx context.Context, kind, name string, spec json.RawMessage, expected int64) (Resource, error)
	// Delete removes a resource if it has the expected version. It returns
	// ErrNotFound, ErrConflict, ErrInvalid or ErrUnavailable.
	Delete(ctx context.Context, kind, name string, expected int64) error
	// Watch returns the changes of a kind, or of all kinds if kind is "", after
	// a revision. If there are none, it waits up to wait for the first one and
	// then returns an empty list.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (ResourceList, error)
}
