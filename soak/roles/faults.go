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
	// maxFaultGap bounds the pause before the next fault is chosen, and
	// maxFaultDuration bounds the duration of a fault. The pause is shorter, so
	// that faults overlap.
	maxFaultGap      = 700 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// storeFaultGap is the time from the end of a fault of a store to the start
	// of the next one, because the deployment tolerates the loss of only one
	// store or disk at a time. It covers the time until another member has
	// replaced the lost one and the time that the users allow that member for
	// catching up.
	storeFaultGap = 8 * time.Second
	// stopTimeout bounds the time that a planned stop may take.
	stopTimeout = 8 * time.Second
)

// fault is a kind of fault. start begins it and returns the function that ends
// it and a description of its target.
type fault struct {
	name       string
	losesStore bool // makes at least one store unavailable
	start      func(inj *faultInjector) (end func() error, target string)
}

// faultInjector injects random faults into a deployment.
type faultInjector struct {
	deployment    *deployment
	random        *rand.Rand
	log           *slog.Logger
	storeFaultEnd time.Time // end of the latest fault that made a store unavailable
	unaware       []span    // while a front could not hear of a new configuration
}

// activeFault is a fault that has begun and not yet ended.
type activeFault struct {
	until time.Time
	end   func() error
}

// run injects faults for the given duration and then ends those still active.
// It returns a line for each injected fault.
func (inj *faultInjector) run(ctx context.Context, duration time.Duration) ([]string, error) {
	start := time.Now()
	var injected []string
	var active []activeFault
	for ctx.Err() == nil {
		now := time.Now()
		expired := now.Sub(start) >= duration
		remaining := active[:0]
		for _, a := range active {
			if !expired && now.Before(a.until) {
				remaining = append(remaining, a)
			} else if err := a.end(); err != nil {
				return injected, err
			}
		}
		active = remaining
		if expired {
			return injected, nil
		}
		f := faults[inj.random.IntN(len(faults))]
		length := time.Duration(inj.random.Int64N(int64(maxFaultDuration)))
		gap := time.Duration(inj.random.Int64N(int64(maxFaultGap)))
		if !f.losesStore || now.Sub(inj.storeFaultEnd) > storeFaultGap {
			if f.losesStore {
				inj.storeFaultEnd = now.Add(length)
			}
			end, target := f.start(inj)
			line := fmt.Sprintf("%6.2f s for %.2f s: %s %s", now.Sub(start).Seconds(), length.Seconds(), f.name, target)
			inj.log.Info("soak: fault", "what", line)
			injected, active = append(injected, line), append(active, activeFault{until: now.Add(length), end: end})
		}
		if pause(ctx, gap) != nil {
			break
		}
	}
	return injected, ctx.Err()
}

func (inj *faultInjector) randomFront() *host {
	return inj.deployment.fronts[inj.random.IntN(len(inj.deployment.fronts))]
}

func (inj *faultInjector) randomStore() *host {
	return inj.deployment.stores[inj.random.IntN(len(inj.deployment.stores))]
}

// restart sends the signal to the process of a host, if it is still running,
// waits for its exit and starts it again.
func (inj *faultInjector) restart(h *host, s syscall.Signal) error {
	h.signal(syscall.SIGCONT)
	h.signal(s)
	select {
	case <-h.exited:
	case <-time.After(stopTimeout):
		h.signal(syscall.SIGKILL)
		<-h.exited
		if s == syscall.SIGTERM {
			return Error.New("%s did not stop within %s after SIGTERM", h.settings.Name, stopTimeout)
		}
	}
	return h.start(inj.deployment.binary)
}

// kill kills the process of a host and returns the function that restarts it.
func (inj *faultInjector) kill(h *host) func() error {
	h.signal(syscall.SIGKILL)
	return func() error { return inj.restart(h, syscall.SIGKILL) }
}

// freeze suspends the process of a host and returns the function that resumes
// it.
func (inj *faultInjector) freeze(h *host) func() error {
	h.signal(syscall.SIGSTOP)
	return func() error { h.signal(syscall.SIGCONT); return nil }
}

