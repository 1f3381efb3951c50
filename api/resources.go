package api

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("api")

var (
	// ErrNotFound reports that there is no such resource.
	ErrNotFound = Error.New("resource not found")
	// ErrConflict reports that the resource has another version than
	// expected. Errors of type *ConflictError match it.
	ErrConflict = Error.New("version conflict")
	// ErrInvalid reports a resource that is refused. Errors of type
	// *InvalidError match it.
	ErrInvalid = Error.New("resource invalid")
	// ErrUnavailable reports that the platform store cannot be reached. A
	// write may have taken effect; repeating it is safe.
	ErrUnavailable = Error.New("platform store unavailable")
)

// ConflictError is an ErrConflict with the present version.
type ConflictError struct {
	// Current is the present version, 0 when the resource does not exist.
	Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: current version is %d", e.Current)
}

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict } //nolint:errorlint // the sentinel itself

// InvalidError is an ErrInvalid with all problems.
type InvalidError struct {
	Problems FieldProblems
}

// Error implements error.
func (e *InvalidError) Error() string { return "resource invalid: " + e.Problems.String() }

// Is makes the error match ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid } //nolint:errorlint // the sentinel itself

// Resource is a declared resource as operators see it.
type Resource struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision of the last write. It only grows.
	Version int64           `json:"version"`
	Spec    json.RawMessage `json:"spec,omitempty"`
	// Status is the progress that the system reports.
	Status json.RawMessage `json:"status,omitempty"`
	// Deleted is set in watch answers.
	Deleted bool `json:"deleted,omitempty"`
}

// ResourceList is a set of resources at a revision, or the changes up to it.
type ResourceList struct {
	// Revision is the revision to continue a watch from.
	Revision  int64      `json:"revision"`
	Resources []Resource `json:"resources"`
}

// Resources is what the HTTP interface for operators needs from a node.
type Resources interface {
	// Get returns a resource or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Resource, error)
	// List returns all resources of a kind, or of all kinds when kind is "".
	List(ctx context.Context, kind string) (ResourceList, error)
	// Put writes a resource when it has the expected version; 0 means that it
	// must not exist. It returns ErrConflict, ErrInvalid or ErrUnavailable.
	// Repeating a write with the same content succeeds.
	Put(ctx context.Context, kind, name string, spec json.RawMessage, expected int64) (Resource, error)
	// Delete removes a resource when it has the expected version. It returns
	// ErrNotFound, ErrConflict, ErrInvalid or ErrUnavailable.
	Delete(ctx context.Context, kind, name string, expected int64) error
	// Watch returns the changes of a kind, or of all kinds, after a revision.
	// It waits up to wait for one and then returns an empty list.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (ResourceList, error)
}
