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
	// maxSwapAttempts bounds the compare-and-swap attempts of a write that may
	// be attempted again after a conflict, because it is unconditional or
	// replaces a tombstone, while others write the same resource.
	maxSwapAttempts = 5
	// retryAfter is the wait suggested to operators when a command was not run,
	// for example because the store is down or the command queue is full.
	retryAfter = time.Second
)

// Write is an operator's request to create, replace or delete a resource.
type Write struct {
	ID resource.ID
	// Spec is the new content. It is nil for a deletion, which Delete requests;
	// Put rejects a write without a spec.
	Spec resource.Spec
	// Expected is the version that the write replaces. kvstore.Absent means
	// that the resource must not exist; kvstore.AnyVersion makes the write
	// unconditional.
	Expected kvstore.Version
}

// Result is the result of an operator's read or write.
//
// Completed means that the write was accepted: the compare-and-swap in the
// platform store succeeded and this node has applied the change. Invalid with
// reason Conflict means that another version is current. NotRun means that
// nothing was written. Unknown means that the store did not confirm the write
// in time. The same write may then be sent again; it succeeds if the first one
// was accepted and has not been replaced since.
type Result struct {
	Outcome outcome.Outcome
	// Version is the version of the accepted write, or the current version
	// after a conflict; kvstore.Absent means that the resource does not exist.
	Version kvstore.Version
	// Change is the current resource; it is set only for reads.
	Change resource.Change
}

// command is a read or write that the config-commands duty runs.
type command struct {
	ctx   context.Context // of the operator's request
	write Write           // only ID is set for a read
	read  bool
	reply chan Result // buffered for the single result
}

// Put runs an operator's write and waits for its result. It rejects an invalid
// resource as malformed and lists all problems in the detail.
func (c *Config) Put(ctx context.Context, write Write) Result {
	checked := resource.Resource{Kind: write.ID.Kind, Name: write.ID.Name, Spec: write.Spec}
	if problems := resource.Validate(checked); problems != nil {
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, problems.Error())}
	}
	return c.submit(&command{ctx: ctx, write: write})
}

// Delete deletes a resource if it has the expected version. kvstore.AnyVersion
// makes the deletion unconditional; kvstore.Absent is rejected as malformed.
func (c *Config) Delete(ctx context.Context, id resource.ID, expected kvstore.Version) Result {
	if expected == kvstore.Absent {
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, "a deletion must expect a version")}
	}
	return c.submit(&command{ctx: ctx, write: Write{ID: id, Expected: expected}})
}

// Read returns the resource as it is in the platform store, which may be newer
// than the node's snapshot. For a resource that does not exist, the result is
// Completed with Change.Deleted set and Version Absent.
func (c *Config) Read(ctx context.Context, id resource.ID) Result {
	return c.submit(&command{ctx: ctx, write: Write{ID: id}, read: true})
}

// submit queues a command and waits for its result, the end of its context or
// the end of the config-commands duty.
func (c *Config) submit(cmd *command) Result {
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
		return unknownResult()
	}
}

// commandExecutor is the config-commands duty. It runs one command at a time.
type commandExecutor struct {
	config *Config
	random *rand.Rand // for the nonces of records
}

// run executes commands until ctx ends, and then refuses those still queued.
func (e *commandExecutor) run(ctx context.Context) error {
	defer close(e.config.stopped)
	for {
		cmd, err := e.config.commands.Pop(ctx)
		if err != nil {
			break
		}
		e.handle(ctx, cmd)
	}
	e.config.commands.Close()
	for _, cmd := range e.config.commands.PopBatch(nil, commandRingSize) {
		cmd.reply <- Result{Outcome: outcome.NewNotRun(outcome.Draining, retryAfter)}
	}
	return nil
}

// handle runs one command. The reply comes from here, or from the config duty if
// there is a change to apply.
func (e *commandExecutor) handle(ctx context.Context, cmd *command) {
	if cmd.ctx.Err() != nil {
		cmd.reply <- Result{Outcome: outcome.NewNotRun(outcome.DeadlineExceeded, retryAfter)}
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	defer context.AfterFunc(cmd.ctx, cancel)()
	if cmd.read {
		cmd.reply <- e.read(callCtx, cmd.write.ID)
		return
	}
	result, change := e.write(callCtx, cmd.write)
	if result.Outcome.Code != outcome.Completed || change.Version == kvstore.Absent {
		cmd.reply <- result
		return
	}
	// The config duty replies after it has applied the change on this node.
	u := update{changes: []resource.Change{change}, command: cmd, result: result}
	if e.config.updates.Push(ctx, u) != nil {
		cmd.reply <- result
	}
}

func (e *commandExecutor) read(ctx context.Context, id resource.ID) Result {
	current, err := e.currentRecord(ctx, id)
	if err != nil {
		return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
	}
	return Result{Outcome: completedOutcome(), Version: current.visibleVersion(), Change: current.Change}
}

// write runs the compare-and-swap of a write in the platform store. After a
// conflict it reads the current record, because the same write may have been
// accepted before and its response lost, or the record may be a tombstone, which
// a creation replaces.
func (e *commandExecutor) write(ctx context.Context, w Write) (Result, resource.Change) {
	base := w.Expected
	if base == kvstore.Absent || base == kvstore.AnyVersion {
		current, err := e.currentRecord(ctx, w.ID)
		if err != nil {
			return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}, resource.Change{}
		}
		if result, change, final := checkPrecondition(w, current); final {
			return result, change
		}
		base = current.Change.Version
	}
	for range maxSwapAttempts {
		change := resource.Change{ID: w.ID, Spec: w.Spec, Deleted: w.Spec == nil}
		version, err := e.compareAndSwap(ctx, change, w.Expected, base)
		if err == nil {
			change.Version = version
			return acceptedResult(change), change
		}
		if !errors.Is(err, kvstore.ErrConflict) {
			return failureResult(err), resource.Change{}
		}
		current, err := e.currentRecord(ctx, w.ID)
		if err != nil {
			return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}, resource.Change{}
		}
		if result, change, final := checkPrecondition(w, current); final {
			return result, change
		}
		base = current.Change.Version
	}
	return Result{Outcome: outcome.NewNotRun(outcome.Overloaded, retryAfter)}, resource.Change{}
}

