package engine

import (
	"slices"
	"time"
)

// Order is the body of POST /orders/{kind}. Kinds are cancel, release,
// export, import, load, unload and role.
type Order struct {
	// Fence is the fencing number of whoever gives the order.
	Fence     uint64 `json:"fence"`
	Program   string `json:"program,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Attempt   int    `json:"attempt,omitempty"`
	// Name is the model or adapter to load, or the role to take.
	Name string `json:"name,omitempty"`
	// Blocks is the exported KV cache to import.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// OrderAnswer is the answer to an order.
type OrderAnswer struct {
	Reason string `json:"reason,omitempty"`
	// Released is the memory in tokens that a release took off the program.
	Released int64    `json:"released_tokens,omitempty"`
	Blocks   []uint64 `json:"blocks,omitempty"`
	// ReadyMS is the time in real milliseconds until a load is complete.
	ReadyMS int64 `json:"ready_ms,omitempty"`
}

// obey carries out an order. The answer has a reason when it was refused.
func (c *core) obey(now time.Time, kind string, o Order) OrderAnswer {
	if !c.passesFence(o.Fence) {
		return OrderAnswer{Reason: string(fenced)}
	}
	switch kind {
	case "cancel":
		return c.cancel(now, requestKey{o.RequestID, o.Attempt})
	case "release":
		released := int64(c.cache.release(now, o.Program) * c.config.BlockTokens)
		c.note(now)
		return OrderAnswer{Released: released}
	case "export":
		return OrderAnswer{Blocks: c.cache.heldBy(o.Program)}
	case "import":
		c.cache.store(now, o.Program, o.Blocks)
		c.note(now)
		return OrderAnswer{}
	case "load":
		c.loading[o.Name] = now.Add(c.config.real(c.config.LoadTime))
		c.finishLoads(now)
		return OrderAnswer{ReadyMS: c.config.real(c.config.LoadTime).Milliseconds()}
	case "unload":
		c.models = slices.DeleteFunc(c.models, func(name string) bool { return name == o.Name })
		c.note(now)
		return OrderAnswer{}
	case "role":
		c.role = o.Name
		c.note(now)
		return OrderAnswer{}
	}
	return OrderAnswer{Reason: string(unknownTarget)}
}

func (c *core) cancel(now time.Time, key requestKey) OrderAnswer {
	r, ok := c.requests[key]
	if !ok || r.phase == ended {
		return OrderAnswer{Reason: string(unknownTarget)}
	}
	c.remove(now, r, cancelled)
	return OrderAnswer{}
}

// finishLoads makes the models available whose loading time is over.
func (c *core) finishLoads(now time.Time) {
	for name, ready := range c.loading {
		if now.Before(ready) {
			continue
		}
		delete(c.loading, name)
		if !slices.Contains(c.models, name) {
			c.models = append(c.models, name)
		}
		c.note(now)
	}
}

// set applies switches.
func (c *core) set(now time.Time, s Switches) {
	if s.SlowFactor != nil && *s.SlowFactor > 0 {
		c.slow = *s.SlowFactor
	}
	if s.CrashMarker != nil {
		c.marker = *s.CrashMarker
	}
	if s.Leaving != nil {
		c.leaving = *s.Leaving
		c.note(now)
	}
	if s.Hang != nil {
		c.hung = *s.Hang
	}
	if s.CrashNow {
		c.crash()
	}
}
