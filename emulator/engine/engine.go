package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"dogwoodline.example/emulator/internal/standin"
	"dogwoodline.example/ring"
)

// Engine is a running stand-in for a model engine.
type Engine struct {
	config Config
	server *standin.Server[*core]
}

// Start starts an engine, which runs until ctx is done or Close is called. It
// fails if it cannot listen on the address.
func Start(ctx context.Context, config Config) (*Engine, error) {
	settings := standin.Config{
		Name: config.Name, Address: config.Address,
		Credential: config.Credential, RestartDelay: config.wallTime(config.RestartDelay),
	}
	e := &Engine{config: config}
	var err error
	e.server, err = standin.Start(ctx, settings, newCore(config, time.Now()), e.routes)
	return e, err
}

// Address returns the host and port on which the engine listens.
func (e *Engine) Address() string { return e.server.Address() }

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return e.server.URL() }

// Close stops the engine and closes all connections.
func (e *Engine) Close() { e.server.Close() }

// ApplySwitches changes switches, as POST /admin does, and waits until they are in effect.
func (e *Engine) ApplySwitches(ctx context.Context, s Switches) error {
	return e.server.Apply(ctx, func(c *core, now time.Time) { c.applySwitches(now, s) })
}

func (e *Engine) routes(server *standin.Server[*core]) standin.Routes {
	e.server = server
	return standin.Routes{
		Client: func(r chi.Router) {
			r.Post("/v1/chat/completions", e.serveChat)
			r.Post("/orders/{kind}", e.serveOrder)
			r.Get("/load", func(w http.ResponseWriter, r *http.Request) {
				e.serveRead(w, r, func(c *core, now time.Time) any { return c.visibleReport(now) })
			})
			r.Get("/held", func(w http.ResponseWriter, r *http.Request) {
				e.serveRead(w, r, func(c *core, _ time.Time) any {
					return ProgramMemory{StartID: c.startID, Programs: c.heldTokensByProgram()}
				})
			})
			r.Get("/cache/events", e.serveEvents)
		},
		Admin: func(r chi.Router) { r.Post("/admin", e.serveAdmin) },
	}
}

// serveRead responds with a report of the state. While the engine is crashed, it
// closes the connection instead.
func (e *Engine) serveRead(w http.ResponseWriter, r *http.Request, report func(*core, time.Time) any) {
	e.server.Query(w, r, func(c *core, now time.Time, reply *ring.Ring[standin.Response]) {
		answer := standin.Response{}
		if !c.crashed {
			answer = standin.Response{Status: http.StatusOK, Body: report(c, now)}
		}
		_ = reply.TryPush(answer) // never full: one slot for the one reply
	})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent means from the first event
	e.serveRead(w, r, func(c *core, now time.Time) any {
		until := now.Add(-c.config.wallTime(c.config.EventLag))
		return CacheEvents{StartID: c.startID, Events: c.cache.eventsSince(after, until)}
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !standin.Decode(w, r, &order) {
		return
	}
	kind := chi.URLParam(r, "kind")
	e.server.Query(w, r, func(c *core, now time.Time, reply *ring.Ring[standin.Response]) {
		answer := standin.Response{}
		if !c.crashed {
			answer = orderReply(c.execute(now, kind, order))
		}
		_ = reply.TryPush(answer) // never full: one slot for the one reply
	})
}

func orderReply(answer OrderResult) standin.Response {
	if answer.Reason != notRefused {
		return standin.ErrorResponse(answer.Reason.status(), string(answer.Reason))
	}
	return standin.Response{Status: http.StatusOK, Body: answer}
}

func (e *Engine) serveAdmin(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if !standin.Decode(w, r, &switches) {
		return
	}
	if err := e.ApplySwitches(r.Context(), switches); err != nil {
		standin.ErrorResponse(http.StatusServiceUnavailable, err.Error()).Write(w)
		return
	}
	standin.Response{Status: http.StatusOK, Body: switches}.Write(w)
}
