package engine

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/internal/restart"
	"dogwoodline.example/ring"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engine")

const (
	// inboxSlots is the number of decoded messages that wait for the core.
	inboxSlots = 4096
	// adminSlots is the number of switch changes that wait for the core.
	adminSlots = 64
)

// message is what a handler asks of the core duty.
type message interface {
	apply(c *core, now time.Time)
}

// Engine is a running stand-in engine.
type Engine struct {
	config Config
	core   *core
	inbox  *ring.Ring[message] // from clients, not read while the engine hangs
	admin  *ring.Ring[message] // from the admin endpoint and the listener duty
	server *restart.Server
	duties *duty.Group
}

// Start starts an engine. It ends with ctx or Close. The error tells that the
// address is not free.
func Start(ctx context.Context, config Config) (*Engine, error) {
	e := &Engine{
		config: config,
		core:   newCore(config, time.Now()),
		inbox:  ring.New[message](inboxSlots),
		admin:  ring.New[message](adminSlots),
		duties: duty.NewGroup(ctx, slog.Default(), metrics.NewSet()),
	}
	server, err := restart.Listen(config.Address, e.handler())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e.server = server
	e.duties.Go("core", e.runCore)
	e.duties.Go("listener", e.runListener)
	return e, nil
}

// Address returns host and port of the engine.
func (e *Engine) Address() string { return e.server.Address() }

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return "http://" + e.Address() }

// Set changes switches, as the admin endpoint does. It returns an error when
// too many changes wait.
func (e *Engine) Set(s Switches) error {
	return Error.Wrap(e.admin.TryPush(setMessage{s}))
}

// Close stops the engine and drops all connections.
func (e *Engine) Close() {
	e.duties.Stop()
	e.server.Close()
}

// runCore is the duty that owns the state of the engine.
func (e *Engine) runCore(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		e.core.advance(now)
		e.core.finishLoads(now)
		drain(e.core, e.admin, now)
		inbox := e.inbox.Ready()
		if e.core.hung {
			inbox = nil
		} else {
			drain(e.core, e.inbox, now)
		}
		timer.Reset(e.core.wake())
		select {
		case <-timer.C:
		case <-inbox:
		case <-e.admin.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func drain(c *core, from *ring.Ring[message], now time.Time) {
	for {
		m, ok := from.TryPop()
		if !ok {
			return
		}
		m.apply(c, now)
	}
}

// runListener is the duty that drops and renews the listener after a crash.
func (e *Engine) runListener(ctx context.Context) error {
	for {
		if _, err := e.core.crashes.Pop(ctx); err != nil {
			return err
		}
		if err := e.server.Crash(ctx, e.config.real(e.config.RestartDelay)); err != nil {
			return err
		}
		if err := e.admin.Push(ctx, startMessage{}); err != nil {
			return err
		}
	}
}

// submitMessage brings a new or resumed request.
type submitMessage struct {
	request *request
	resume  bool
}

func (m submitMessage) apply(c *core, now time.Time) {
	if c.down {
		c.notify(m.request, progress{crashed: true})
		return
	}
	c.admit(now, m.request, m.resume)
}

// disconnectMessage tells that the client of a request went away.
type disconnectMessage struct {
	key      requestKey
	listener *ring.Ring[progress]
}

func (m disconnectMessage) apply(c *core, now time.Time) { c.disconnected(now, m.key, m.listener) }

// orderMessage brings an order.
type orderMessage struct {
	kind  string
	order Order
	reply *ring.Ring[OrderAnswer]
}

func (m orderMessage) apply(c *core, now time.Time) {
	if !c.down {
		_ = m.reply.TryPush(c.obey(now, m.kind, m.order)) // one slot for one answer
	}
}

// queryMessage asks for a report.
type queryMessage struct {
	read  func(c *core, now time.Time) any
	reply *ring.Ring[any]
}

func (m queryMessage) apply(c *core, now time.Time) {
	if !c.down {
		_ = m.reply.TryPush(m.read(c, now)) // one slot for one answer
	}
}

// setMessage changes switches.
type setMessage struct{ switches Switches }

func (m setMessage) apply(c *core, now time.Time) { c.set(now, m.switches) }

// startMessage tells that the listener is open again after a crash.
type startMessage struct{}

func (startMessage) apply(c *core, now time.Time) { c.start(now) }
