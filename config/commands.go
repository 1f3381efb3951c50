package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
)

const (
	// rebaseAttempts bounds the repetitions of a write that does not name the
	// version it replaces, while others write the same resource.
	rebaseAttempts = 5
	// retryAfter is the suggested wait when the store is down or commands
	// queue up.
	retryAfter = time.Second
)

// Write is an operator's write.
type Write struct {
	ID resource.ID
	// Spec is the new content; nil deletes the resource.
	Spec resource.Spec
	// Expected is the version that the write replaces. kvstore.Absent means
	// that the resource must not exist, kvstore.AnyVersion that the write
	// replaces whatever there is.
	Expected kvstore.Version
}

// Result is the ending of a command.
//
// Completed means accepted: the compare-and-swap in the platform store
// succeeded and the change is in force on this node. Invalid with reason
// Conflict means that another version is current. NotRun means that nothing
// was written. Unknown means that the store could not tell in time; the same
// write may be sent again and succeeds when the first one was accepted.
type Result struct {
	Outcome outcome.Outcome
	// Version is the version of the accepted write, or the current one after
	// a conflict; kvstore.Absent means that the resource does not exist.
	Version kvstore.Version
	// Change is the current resource, for reads only.
	Change resource.Change
}

// command is a message to the config-commands duty.
type command struct {
	ctx   context.Context
	write Write
	read  bool
	reply chan Result // has room for the one result
}

// Put carries out an operator's write and waits for its result. It refuses an
// invalid resource as malformed, with all problems in the detail.
func (c *Config) Put(ctx context.Context, write Write) Result {
	checked := resource.Resource{Kind: write.ID.Kind, Name: write.ID.Name, Spec: write.Spec}
	if problems := resource.Validate(checked); problems != nil {
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, problems.Error())}
	}
	return c.do(&command{ctx: ctx, write: write})
}

// Delete deletes a resource that has the expected version.
func (c *Config) Delete(ctx context.Context, id resource.ID, expected kvstore.Version) Result {
	if expected == kvstore.Absent {
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, "a deletion must expect a version")}
	}
	return c.do(&command{ctx: ctx, write: Write{ID: id, Expected: expected}})
}

// Read returns the resource as the platform store has it now, in contrast to
// the snapshot, which may lag. A resource that does not exist is a completed
// result with Change.Deleted and Version Absent.
func (c *Config) Read(ctx context.Context, id resource.ID) Result {
	return c.do(&command{ctx: ctx, write: Write{ID: id}, read: true})
}

func (c *Config) do(cmd *command) Result {
	cmd.reply = make(chan Result, 1)
	switch err := c.commands.TryPush(cmd); {
	case errors.Is(err, ring.ErrFull):
		return Result{Outcome: outcome.NewNotRun(outcome.Overloaded, retryAfter)}
	case err != nil:
		return Result{Outcome: outcome.NewNotRun(outcome.Draining, retryAfter)}
	}
	select {
	case result := <-cmd.reply:
		return result
	case <-cmd.ctx.Done():
	case <-c.stopped:
	}
	select {
	case result := <-cmd.reply:
		return result
	default:
		return unknown()
	}
}

// commander is the config-commands duty.
type commander struct {
	config *Config
	random *rand.Rand
}

func (m *commander) run(ctx context.Context) error {
	defer close(m.config.stopped)
	for {
		cmd, err := m.config.commands.Pop(ctx)
		if err != nil {
			break
		}
		m.handle(ctx, cmd)
	}
	m.config.commands.Close()
	for _, cmd := range m.config.commands.PopBatch(nil, commandRing) {
		cmd.reply <- Result{Outcome: outcome.NewNotRun(outcome.Draining, retryAfter)}
	}
	return nil
}

func (m *commander) handle(ctx context.Context, cmd *command) {
	if cmd.ctx.Err() != nil {
		cmd.reply <- Result{Outcome: outcome.NewNotRun(outcome.DeadlineExceeded, retryAfter)}
		return
	}
	limited, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	defer context.AfterFunc(cmd.ctx, cancel)()
	if cmd.read {
		cmd.reply <- m.read(limited, cmd.write.ID)
		return
	}
	result, change := m.write(limited, cmd.write)
	if result.Outcome.Code != outcome.Completed || change.Version == kvstore.Absent {
		cmd.reply <- result
		return
	}
	// The config duty replies after the change is in force on this node.
	u := update{changes: []resource.Change{change}, done: cmd, result: result}
	if m.config.updates.Push(ctx, u) != nil {
		cmd.reply <- result
	}
}

func (m *commander) read(ctx context.Context, id resource.ID) Result {
	current, err := m.current(ctx, id)
	if err != nil {
		return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
	}
	return Result{Outcome: completed(), Version: current.live(), Change: current.Change}
}

