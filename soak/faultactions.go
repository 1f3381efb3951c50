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
	// timedProgramsPerKill is the number of programs whose recovery is timed
	// after a node is killed.
	timedProgramsPerKill = 3
	// maxProgramIDTries bounds the program ids that are tried in search of ones
	// that a node owns.
	maxProgramIDTries = 400
	// recoveryTimeout bounds the wait until a program is served again.
	recoveryTimeout = 25 * time.Second
	// recoveryCallDeadline is the deadline of each call that checks whether a
	// program is served again.
	recoveryCallDeadline = 2 * time.Second
	// leaveBound is the time after which an engine that is shown as leaving must
	// start no further call (design page, section 1.2, guarantee G8).
	leaveBound = 3 * time.Second
	// hostListAge is the delay with which the platform emulator shows changes of
	// the host list.
	hostListAge = time.Second
	// poisonRequests is the number of programs that send the same crashing
	// prompt.
	poisonRequests = 5
	// maxPoisonCrashes is the number of engine crashes that one prompt may cause
	// (design page, section 4.5).
	maxPoisonCrashes = 2
)

// faultName returns a name that is unique in the run. The ids of the programs
// that a fault starts begin with it.
func faultName(seed uint64, step, i int) string { return fmt.Sprintf("s%d-f%d-%d", seed, step, i) }

// killNode kills a node with SIGKILL, times the recovery of programs that it
// owned, and starts it again.
func (r *run) killNode(ctx context.Context, f fault) {
	pause(ctx, f.killDelay)
	f.node.process.signal(syscall.SIGKILL)
	killed := r.since()
	<-f.node.process.exited
	var wg sync.WaitGroup
	for _, id := range f.timedPrograms {
		wg.Go(func() { r.timeRecovery(ctx, f.node.id, id, killed) })
	}
	pause(ctx, f.duration)
	r.restartNode(ctx, f.node, f.newAddress)
	wg.Wait()
}

// startOwnedPrograms starts up to timedProgramsPerKill programs that the node
// owns, and returns their ids.
func (r *run) startOwnedPrograms(ctx context.Context, n *node, name string) []string {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	apiClient := r.deployment.client()
	var found []string
	for i := 0; i < maxProgramIDTries && len(found) < timedProgramsPerKill && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-k%d", name, i)
		var owner api.Address
		url := r.deployment.urls()[i%len(r.deployment.nodes)]
		if getJSON(ctx, url+"/v1/address?program="+id, &owner) != nil || owner.Address != n.url() {
			continue
		}
		reply, err := apiClient.Start(ctx, api.StartRequest{ID: id, Class: agentClass})
		if err == nil && reply.Outcome.Code == outcome.Completed {
			r.recorder.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
			found = append(found, id)
		}
	}
	return found
}

// timeRecovery repeats a call of a program until it completes, and records when
// that was.
func (r *run) timeRecovery(ctx context.Context, nodeID, id string, killed check.Offset) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	c := &caller{run: r, random: r.newRand(2), transport: newTransport()}
	c.client = client.New(client.Config{Nodes: r.deployment.urls(), Key: tenantKey, Transport: c.transport})
	result := check.Recovery{Node: nodeID, Program: id, Killed: killed, Failed: true}
	t := turn{body: modelCall(id, "r1", 1, id+" asks whether it is served")}
	t.body.MaxTokens = 1
	for ctx.Err() == nil {
		t.body.DeadlineMS = recoveryCallDeadline.Milliseconds()
		observed, err := c.call(ctx, id, t)
		if err == nil && observed.Code == outcome.Completed {
			result.Served, result.Failed = r.since(), false
			break
		}
		pause(ctx, 20*time.Millisecond)
	}
	r.recorder.add(func(h *check.History) { h.Recoveries = append(h.Recoveries, result) })
}

// injectPlatformFault makes the platform slow, makes it refuse or hang, or loses
// its responses to writes.
func (r *run) injectPlatformFault(ctx context.Context, f fault) {
	faults := platformserver.Faults{}
	duration := f.duration
	switch {
	case f.kind == SlowPlatform:
		faults.DelayMS = 200
	case f.kind == LosePlatformResponses:
		faults.LoseProbability = 0.3
	case f.hang:
		faults.Outage = platformserver.OutageHang
		duration *= 2
	default:
		faults.Outage = platformserver.OutageRefuse
		duration *= 2
	}
	r.setPlatformFaults(faults)
	pause(ctx, duration)
	r.setPlatformFaults(platformserver.Faults{})
}

func (r *run) setPlatformFaults(faults platformserver.Faults) {
	if err := r.deployment.platform.SetFaults(faults); err != nil {
		r.config.Log.Error("soak: platform emulator cannot listen again", "error", err)
	}
}

