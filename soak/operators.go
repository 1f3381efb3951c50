package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/resource"
	"dogwoodline.example/soak/check"
)

const (
	// writeInterval is the time between two writes of the probe tenant.
	writeInterval = 2 * time.Second
	// observeInterval is the pause between two rounds that read the probe tenant
	// at every node.
	observeInterval = 400 * time.Millisecond
	// observeTimeout bounds the readiness check and the read at one node.
	observeTimeout = 300 * time.Millisecond
)

var probePath = "/v1/resources/" + string(resource.KindTenant) + "/" + probeTenantName

// runOperator writes the probe tenant, each time with other content, until ctx
// ends.
func (r *run) runOperator(ctx context.Context) error {
	for content := 1; pause(ctx, writeInterval); content++ {
		r.writeProbe(ctx, "operator", content)
	}
	return ctx.Err()
}

// writeProbe reads the probe tenant at any node, replaces the version that it
// read and records the result.
func (r *run) writeProbe(ctx context.Context, operator string, content int) {
	resourceClient := r.deployment.client().Resources()
	current, err := resourceClient.Get(ctx, string(resource.KindTenant), probeTenantName)
	if err != nil {
		return
	}
	data, err := json.Marshal(probeTenant(content))
	if err != nil {
		panic("soak: resource cannot be encoded: " + err.Error())
	}
	w := check.ConfigWrite{Operator: operator, Resource: probeTenantName, Expected: current.Version, Content: content, Invoked: r.since()}
	written, err := resourceClient.Put(ctx, string(resource.KindTenant), probeTenantName, data, current.Version)
	w.Returned = r.since()
	w.Version, w.Accepted, w.Conflict = written.Version, err == nil, errors.Is(err, api.ErrConflict)
	r.recorder.add(func(h *check.History) { h.ConfigWrites = append(h.ConfigWrites, w) })
}

// observeNodes reads the probe tenant at every node until ctx ends.
func (r *run) observeNodes(ctx context.Context) error {
	for pause(ctx, observeInterval) {
		for i, url := range r.deployment.urls() {
			r.observeNode(ctx, fmt.Sprintf("node-%d", i+1), url)
		}
	}
	return ctx.Err()
}

// observeNode records the version of the probe tenant that a node returns. It
// records nothing if the node is not ready or does not respond in time.
func (r *run) observeNode(ctx context.Context, node, url string) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	seen := check.ConfigRead{Node: node, Resource: probeTenantName, RequestedAt: r.since()}
	var shown api.Resource
	if !isReady(ctx, url) || getJSON(ctx, url+probePath, &shown) != nil {
		return
	}
	seen.Version, seen.AnsweredAt = shown.Version, r.since()
	r.recorder.add(func(h *check.History) { h.ConfigReads = append(h.ConfigReads, seen) })
}
