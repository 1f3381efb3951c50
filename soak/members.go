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

// memberWait is the longest wait of one watch of the member records.
const memberWait = time.Second

// watchMembers is the duty that notes each run of a node, from the start of
// the deployment on.
func (r *run) watchMembers(ctx context.Context) error {
	store := r.deploy.platform.Store()
	revision := kvstore.Absent
	for {
		events, next, err := store.Watch(ctx, membership.KeyPrefix, revision, memberWait)
		if err != nil {
			return err
		}
		revision = next
		for _, event := range events {
			var m membership.Member
			if event.Deleted || json.Unmarshal(event.Value, &m) != nil {
				continue
			}
			r.record.add(func(h *check.History) {
				if !slices.Contains(h.Incarnations, m.Incarnation) {
					h.Incarnations = append(h.Incarnations, m.Incarnation)
				}
			})
		}
	}
}
