package roles

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"dogwoodline.example/soak/relay"
)

const (
	// betweenFaults and longestFault bound the pauses and the lengths, so that
	// faults come in series and overlap.
	betweenFaults = 700 * time.Millisecond
	longestFault  = 3 * time.Second
	// diskPause is kept after the loss of a disk or a store before the next
	// one, because the deployment bears one at a time: the time until another
	// member has taken its place, and the users' bound for catching up.
	diskPause = 8 * time.Second
	// stopLimit is how long a planned stop may take.
	stopLimit = 8 * time.Second
)

// fault is a kind of fault. It begins with start and ends with the function
// that start returns.
type fault struct {
	name  string
	store bool // it takes a store away
	start func(d *disturber) (end func() error, what string)
}

// disturber injects faults into a deployment, one duty for all.
type disturber struct {
	deployment *deployment
	random     *rand.Rand
	log        *slog.Logger
	lostAt     time.Time // when a store was last taken away
}

type running struct {
	until time.Time
	end   func() error
}

// run injects faults for a time and ends them all. It returns what was done.
func (d *disturber) run(ctx context.Context, duration time.Duration) ([]string, error) {
	start := time.Now()
	var done []string
	var open []running
	for ctx.Err() == nil {
		now := time.Now()
		over := now.Sub(start) >= duration
		left := open[:0]
		for _, r := range open {
			if !over && now.Before(r.until) {
				left = append(left, r)
			} else if err := r.end(); err != nil {
				return done, err
			}
		}
		open = left
		if over {
			return done, nil
		}
		f := faults[d.random.IntN(len(faults))]
		length := time.Duration(d.random.Int64N(int64(longestFault)))
		gap := time.Duration(d.random.Int64N(int64(betweenFaults)))
		if !f.store || now.Sub(d.lostAt) > diskPause {
			if f.store {
				d.lostAt = now.Add(length)
			}
			end, what := f.start(d)
			line := fmt.Sprintf("%6.2f s for %.2f s: %s %s", now.Sub(start).Seconds(), length.Seconds(), f.name, what)
			d.log.Info("soak: fault", "what", line)
			done, open = append(done, line), append(open, running{until: now.Add(length), end: end})
		}
		if pause(ctx, gap) != nil {
			break
		}
	}
	return done, ctx.Err()
}

func (d *disturber) front() *host {
	return d.deployment.fronts[d.random.IntN(len(d.deployment.fronts))]
}

func (d *disturber) aStore() *host {
	return d.deployment.stores[d.random.IntN(len(d.deployment.stores))]
}

// restart ends a process that still runs and starts it again.
func (d *disturber) restart(h *host, s syscall.Signal) error {
	h.signal(syscall.SIGCONT)
	h.signal(s)
	select {
	case <-h.exited:
	case <-time.After(stopLimit):
		h.signal(syscall.SIGKILL)
		<-h.exited
		if s == syscall.SIGTERM {
			return Error.New("%s has not stopped %s after SIGTERM", h.settings.Name, stopLimit)
		}
	}
	return h.start(d.deployment.binary)
}

// kill takes a host's process away until the fault ends.
func (d *disturber) kill(h *host) func() error {
	h.signal(syscall.SIGKILL)
	return func() error { return d.restart(h, syscall.SIGKILL) }
}

func (d *disturber) freeze(h *host) func() error {
	h.signal(syscall.SIGSTOP)
	return func() error { h.signal(syscall.SIGCONT); return nil }
}

func setAll(mode relay.Mode, ways ...*relay.Relay) func() error {
	for _, way := range ways {
		way.Set(mode)
	}
	return func() error {
		for _, way := range ways {
			way.Set(relay.Pass)
		}
		return nil
	}
}

func (d *disturber) someMode() relay.Mode {
	modes := []relay.Mode{relay.Cut, relay.HalfOpen, relay.OneWay, relay.Slow}
	return modes[d.random.IntN(len(modes))]
}

// mostTornBytes bounds what a loss of power leaves behind the last sync.
const mostTornBytes = 200

// tear appends to the newest file of a disk what a write that was under way
// when power was lost may leave there.
func (d *disturber) tear(h *host) error {
	files, err := filepath.Glob(filepath.Join(h.settings.DataDir, "*.log"))
	if err != nil || len(files) == 0 {
		return Error.Wrap(err)
	}
	file, err := os.OpenFile(slices.Max(files), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	torn := make([]byte, 1+d.random.IntN(mostTornBytes))
	for i := range torn {
		torn[i] = byte(d.random.Uint32())
	}
	_, err = file.Write(torn)
	return Error.Wrap(errors.Join(err, file.Close()))
}

var faults = []fault{
	{name: "kill", start: func(d *disturber) (func() error, string) {
		h := d.front()
		return d.kill(h), h.settings.Name
	}},
	{name: "freeze", start: func(d *disturber) (func() error, string) {
		h := d.front()
		return d.freeze(h), h.settings.Name
	}},
	{name: "planned stop", start: func(d *disturber) (func() error, string) {
		h := d.front()
		h.signal(syscall.SIGTERM)
		return func() error { return d.restart(h, syscall.SIGTERM) }, h.settings.Name
	}},
	{name: "settings read again", start: func(d *disturber) (func() error, string) {
		h := d.front()
		h.signal(syscall.SIGHUP)
		return func() error { return nil }, h.settings.Name
	}},
	{name: "cut from the platform", start: func(d *disturber) (func() error, string) {
		h := d.front()
		return setAll(d.someMode(), h.platform), h.settings.Name
	}},
	{name: "platform lost", start: func(d *disturber) (func() error, string) {
		var ways []*relay.Relay
		for _, h := range d.deployment.hosts() {
			ways = append(ways, h.platform)
		}
		return setAll(d.someMode(), ways...), "by all"
	}},
	{name: "clients cut", start: func(d *disturber) (func() error, string) {
		h := d.front()
		return setAll(d.someMode(), h.clients), h.settings.Name
	}},
	{name: "backend server cut", start: func(d *disturber) (func() error, string) {
		return setAll(d.someMode(), d.deployment.route), ""
	}},
	{name: "kill", store: true, start: func(d *disturber) (func() error, string) {
		h := d.aStore()
		return d.kill(h), h.settings.Name
	}},
	{name: "power lost", store: true, start: func(d *disturber) (func() error, string) {
		h := d.aStore()
		h.signal(syscall.SIGKILL)
		return func() error {
			<-h.exited
			if err := d.tear(h); err != nil {
				return err
			}
			return d.restart(h, syscall.SIGKILL)
		}, h.settings.Name
	}},
	{name: "freeze", store: true, start: func(d *disturber) (func() error, string) {
		h := d.aStore()
		return d.freeze(h), h.settings.Name
	}},
	{name: "disk lost", store: true, start: func(d *disturber) (func() error, string) {
		h := d.aStore()
		h.signal(syscall.SIGKILL)
		return func() error {
			<-h.exited
			h.settings.DataDir = d.deployment.newDisk()
			return d.restart(h, syscall.SIGKILL)
		}, h.settings.Name
	}},
	{name: "all killed", store: true, start: func(d *disturber) (func() error, string) {
		all := d.deployment.hosts()
		for _, h := range all {
			h.signal(syscall.SIGKILL)
		}
		return func() error {
			for _, h := range all {
				if err := d.restart(h, syscall.SIGKILL); err != nil {
					return err
				}
			}
			return nil
		}, ""
	}},
}
