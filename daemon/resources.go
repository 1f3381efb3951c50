package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/config"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

// authenticator authenticates callers against the tenants in the current
// resource set.
type authenticator struct {
	snapshot func() *resource.Set
}

var _ api.Authenticator = authenticator{}

// Authenticate implements api.Authenticator.
func (a authenticator) Authenticate(key string) (string, bool) { return TenantOfKey(a.snapshot(), key) }

// TenantOfKey returns the name of the tenant that a key belongs to. It looks up
// the SHA-256 digest of the key, so its running time reveals nothing useful
// about the valid keys: an attacker cannot choose the digest of a key, and a
// digest that shares a prefix with a declared one does not yield the key.
func TenantOfKey(set *resource.Set, key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	return set.TenantOfKey(hex.EncodeToString(digest[:]))
}

// readyService is ready when both the node and its configuration are ready. It
// starts no programs and runs no calls before the configuration is.
type readyService struct {
	api.Service
	config *config.Config
}

// errConfigNotReady is returned to callers in the body of a readiness response.
var errConfigNotReady = Error.New("no full view of the resources yet")

// Ready implements api.Service.
func (s readyService) Ready() error {
	if !s.config.Ready() {
		return errConfigNotReady
	}
	return s.Service.Ready()
}

// notReadyRetryDelay is the retry delay that is suggested to callers while the
// node has not loaded all resources.
const notReadyRetryDelay = 250 * time.Millisecond

// Start implements api.Service. Until all resources are loaded, a declared
// class may be missing, and the node would refuse the program for good. The
// caller is told to retry instead.
func (s readyService) Start(ctx context.Context, tenant string, request api.StartRequest) program.Reply {
	if !s.config.Ready() {
		return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, notReadyRetryDelay)}
	}
	return s.Service.Start(ctx, tenant, request)
}

// Call implements api.Service. It refuses calls for the same reason as Start.
func (s readyService) Call(
	ctx context.Context, tenant, id string, request api.CallRequest, stream func(program.Chunk) error,
) program.Reply {
	if !s.config.Ready() {
		return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, notReadyRetryDelay)}
	}
	return s.Service.Call(ctx, tenant, id, request, stream)
}

// resources gives operators access to the configuration of the deployment.
type resources struct {
	config *config.Config
}

var _ api.Resources = resources{}

// watchPollInterval is how often a pending watch checks the snapshot for
// changes. A change takes effect within seconds, so polling more often would
// gain nothing.
const watchPollInterval = 100 * time.Millisecond

// parseID returns ErrNotFound if no resource can have this kind and name.
func parseID(kind, name string) (resource.ID, error) {
	id, ok := resource.ParseID(kind + "/" + name)
	if !ok {
		return id, api.ErrNotFound
	}
	return id, nil
}

// Get implements api.Resources.
func (r resources) Get(_ context.Context, kind, name string) (api.Resource, error) {
	id, err := parseID(kind, name)
	if err != nil {
		return api.Resource{}, err
	}
	found, ok := r.config.Snapshot().Get(id)
	if !ok {
		return api.Resource{}, api.ErrNotFound
	}
	return toAPIResource(found), nil
}

// List implements api.Resources.
func (r resources) List(_ context.Context, kind string) (api.ResourceList, error) {
	set := r.config.Snapshot()
	list := api.ResourceList{Revision: int64(set.Revision())}
	for _, k := range resource.Kinds {
		if kind != "" && string(k) != kind {
			continue
		}
		for _, found := range set.List(k) {
			list.Resources = append(list.Resources, toAPIResource(found))
		}
	}
	return list, nil
}

// Put implements api.Resources.
func (r resources) Put(ctx context.Context, kind, name string, spec json.RawMessage, expected int64) (api.Resource, error) {
	id, err := parseID(kind, name)
	if err != nil {
		return api.Resource{}, err
	}
	document, err := json.Marshal(struct {
		Kind string          `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	}{kind, name, spec})
	if err != nil {
		return api.Resource{}, invalidError(err)
	}
	decoded, err := resource.Decode(document, resource.JSON)
	if err != nil {
		return api.Resource{}, invalidError(err)
	}
	result := r.config.Put(ctx, config.Write{ID: id, Spec: decoded.Spec, Expected: kvstore.Version(expected)})
	if err := resultError(result); err != nil {
		return api.Resource{}, err
	}
	decoded.Version = result.Version
	return toAPIResource(decoded), nil
}

// Delete implements api.Resources.
func (r resources) Delete(ctx context.Context, kind, name string, expected int64) error {
	id, err := parseID(kind, name)
	if err != nil {
		return err
	}
	return resultError(r.config.Delete(ctx, id, kvstore.Version(expected)))
}

// Watch implements api.Resources.
func (r resources) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (api.ResourceList, error) {
	deadline := time.Now().Add(wait)
	for {
		set := r.config.Snapshot()
		list := api.ResourceList{Revision: max(after, int64(set.Revision()))}
		for _, change := range set.ChangesAfter(kvstore.Version(after)) {
			if kind == "" || string(change.ID.Kind) == kind {
				list.Resources = append(list.Resources, changeToAPIResource(change))
			}
		}
		if len(list.Resources) > 0 || !time.Now().Before(deadline) {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, nil
		case <-time.After(watchPollInterval):
		}
	}
}

func toAPIResource(r resource.Resource) api.Resource {
	status, err := json.Marshal(r.Status)
	if err != nil {
		panic("daemon: cannot encode resource status as JSON: " + err.Error())
	}
	return api.Resource{
		Kind: string(r.Kind), Name: r.Name, Version: int64(r.Version), Spec: resource.EncodeSpec(r.Spec), Status: status,
	}
}

func changeToAPIResource(c resource.Change) api.Resource {
	result := api.Resource{Kind: string(c.ID.Kind), Name: c.ID.Name, Version: int64(c.Version), Deleted: c.Deleted}
	if !c.Deleted {
		result.Spec = resource.EncodeSpec(c.Spec)
	}
	return result
}

// invalidError returns the problems that err lists as an InvalidError. Any other
// error is reported as a problem of the whole spec.
func invalidError(err error) error {
	invalid := &api.InvalidError{}
	var problems *resource.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List {
			text := p.Reason
			if p.Allowed != "" {
				text += ", allowed: " + p.Allowed
			}
			invalid.Problems = append(invalid.Problems, api.FieldProblem{Field: p.Field, Problem: text})
		}
		return invalid
	}
	invalid.Problems = api.FieldProblems{{Field: "spec", Problem: err.Error()}}
	return invalid
}

// resultError returns nil for a completed operation, otherwise the error that
// the HTTP API maps to a response.
func resultError(result config.Result) error {
	switch {
	case result.Outcome.Code == outcome.Completed:
		return nil
	case result.Outcome.Reason == outcome.Conflict:
		return &api.ConflictError{CurrentVersion: int64(result.Version)}
	case result.Outcome.Code == outcome.Invalid:
		return &api.InvalidError{Problems: api.FieldProblems{{Field: "spec", Problem: result.Outcome.Detail}}}
	default:
		return api.ErrUnavailable
	}
}

// ResourceCount returns the number of resources that are in effect on this node.
func (d *Daemon) ResourceCount() int { return d.config.Snapshot().Len() }
