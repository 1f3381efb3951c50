package config

import (
	"context"
	"errors"
	"strings"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
)

// watch is the config-watch duty: it lists the resources once and then follows
// their changes. It lists again when the store dropped changes in between.
func (c *Config) watch(ctx context.Context) error {
	listed := false
	revision := kvstore.Version(0)
	retry := retryFirst
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = c.follow(ctx, revision)
		} else {
			revision, err = c.list(ctx)
			listed = err == nil
		}
		if err == nil {
			retry = retryFirst
			continue
		}
		if errors.Is(err, kvstore.ErrCompacted) {
			listed = false
		}
		c.settings.Log.Debug("config: watch failed", "error", err)
		c.wait(ctx, retry)
		retry = min(2*retry, retryLongest)
	}
	return nil
}

func (c *Config) list(ctx context.Context) (kvstore.Version, error) {
	items, revision, err := c.settings.Store.List(ctx, Prefix)
	if err != nil {
		return 0, err
	}
	u := update{full: true, complete: revision, ready: true}
	for _, item := range items {
		u.changes = c.appendChange(u.changes, kvstore.Event{Item: item})
	}
	return revision, c.updates.Push(ctx, u)
}

func (c *Config) follow(ctx context.Context, after kvstore.Version) (kvstore.Version, error) {
	events, revision, err := c.settings.Store.Watch(ctx, Prefix, after, watchWait)
	if err != nil {
		return after, err
	}
	u := update{complete: revision}
	for _, event := range events {
		u.changes = c.appendChange(u.changes, event)
	}
	return revision, c.updates.Push(ctx, u)
}

// appendChange decodes an event of the store. A value that this version of
// the program does not understand leaves the older one in force.
func (c *Config) appendChange(changes []resource.Change, event kvstore.Event) []resource.Change {
	id, ok := resource.ParseID(strings.TrimPrefix(event.Key, Prefix))
	if !ok {
		c.settings.Log.Warn("config: unknown key in the platform store", "key", event.Key)
		return changes
	}
	if event.Deleted {
		return append(changes, resource.Change{ID: id, Version: event.Version, Deleted: true})
	}
	stored, err := decodeRecord(event.Item)
	if err != nil || stored.Change.ID != id {
		c.settings.Log.Error("config: unreadable value in the platform store", "key", event.Key, "error", err)
		return changes
	}
	return append(changes, stored.Change)
}