// checkPrecondition compares a write with the current record. It returns true
// with the result of the write if that is already clear: the same write was
// accepted before, or the expected version is not the current one. It returns
// false if the write may be attempted with the current version as its base.
func checkPrecondition(w Write, current record) (Result, resource.Change, bool) {
	repeated := current.hasContentOf(w) && (w.Expected == kvstore.AnyVersion || current.Expected == w.Expected)
	if repeated {
		return acceptedResult(current.Change), current.Change, true
	}
	switch w.Expected {
	case kvstore.AnyVersion, current.visibleVersion():
		return Result{}, resource.Change{}, false
	}
	conflict := Result{
		Outcome: outcome.NewInvalid(outcome.Conflict, "another version is current"),
		Version: current.visibleVersion(),
	}
	return conflict, resource.Change{}, true
}

// compareAndSwap stores a change if the stored record has the version base.
// expected, the version that the operator named, is stored with the change.
func (e *commandExecutor) compareAndSwap(ctx context.Context, change resource.Change, expected, base kvstore.Version) (kvstore.Version, error) {
	value, err := json.Marshal(record{Change: change, Expected: expected, Nonce: e.random.Uint64()})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resolver := kvstore.Resolver{Store: e.config.settings.Store, Clock: e.config.settings.Clock}
	return resolver.Put(ctx, KeyPrefix+change.ID.String(), value, base, 0)
}

// currentRecord reads the record of a resource. For a missing record it returns
// a tombstone with version Absent.
func (e *commandExecutor) currentRecord(ctx context.Context, id resource.ID) (record, error) {
	item, err := e.config.settings.Store.Get(ctx, KeyPrefix+id.String())
	if errors.Is(err, kvstore.ErrNotFound) {
		return record{Change: resource.Change{ID: id, Deleted: true}, Expected: unmatchableVersion}, nil
	}
	if err != nil {
		return record{}, err
	}
	stored, err := decodeRecord(item)
	if err != nil {
		// A write can replace an undecodable value, but never counts as a retry
		// of the write that stored it.
		return record{Change: resource.Change{ID: id, Version: item.Version}, Expected: unmatchableVersion}, nil
	}
	return stored, nil
}

// unmatchableVersion is the Expected version of a record that no operator wrote or
// that cannot be decoded. No write expects this version, so checkPrecondition
// takes no conditional write for a retry of the one that stored the record.
const unmatchableVersion kvstore.Version = -2

// record is the value of a resource in the platform store. A deletion also
// writes a record, a tombstone, so that its version is known and a node that
// missed the event finds it in the list.
type record struct {
	Change resource.Change `json:"change"`
	// Expected is the version that the operator expected. It distinguishes the
	// retry of a write from another write with the same content.
	Expected kvstore.Version `json:"expected"`
	// Nonce is random, so that no two writes store the same value. A
	// kvstore.Resolver relies on that to recognize its own write.
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

// visibleVersion returns the version that operators see: Absent for a
// tombstone.
func (r record) visibleVersion() kvstore.Version {
	if r.Change.Deleted {
		return kvstore.Absent
	}
	return r.Change.Version
}

// hasContentOf reports whether the record has the content that the write would
// store.
func (r record) hasContentOf(w Write) bool {
	if w.Spec == nil || r.Change.Deleted {
		return w.Spec == nil && r.Change.Deleted
	}
	return r.Change.Spec != nil && bytes.Equal(resource.EncodeSpec(r.Change.Spec), resource.EncodeSpec(w.Spec))
}

// acceptedResult returns the result of a write whose change was accepted.
func acceptedResult(change resource.Change) Result {
	version := change.Version
	if change.Deleted {
		version = kvstore.Absent
	}
	return Result{Outcome: completedOutcome(), Version: version}
}

func completedOutcome() outcome.Outcome { return outcome.Outcome{Code: outcome.Completed} }

// unknownResult returns the result of a write that may or may not have taken
// effect.
func unknownResult() Result {
	detail := "the platform store did not tell whether the write took effect; repeat the same write"
	return Result{Outcome: outcome.Outcome{Code: outcome.Unknown, Detail: detail}}
}

// failureResult returns the result of a write whose compare-and-swap failed
// with err, which is not a conflict.
func failureResult(err error) Result {
	switch {
	case errors.Is(err, kvstore.ErrAmbiguous):
		return unknownResult()
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
	case errors.Is(err, kvstore.ErrTooLarge):
		detail := fmt.Sprintf("the resource exceeds %d bytes", kvstore.MaxValueBytes)
		return Result{Outcome: outcome.NewInvalid(outcome.Malformed, detail)}
	}
	return Result{Outcome: outcome.NewNotRun(outcome.NotRecordable, retryAfter)}
}
