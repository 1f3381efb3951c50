package soak

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/membership"
	"dogwoodline.example/soak/check"
)

// maxWatchWait is the longest time that one watch request for the member records
// waits for changes.
const maxWatchWait = time.Second

// watchMembers is the worker that records the incarnation of each node process
// since the start of the deployment. It reads them from the member records in
// the platform's key-value store.
func (r *run) watchMembers(ctx context.Context) error {
	store := r.deployment.platform.Store()
	revision := kvstore.Absent
	for {
		events, next, err := store.Watch(ctx, membership.KeyPrefix, revision, maxWatchWait)
		if err != nil {
			return err
		}
		revision = next
		for _, event := range events {
			var m membership.Member
			if event.Deleted || json.Unmarshal(event.Value, &m) != nil {
				continue
			}
			r.recorder.add(func(h *check.History) {
				if !slices.Contains(h.Incarnations, m.Incarnation) {
					h.Incarnations = append(h.Incarnations, m.Incarnation)
				}
			})
		}
	}
}