// setMode sets the mode of the relays and returns the function that sets them
// back to relay.Pass.
func setMode(mode relay.Mode, relays ...*relay.Relay) func() error {
	for _, r := range relays {
		r.SetMode(mode)
	}
	return func() error {
		for _, r := range relays {
			r.SetMode(relay.Pass)
		}
		return nil
	}
}

// randomMode returns a mode other than relay.Pass.
func (inj *faultInjector) randomMode() relay.Mode {
	modes := []relay.Mode{relay.Cut, relay.HalfOpen, relay.OneWay, relay.Slow}
	return modes[inj.random.IntN(len(modes))]
}

// maxTornBytes bounds the bytes that a power loss leaves after the last synced
// byte of a file.
const maxTornBytes = 200

// appendTornWrite appends random bytes to the newest log file of a store, as a
// write that was interrupted by a power loss may leave them.
func (inj *faultInjector) appendTornWrite(h *host) error {
	files, err := filepath.Glob(filepath.Join(h.settings.DataDir, "*.log"))
	if err != nil || len(files) == 0 {
		return Error.Wrap(err)
	}
	file, err := os.OpenFile(slices.Max(files), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	torn := make([]byte, 1+inj.random.IntN(maxTornBytes))
	for i := range torn {
		torn[i] = byte(inj.random.Uint32())
	}
	_, err = file.Write(torn)
	return Error.Wrap(errors.Join(err, file.Close()))
}

// faults lists all kinds of faults. Those of links use a random relay mode.
var faults = []fault{
	{name: "kill", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		return inj.kill(h), h.settings.Name
	}},
	{name: "freeze", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		return inj.noteUnaware(inj.freeze(h)), h.settings.Name
	}},
	{name: "planned stop", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		h.signal(syscall.SIGTERM)
		return func() error { return inj.restart(h, syscall.SIGTERM) }, h.settings.Name
	}},
	{name: "settings reload", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		h.signal(syscall.SIGHUP)
		return func() error { return nil }, h.settings.Name
	}},
	{name: "platform link fault", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		return setMode(inj.randomMode(), h.platformRelay), h.settings.Name
	}},
	{name: "platform link fault", start: func(inj *faultInjector) (func() error, string) {
		var relays []*relay.Relay
		for _, h := range inj.deployment.hosts() {
			relays = append(relays, h.platformRelay)
		}
		return inj.noteUnaware(setMode(inj.randomMode(), relays...)), "all hosts"
	}},
	{name: "client link fault", start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomFront()
		return setMode(inj.randomMode(), h.clientRelay), h.settings.Name
	}},
	{name: "backend server link fault", start: func(inj *faultInjector) (func() error, string) {
		return setMode(inj.randomMode(), inj.deployment.backendRelay), ""
	}},
	{name: "kill", losesStore: true, start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomStore()
		return inj.kill(h), h.settings.Name
	}},
	{name: "power loss", losesStore: true, start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomStore()
		h.signal(syscall.SIGKILL)
		return func() error {
			<-h.exited
			if err := inj.appendTornWrite(h); err != nil {
				return err
			}
			return inj.restart(h, syscall.SIGKILL)
		}, h.settings.Name
	}},
	{name: "freeze", losesStore: true, start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomStore()
		return inj.freeze(h), h.settings.Name
	}},
	{name: "disk loss", losesStore: true, start: func(inj *faultInjector) (func() error, string) {
		h := inj.randomStore()
		h.signal(syscall.SIGKILL)
		return func() error {
			<-h.exited
			h.settings.DataDir = inj.deployment.newDataDir()
			return inj.restart(h, syscall.SIGKILL)
		}, h.settings.Name
	}},
	{name: "kill of all processes", losesStore: true, start: func(inj *faultInjector) (func() error, string) {
		all := inj.deployment.hosts()
		for _, h := range all {
			h.signal(syscall.SIGKILL)
		}
		return func() error {
			for _, h := range all {
				if err := inj.restart(h, syscall.SIGKILL); err != nil {
					return err
				}
			}
			return nil
		}, ""
	}},
}
