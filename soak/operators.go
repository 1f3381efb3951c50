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
	// writeInterval is the time between two writes of the probe resource.
	writeInterval = 2 * time.Second
	// observeInterval is the time between two readings of it at every node.
	observeInterval = 400 * time.Millisecond
	askTimeout      = 300 * time.Millisecond
)

var probePath = "/v1/resources/" + string(resource.KindTenant) + "/" + probeName

// operate writes the probe resource until ctx ends.
func (r *run) operate(ctx context.Context) error {
	for content := 1; pause(ctx, writeInterval); content++ {
		r.write(ctx, "operator", content)
	}
	return ctx.Err()
}

// write reads the probe resource at any node and writes it over that version.
func (r *run) write(ctx context.Context, operator string, content int) {
	nodes := r.deploy.client().Resources()
	current, err := nodes.Get(ctx, string(resource.KindTenant), probeName)
	if err != nil {
		return
	}
	data, err := json.Marshal(probeTenant(content))
	if err != nil {
		panic("soak: resource cannot be encoded: " + err.Error())
	}
	w := check.Write{Operator: operator, Resource: probeName, Expected: current.Version, Content: content, Invoked: r.since()}
	written, err := nodes.Put(ctx, string(resource.KindTenant), probeName, data, current.Version)
	w.Returned = r.since()
	w.Version, w.Accepted, w.Conflict = written.Version, err == nil, errors.Is(err, api.ErrConflict)
	r.record.add(func(h *check.History) { h.Writes = append(h.Writes, w) })
}

// observe reads the probe resource at every node until ctx ends.
func (r *run) observe(ctx context.Context) error {
	for pause(ctx, observeInterval) {
		for i, url := range r.deploy.urls() {
			r.look(ctx, fmt.Sprintf("node-%d", i+1), url)
		}
	}
	return ctx.Err()
}

// look records the version that a node that is ready shows.
func (r *run) look(ctx context.Context, node, url string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	seen := check.Seen{Node: node, Resource: probeName, Asked: r.since()}
	var shown api.Resource
	if !ready(ctx, url) || fetch(ctx, url+probePath, &shown) != nil {
		return
	}
	seen.Version, seen.At = shown.Version, r.since()
	r.record.add(func(h *check.History) { h.Seen = append(h.Seen, seen) })
}
