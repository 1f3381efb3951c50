package engine

import (
	"slices"
	"time"
)

// Order is the body of POST /orders/{kind}, a control command to the engine. The
// kinds are cancel, release, export, import, load, unload and role.
type Order struct {
	// Fence is the fencing number of the sender.
	Fence     uint64 `json:"fence"`
	Program   string `json:"program,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Attempt   int    `json:"attempt,omitempty"`
	// Name is the model or adapter to load, or the role to take.
	Name string `json:"name,omitempty"`
	// Blocks are the hashes of the exported KV cache blocks to import.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// OrderResult is the result of an order.
type OrderResult struct {
	// Reason says why the order was refused. It is sent as an error response.
	Reason refusalReason `json:"-"`
	// Released is the memory in tokens that the program held before its
	// release.
	Released int64 `json:"released_tokens,omitempty"`
	// Blocks are the hashes of the blocks that an export returns.
	Blocks []uint64 `json:"blocks,omitempty"`
	// ReadyMS is the time in wall-clock milliseconds until a load is complete.
	ReadyMS int64 `json:"ready_ms,omitempty"`
}

// execute carries out an order. The result has a reason if it was refused.
func (c *core) execute(now time.Time, kind string, o Order) OrderResult {
	if !c.acceptFence(o.Fence) {
		return OrderResult{Reason: fenced}
	}
	switch kind {
	case "cancel":
		return c.cancel(now, requestKey{o.RequestID, o.Attempt})
	case "release":
		released := int64(c.cache.release(now, o.Program) * c.config.BlockTokens)
		c.recordReport(now)
		return OrderResult{Released: released}
	case "export":
		return OrderResult{Blocks: c.cache.blocksHeldBy(o.Program)}
	case "import":
		c.cache.store(now, o.Program, o.Blocks)
		c.recordReport(now)
		return OrderResult{}
	case "load":
		c.loading[o.Name] = now.Add(c.config.wallTime(c.config.LoadTime))
		c.finishLoads(now)
		return OrderResult{ReadyMS: c.config.wallTime(c.config.LoadTime).Milliseconds()}
	case "unload":
		c.models = slices.DeleteFunc(c.models, func(name string) bool { return name == o.Name })
		c.recordReport(now)
		return OrderResult{}
	case "role":
		c.role = o.Name
		c.recordReport(now)
		return OrderResult{}
	}
	return OrderResult{Reason: unknownTarget}
}

// cancel ends a waiting or running request.
func (c *core) cancel(now time.Time, key requestKey) OrderResult {
	r, ok := c.requests[key]
	if !ok || r.phase == ended {
		return OrderResult{Reason: unknownTarget}
	}
	c.remove(now, r, cancelled)
	return OrderResult{}
}

// finishLoads makes the models available whose loading has finished.
func (c *core) finishLoads(now time.Time) {
	for name, ready := range c.loading {
		if now.Before(ready) {
			continue
		}
		delete(c.loading, name)
		if !slices.Contains(c.models, name) {
			c.models = append(c.models, name)
		}
		c.recordReport(now)
	}
}

// applySwitches changes the settings that the switches give a value.
func (c *core) applySwitches(now time.Time, s Switches) {
	if s.SlowFactor != nil && *s.SlowFactor > 0 {
		c.slowFactor = *s.SlowFactor
	}
	if s.CrashMarker != nil {
		c.crashMarker = *s.CrashMarker
	}
	if s.Leaving != nil {
		c.leaving = *s.Leaving
		c.recordReport(now)
	}
	if s.Hang != nil {
		c.hung = *s.Hang
	}
	if s.CrashNow {
		c.crash()
	}
}