// write makes the compare-and-swap. A conflict may mean that this write was
// accepted before and its answer lost, or that only a tombstone is in the way.
func (m *commander) write(ctx context.Context, w Write) (Result, resource.Change) {
	base := w.Expected
	if base == kvstore.Absent || base == kvstore.AnyVersion {
		current, err := m.current(ctx, w.ID)
		if err != nil {
			return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}, resource.Change{}
		}
		if result, change, final := decide(w, current); final {
			return result, change
		}
		base = current.Change.Version
	}
	for range rebaseAttempts {
		change := resource.Change{ID: w.ID, Spec: w.Spec, Deleted: w.Spec == nil}
		version, err := m.swap(ctx, change, w.Expected, base)
		if err == nil {
			change.Version = version
			return accepted(change), change
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return failed(err), resource.Change{}
		}
		current, err := m.current(ctx, w.ID)
		if err != nil {
			return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}, resource.Change{}
		}
		if result, change, final := decide(w, current); final {
			return result, change
		}
		base = current.Change.Version
	}
	return Result{Outcome: outcome.NewNotRun(outcome.Overloaded, retryAfter)}, resource.Change{}
}

// decide looks at the current record. The last result is false when the write
// may be tried on top of it.
func decide(w Write, current record) (Result, resource.Change, bool) {
	repeated := current.holds(w) && (w.Expected == kvstore.AnyVersion || current.Expected == w.Expected)
	if repeated {
		return accepted(current.Change), current.Change, true
	}
	switch w.Expected {
	case kvstore.AnyVersion, current.live():
		return Result{}, resource.Change{}, false
	}
	conflict := Result{
		Outcome: outcome.NewInvalid(outcome.Conflict, "another version is current"),
		Version: current.live(),
	}
	return conflict, resource.Change{}, true
}

func (m *commander) swap(ctx context.Context, change resource.Change, expected, base kvstore.Version) (kvstore.Version, error) {
	value, err := json.Marshal(record{Change: change, Expected: expected, Nonce: m.random.Uint64()})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resolver := kvstore.Resolver{Store: m.config.settings.Store, Clock: m.config.settings.Clock}
	return resolver.Put(ctx, Prefix+change.ID.String(), value, base, 0)
}

// current reads the record of a resource. A missing one is a tombstone with
// version Absent.
func (m *commander) current(ctx context.Context, id resource.ID) (record, error) {
	item, err := m.config.settings.Store.Get(ctx, Prefix+id.String())
	if errors.Is(err, kvstore.ErrNotFound) {
		return record{Change: resource.Change{ID: id, Deleted: true}, Expected: neverExpected}, nil
	}
	if err != nil {
		return record{}, err
	}
	stored, err := decodeRecord(item)
	if err != nil {
		// A value that cannot be read can be replaced, but not repeated.
		return record{Change: resource.Change{ID: id, Version: item.Version}, Expected: neverExpected}, nil
	}
	return stored, nil
}

// neverExpected is no version that a write can expect.
const neverExpected kvstore.Version = -2

// record is the value of a resource in the platform store. A deletion writes
// a record too, so that its revision is known and a node that was away sees
// it in the list.
type record struct {
	Change resource.Change `json:"change"`
	// Expected is the version that the operator expected. It tells a repeated
	// write from another one with the same content.
	Expected kvstore.Version `json:"expected"`
	// Nonce tells this write from all others.
	Nonce uint64 `json:"nonce"`
}

func decodeRecord(item kvstore.Item) (record, error) {
	var stored record
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		return record{}, Error.Wrap(err)
	}
	stored.Change.Version = item.Version
	return stored, nil
}

// live returns the version as operators see it.
func (r record) live() kvstore.Version {
	if r.Change.Deleted {
		return kvstore.Absent
	}
	return r.Change.Version
}

// holds reports whether the record has the content that the write asks for.
func (r record) holds(w Write) bool {
	if w.Spec == nil || r.Change.Deleted {
		return w.Spec == nil && r.Change.Deleted
	}
	return r.Change.Spec != nil && bytes.Equal(resource.EncodeSpec(r.Change.Spec), resource.EncodeSpec(w.Spec))
}

func accepted(change resource.Change) Result {
	version := change.Version
	if change.Deleted {
		version = kvstore.Absent
	}
	return Result{Outcome: completed(), Version: version}
}

func completed() outcome.Outcome { return outcome.Outcome{Code: outcome.Completed} }

func unknown() Result {
	detail := "the platform store did not tell whether the write took effect; repeat the same write"
	return Result{Outcome: outcome.Outcome{Code: outcome.Unknown, Detail: detail}}
}

func failed(err error) Result {
	switch {
	case errors.Is(err, kvstore.ErrAmbiguous):
		return unknown()
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
	case errors.Is(err, kvstore.ErrTooLarge):
		detail := fmt.Sprintf("the resource exceeds %d bytes", kvstore.MaxValueBytes)
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, detail)}
	}
	return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
}
