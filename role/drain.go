package role

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"dogwoodline.example/gateway"
	"dogwoodline.example/membership"
)

const (
	// drainMargin allows for the delivery of the last change of the member list
	// to the fronts and of the last address lists to clients.
	drainMargin = 300 * time.Millisecond
	// drainReserve is the part of the time between SIGTERM and SIGKILL that is
	// left for ending the process.
	drainReserve = 700 * time.Millisecond
	// drainPollInterval is how often a stopping front checks whether it is drained.
	drainPollInterval = 20 * time.Millisecond
	// quietTime is how long no request must have been in progress, once no more
	// connections are accepted, before the open ones are closed. A request whose
	// last byte was sent before has begun by then.
	quietTime = 250 * time.Millisecond
)

// drain takes a front out of service without breaking off requests, its own ones or
// those of other fronts that lead through it, which active counts. It first
// marks the front as draining in the directory, then keeps serving until clients
// have switched to other fronts and no request is running, or until the stop
// window is nearly used up.
func (p *process) drain(ctx context.Context, g *gateway.Gateway, active func() int) {
	started := time.Now()
	host := p.currentHost()
	// All fronts must have learned of the change, and clients must have asked for
	// addresses again; some keep them three times as long as addressTTL.
	minDuration := frontBatchDelay(host) + 3*addressTTL + drainMargin
	end := started.Add(host.StopWindow - drainReserve)
	g.Drain(started.Add(minDuration), end)
	p.sendCommand(ctx, membership.SetDraining{})
	for time.Now().Before(end) && (time.Since(started) < minDuration || active() > 0) {
		time.Sleep(drainPollInterval)
	}
	p.log.Info("role: drained", "took_ms", time.Since(started).Milliseconds(), "running", active())
	p.sendCommand(ctx, membership.Leave{})
	shutdown(ctx, p.log, p.servers, active, end.Add(drainReserve/2))
	p.log.Info("role: connections closed", "took_ms", time.Since(started).Milliseconds(), "running", active())
}

// shutdown stops accepting connections and returns once no request has been in
// progress for quietTime, or at the given end. Requests that were accepted
// until then are served to their end.
func shutdown(ctx context.Context, log *slog.Logger, servers []*http.Server, active func() int, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() {
			if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.Canceled) {
				log.Warn("role: HTTP server not shut down gracefully", "error", err)
			}
		})
	}
	for quietSince := time.Now(); time.Since(quietSince) < quietTime && ctx.Err() == nil; {
		time.Sleep(drainPollInterval)
		if active() > 0 {
			quietSince = time.Now()
		}
	}
	// Connections without a request are still open; Shutdown would wait for them.
	cancel()
	stopping.Wait()
}
