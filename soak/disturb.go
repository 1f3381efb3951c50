package soak

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/platformserver"
	"dogwoodline.example/outcome"
	"dogwoodline.example/soak/check"
)

const (
	// probesAKill is the number of programs whose recovery is timed.
	probesAKill = 3
	// probeTries bounds the search for program ids that a node owns.
	probeTries = 400
	// recoveryWait bounds the wait for a recovery.
	recoveryWait = 25 * time.Second
	// probeDeadline bounds one try of a recovery.
	probeDeadline = 2 * time.Second
	// leaveBound is the time after which a leaving engine starts no call
	// (design page, section 1.2, G8).
	leaveBound = 3 * time.Second
	// hostLag is the age of the host list of the platform stand-in.
	hostLag = time.Second
	// poisonRepeats is how often a caller repeats a crashing prompt.
	poisonRepeats = 5
	// poisonAllowed is the number of engines that one prompt may crash
	// (design page, section 4.5).
	poisonAllowed = 2
)

func stepName(seed uint64, step, i int) string { return fmt.Sprintf("s%d-f%d-%d", seed, step, i) }

// kill ends a node at once, times the recovery of programs that it owned, and
// starts it again.
func (r *run) kill(ctx context.Context, f fault) {
	pause(ctx, f.wait)
	f.node.current.signal(syscall.SIGKILL)
	killed := r.since()
	<-f.node.current.exited
	var all sync.WaitGroup
	for _, id := range f.probes {
		all.Go(func() { r.recover(ctx, f.node.id, id, killed) })
	}
	pause(ctx, f.length)
	r.restart(ctx, f.node, f.elsewhere)
	all.Wait()
}

// ownedBy starts programs that the node owns.
func (r *run) ownedBy(ctx context.Context, n *node, name string) []string {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	nodes := r.deploy.client()
	var found []string
	for i := 0; i < probeTries && len(found) < probesAKill && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-k%d", name, i)
		var answer api.Address
		url := r.deploy.urls()[i%len(r.deploy.nodes)]
		if fetch(ctx, url+"/v1/address?program="+id, &answer) != nil || answer.Address != n.url() {
			continue
		}
		reply, err := nodes.Start(ctx, api.StartRequest{ID: id, Class: agentClass})
		if err == nil && reply.Outcome.Code == outcome.Completed {
			r.record.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
			found = append(found, id)
		}
	}
	return found
}

// recover calls a program until it is served, and records when.
func (r *run) recover(ctx context.Context, victim, id string, killed check.At) {
	ctx, cancel := context.WithTimeout(ctx, recoveryWait)
	defer cancel()
	c := &caller{run: r, random: r.random(2), transport: newTransport()}
	c.client = client.New(client.Config{Nodes: r.deploy.urls(), Key: tenantKey, Transport: c.transport})
	result := check.Recovery{Node: victim, Program: id, Killed: killed, Failed: true}
	t := turn{body: question(id, "r1", 1, id+" asks whether it is served")}
	t.body.MaxTokens = 1
	for ctx.Err() == nil {
		t.body.DeadlineMS = probeDeadline.Milliseconds()
		told, err := c.call(ctx, id, t)
		if err == nil && told.Code == outcome.Completed {
			result.Served, result.Failed = r.since(), false
			break
		}
		pause(ctx, 20*time.Millisecond)
	}
	r.record.add(func(h *check.History) { h.Recoveries = append(h.Recoveries, result) })
}

// disturbPlatform makes the platform slow or silent, or loses its answers.
func (r *run) disturbPlatform(ctx context.Context, f fault) {
	faults := platformserver.Faults{}
	length := f.length
	switch {
	case f.kind == Slow:
		faults.DelayMS = 200
	case f.kind == Lost:
		faults.LoseProbability = 0.3
	case f.half:
		faults.Outage = platformserver.OutageHang
		length *= 2
	default:
		faults.Outage = platformserver.OutageRefuse
		length *= 2
	}
	r.setPlatform(faults)
	pause(ctx, length)
	r.setPlatform(platformserver.Faults{})
}

func (r *run) setPlatform(faults platformserver.Faults) {
	if err := r.deploy.platform.SetFaults(faults); err != nil {
		r.config.Log.Error("soak: platform stand-in does not listen again", "error", err)
	}
}