// injectEngineFault crashes an engine or slows it down.
func (r *run) injectEngineFault(ctx context.Context, f fault) {
	if f.kind == CrashEngine {
		r.setEngineSwitches(ctx, f.backend, engine.Switches{CrashNow: true})
		return
	}
	slowFactor, normalFactor := 5.0, 1.0
	r.setEngineSwitches(ctx, f.backend, engine.Switches{SlowFactor: &slowFactor})
	pause(ctx, f.duration)
	r.setEngineSwitches(ctx, f.backend, engine.Switches{SlowFactor: &normalFactor})
}

func (r *run) setEngineSwitches(ctx context.Context, b *backend, switches engine.Switches) {
	if err := b.engine.ApplySwitches(ctx, switches); err != nil {
		r.config.Log.Error("soak: cannot set fault switches of engine emulator", "engine", b.name, "error", err)
	}
}

// showEngineLeaving shows an engine as leaving in the host list and records how
// many calls it has started at leaveBound and when it is shown as live again.
func (r *run) showEngineLeaving(ctx context.Context, f fault) {
	r.deployment.platform.SetHosts(r.deployment.hosts(f.backend))
	pause(ctx, hostListAge) // from now on the list shows the engine as leaving
	record := check.EngineLeave{Engine: f.backend.name, ShownAt: r.since()}
	pause(ctx, leaveBound)
	before, err := engineLoad(ctx, f.backend)
	pause(ctx, f.duration)
	after, afterErr := engineLoad(ctx, f.backend)
	record.RestoredAt = r.since()
	r.deployment.platform.SetHosts(r.deployment.hosts(nil))
	if err != nil || afterErr != nil || before.StartID != after.StartID {
		return // the engine crashed in between, which reset its counts
	}
	record.StartedAtBound, record.StartedAtEnd = before.Totals.Started, after.Totals.Started
	r.recorder.add(func(h *check.History) { h.EngineLeaves = append(h.EngineLeaves, record) })
	pause(ctx, hostListAge)
}

// engineLoad reads the load report of an engine, which holds its start id and
// its counts since that start.
func engineLoad(ctx context.Context, b *backend) (engine.LoadReport, error) {
	var report engine.LoadReport
	err := getJSON(ctx, b.engine.URL()+"/load", &report)
	return report, err
}

// raceWrites lets two operators write the probe tenant concurrently.
func (r *run) raceWrites(ctx context.Context, f fault) {
	var wg sync.WaitGroup
	for i, operator := range []string{"operator-a", "operator-b"} {
		wg.Go(func() {
			for k := range 5 {
				r.writeProbe(ctx, operator, 1_000_000+int(f.duration.Milliseconds())*100+10*k+i)
			}
		})
	}
	wg.Wait()
}

// sendPoisonPrompts sends a prompt that crashes engines from several programs
// under new request ids, and records the number of crashes. It counts the
// crashes of all engines, whatever their cause, so no other fault that crashes
// engines may run at the same time; see exclusiveResource.
func (r *run) sendPoisonPrompts(ctx context.Context, f fault) {
	c := &caller{run: r, random: r.newRand(3), transport: newTransport()}
	before := r.countEngineStarts(ctx)
	text := crashMarker + " " + f.name
	for i := range poisonRequests {
		c.client = client.New(client.Config{Nodes: r.deployment.urls(), Key: tenantKey, Transport: c.transport})
		id := fmt.Sprintf("%s-x%d", f.name, i)
		reply, err := c.client.Start(ctx, api.StartRequest{ID: id, Class: agentClass, DeadlineMS: requestDeadline.Milliseconds()})
		if err != nil || reply.Outcome.Code != outcome.Completed {
			continue
		}
		r.recorder.add(func(h *check.History) { h.Programs = append(h.Programs, check.Program{ID: id}) })
		t := turn{body: modelCall(id, fmt.Sprintf("x%d", i), 1, text)}
		t.body.DeadlineMS = callDeadline.Milliseconds()
		if _, err := c.call(ctx, id, t); err != nil {
			return
		}
		pause(ctx, time.Second)
	}
	crashes := r.countEngineStarts(ctx) - before
	r.recorder.add(func(h *check.History) {
		h.CrashingPrompts = append(h.CrashingPrompts, check.CrashingPrompt{Text: text, Crashes: crashes, Allowed: maxPoisonCrashes})
	})
}

// countEngineStarts returns the total number of starts of all engines. It waits
// for engines that are down.
func (r *run) countEngineStarts(ctx context.Context) int {
	total := 0
	for _, b := range r.deployment.engines {
		report, err := engineLoad(ctx, b)
		for err != nil && pause(ctx, 50*time.Millisecond) {
			report, err = engineLoad(ctx, b)
		}
		total += startCount(report.StartID)
	}
	return total
}

// startCount returns the number of starts that a start id of an engine contains.
// The id has the form NAME-COUNT-RANDOM, where NAME may contain dashes.
func startCount(startID string) int {
	parts := strings.Split(startID, "-")
	if len(parts) < 3 {
		return math.MinInt32
	}
	count, _ := strconv.Atoi(parts[len(parts)-2]) // always a number, because the engine emulator made it
	return count
}
