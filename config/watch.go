package config

import (
	"context"
	"errors"
	"strings"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
)

// watch is the config-watch duty. It lists the resources once and then watches
// their changes. It lists again when the store has dropped changes that this
// node has not seen.
func (c *Config) watch(ctx context.Context) error {
	listed := false
	revision := kvstore.Version(0)
	retry := initialRetryDelay
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = c.follow(ctx, revision)
		} else {
			revision, err = c.list(ctx)
			listed = err == nil
		}
		if err == nil {
			retry = initialRetryDelay
			continue
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			listed = false
		}
		c.settings.Log.Debug("config: listing or watching the platform store failed", "error", err)
		c.wait(ctx, retry)
		retry = min(2*retry, maxRetryDelay)
	}
	return nil
}

// list sends all resources in the store to the config duty and returns their
// revision.
func (c *Config) list(ctx context.Context) (kvstore.Version, error) {
	items, revision, err := c.settings.Store.List(ctx, KeyPrefix)
	if err != nil {
		return 0, err
	}
	u := update{full: true, complete: revision, ready: true}
	for _, item := range items {
		u.changes = c.appendChange(u.changes, kvstore.Event{Item: item})
	}
	return revision, c.updates.Push(ctx, u)
}

// follow runs one watch call, sends its changes to the config duty and returns
// the revision to continue from.
func (c *Config) follow(ctx context.Context, after kvstore.Version) (kvstore.Version, error) {
	events, revision, err := c.settings.Store.Watch(ctx, KeyPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	u := update{complete: revision}
	for _, event := range events {
		u.changes = c.appendChange(u.changes, event)
	}
	return revision, c.updates.Push(ctx, u)
}

// appendChange decodes an event of the store and appends its change. It skips a
// value that this version of the software cannot decode, so that the node keeps
// the previous version of the resource.
func (c *Config) appendChange(changes []resource.Change, event kvstore.Event) []resource.Change {
	id, ok := resource.ParseID(strings.TrimPrefix(event.Key, KeyPrefix))
	if !ok {
		c.settings.Log.Warn("config: unknown key in the platform store ignored", "key", event.Key)
		return changes
	}
	if event.Deleted {
		return append(changes, resource.Change{ID: id, Version: event.Version, Deleted: true})
	}
	stored, err := decodeRecord(event.Item)
	if err != nil || stored.Change.ID != id {
		c.settings.Log.Error("config: invalid value in the platform store ignored", "key", event.Key, "error", err)
		return changes
	}
	return append(changes, stored.Change)
}