// disturbEngine crashes an engine or slows it.
func (r *run) disturbEngine(ctx context.Context, f fault) {
	if f.kind == CrashEngine {
		r.setEngine(ctx, f.backend, engine.Switches{CrashNow: true})
		return
	}
	slow, full := 5.0, 1.0
	r.setEngine(ctx, f.backend, engine.Switches{SlowFactor: &slow})
	pause(ctx, f.length)
	r.setEngine(ctx, f.backend, engine.Switches{SlowFactor: &full})
}

func (r *run) setEngine(ctx context.Context, b *backend, switches engine.Switches) {
	if err := b.engine.ApplySwitches(ctx, switches); err != nil {
		r.config.Log.Error("soak: engine stand-in takes no switch", "engine", b.name, "error", err)
	}
}

// leave shows an engine as leaving and counts the calls that it starts after
// the bound.
func (r *run) leave(ctx context.Context, f fault) {
	r.deploy.platform.SetHosts(r.deploy.hosts(f.backend))
	pause(ctx, hostLag) // from here on the list shows it
	record := check.Leave{Engine: f.backend.name, Shown: r.since()}
	pause(ctx, leaveBound)
	before, err := totals(ctx, f.backend)
	pause(ctx, f.length)
	after, failed := totals(ctx, f.backend)
	record.Back = r.since()
	r.deploy.platform.SetHosts(r.deploy.hosts(nil))
	if err != nil || failed != nil || before.StartID != after.StartID {
		return // the engine crashed meanwhile and its counts began again
	}
	record.StartedAtBound, record.StartedAtEnd = before.Totals.Started, after.Totals.Started
	r.record.add(func(h *check.History) { h.Leaves = append(h.Leaves, record) })
	pause(ctx, hostLag)
}

func totals(ctx context.Context, b *backend) (engine.LoadReport, error) {
	var report engine.LoadReport
	err := fetch(ctx, b.engine.URL()+"/load", &report)
	return report, err
}

// race lets two operators write one resource at the same time.
func (r *run) race(ctx context.Context, f fault) {
	var all sync.WaitGroup
	for i, operator := range []string{"operator-a", "operator-b"} {
		all.Go(func() {
			for k := range 5 {
				r.write(ctx, operator, 1_000_000+int(f.length.Milliseconds())*100+10*k+i)
			}
		})
	}
	all.Wait()
}

// poison sends a prompt that crashes engines, and repeats it in new programs
// under new request ids. Engine crashes of other faults are not told apart, so
// the count is used when no other engine fault runs.
func (r *run) poison(ctx context.Context, f fault) {
	c := &caller{run: r, random: r.random(3), transport: newTransport()}
	before := r.engineStarts(ctx)
	text := crashMarker + " " + f.name
	for i := range poisonRepeats {
		c.client = client.New(client.Config{Nodes: r.deploy.urls(), Key: tenantKey, Transport: c.transport})
		id := fmt.Sprintf("%s-x%d", f.name, i)
		reply, err := c.client.Start(ctx, api.StartRequest{ID: id, Class: agentClass, DeadlineMS: requestDeadline.Milliseconds()})
		if err != nil || reply.Outcome.Code != outcome.Completed {
			continue
		}
		r.record.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
		t := turn{body: question(id, fmt.Sprintf("x%d", i), 1, text)}
		t.body.DeadlineMS = callDeadline.Milliseconds()
		if _, err := c.call(ctx, id, t); err != nil {
			return
		}
		pause(ctx, time.Second)
	}
	crashes := r.engineStarts(ctx) - before
	r.record.add(func(h *check.History) {
		h.Poisons = append(h.Poisons, check.Poison{Text: text, Crashes: crashes, Allowed: poisonAllowed})
	})
}

// engineStarts returns how often all engines have started. It waits for those
// that are down.
func (r *run) engineStarts(ctx context.Context) int {
	total := 0
	for _, b := range r.deploy.engines {
		report, err := totals(ctx, b)
		for err != nil && pause(ctx, 50*time.Millisecond) {
			report, err = totals(ctx, b)
		}
		total += startsOf(report.StartID)
	}
	return total
}

// startsOf reads the count in a start id: name, count and a random part with
// dashes between them.
func startsOf(startID string) int {
	parts := strings.Split(startID, "-")
	if len(parts) < 3 {
		return math.MinInt32
	}
	count, _ := strconv.Atoi(parts[len(parts)-2]) // made by the stand-in of this process
	return count
}
