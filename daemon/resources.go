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

// tenants finds tenants by their keys.
type tenants struct {
	set func() *resource.Set
}

var _ api.Authenticator = tenants{}

// Authenticate implements api.Tenants.
func (t tenants) Authenticate(key string) (string, bool) { return TenantOf(t.set(), key) }

// TenantOf returns the tenant of a key. The search by digest tells nothing of
// use about keys by its time: who times it does not choose the digest that a
// key has, and a digest that begins like a declared one gives no key.
func TenantOf(set *resource.Set, key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	return set.TenantOfKey(hex.EncodeToString(sum[:]))
}

// readyService is ready when the node and its configuration are.
type readyService struct {
	api.Service
	config *config.Config
}

var errNoConfiguration = Error.New("no full view of the resources yet")

// Ready implements api.Service.
func (s readyService) Ready() error {
	if !s.config.Ready() {
		return errNoConfiguration
	}
	return s.Service.Ready()
}

// unreadyRetry is the suggested wait of callers of a node without a full view.
const unreadyRetry = 250 * time.Millisecond

// Start implements api.Service. Without a full view a class may be missing
// that is declared, and the refusal would be final.
func (s readyService) Start(ctx context.Context, tenant string, request api.StartRequest) program.Reply {
	if !s.config.Ready() {
		return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, unreadyRetry)}
	}
	return s.Service.Start(ctx, tenant, request)
}

// Call implements api.Service, see Start.
func (s readyService) Call(
	ctx context.Context, tenant, id string, request api.CallRequest, stream func(program.Chunk) error,
) program.Reply {
	if !s.config.Ready() {
		return program.Reply{Outcome: outcome.NewNotRun(outcome.NoOwner, unreadyRetry)}
	}
	return s.Service.Call(ctx, tenant, id, request, stream)
}

// resources is the operators' view of the configuration.
type resources struct {
	config *config.Config
}

var _ api.Resources = resources{}

// watchStep is how often a waiting watch looks at the snapshot. A change is in
// force within seconds, so a shorter step shows nothing sooner.
const watchStep = 100 * time.Millisecond

func idOf(kind, name string) (resource.ID, error) {
	id, ok := resource.ParseID(kind + "/" + name)
	if !ok {
		return id, api.ErrNotFound
	}
	return id, nil
}

// Get implements api.Resources.
func (r resources) Get(_ context.Context, kind, name string) (api.Resource, error) {
	id, err := idOf(kind, name)
	if err != nil {
		return api.Resource{}, err
	}
	found, ok := r.config.Snapshot().Get(id)
	if !ok {
		return api.Resource{}, api.ErrNotFound
	}
	return viewOf(found), nil
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
			list.Resources = append(list.Resources, viewOf(found))
		}
	}
	return list, nil
}

// Put implements api.Resources.
func (r resources) Put(ctx context.Context, kind, name string, spec json.RawMessage, expected int64) (api.Resource, error) {
	id, err := idOf(kind, name)
	if err != nil {
		return api.Resource{}, err
	}
	document, err := json.Marshal(struct {
		Kind string          `json:"kind"`
		Name string          `json:"name"`
		Spec json.RawMessage `json:"spec"`
	}{kind, name, spec})
	if err != nil {
		return api.Resource{}, invalid(err)
	}
	decoded, err := resource.Decode(document, resource.JSON)
	if err != nil {
		return api.Resource{}, invalid(err)
	}
	result := r.config.Put(ctx, config.Write{ID: id, Spec: decoded.Spec, Expected: kvstore.Version(expected)})
	if err := failureOf(result); err != nil {
		return api.Resource{}, err
	}
	decoded.Version = result.Version
	return viewOf(decoded), nil
}

// Delete implements api.Resources.
func (r resources) Delete(ctx context.Context, kind, name string, expected int64) error {
	id, err := idOf(kind, name)
	if err != nil {
		return err
	}
	return failureOf(r.config.Delete(ctx, id, kvstore.Version(expected)))
}

// Watch implements api.Resources.
func (r resources) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (api.ResourceList, error) {
	deadline := time.Now().Add(wait)
	for {
		set := r.config.Snapshot()
		list := api.ResourceList{Revision: max(after, int64(set.Revision()))}
		for _, change := range set.ChangesAfter(kvstore.Version(after)) {
			if kind == "" || string(change.ID.Kind) == kind {
				list.Resources = append(list.Resources, changeView(change))
			}
		}
		if len(list.Resources) > 0 || !time.Now().Before(deadline) {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, nil
		case <-time.After(watchStep):
		}
	}
}

func viewOf(r resource.Resource) api.Resource {
	status, err := json.Marshal(r.Status)
	if err != nil {
		panic("daemon: status of plain values failed to encode: " + err.Error())
	}
	return api.Resource{
		Kind: string(r.Kind), Name: r.Name, Version: int64(r.Version), Spec: resource.EncodeSpec(r.Spec), Status: status,
	}
}

func changeView(c resource.Change) api.Resource {
	view := api.Resource{Kind: string(c.ID.Kind), Name: c.ID.Name, Version: int64(c.Version), Deleted: c.Deleted}
	if !c.Deleted {
		view.Spec = resource.EncodeSpec(c.Spec)
	}
	return view
}

func invalid(err error) error {
	refusal := &api.InvalidError{}
	var problems *resource.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List {
			text := p.Reason
			if p.Allowed != "" {
				text += ", allowed: " + p.Allowed
			}
			refusal.Problems = append(refusal.Problems, api.FieldProblem{Field: p.Field, Problem: text})
		}
		return refusal
	}
	refusal.Problems = api.FieldProblems{{Field: "spec", Problem: err.Error()}}
	return refusal
}

func failureOf(result config.Result) error {
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

// Declared returns the number of resources in force on this node.
func (d *Daemon) Declared() int { return d.config.Snapshot().Len() }
