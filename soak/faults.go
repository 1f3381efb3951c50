package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"dogwoodline.example/soak/check"
	"dogwoodline.example/soak/relay"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults. KillNode, FreezeNode, StopNode and RollingRestart act on node processes. The
// Cut kinds and HalfOpenPath act on the network paths through the relays. SlowPlatform,
// PlatformOutage and LosePlatformResponses act on the platform. EngineLeaving, CrashEngine, SlowEngine and CrashingPrompt
// act on engines. RacingWrites lets two operators write the same resource.
const (
	KillNode              FaultKind = "kill"
	FreezeNode            FaultKind = "freeze"
	CutPlatform           FaultKind = "cut-platform"
	CutPeers              FaultKind = "cut-peers"
	CutCallers            FaultKind = "cut-callers"
	CutEngine             FaultKind = "cut-engine"
	CutLedger             FaultKind = "cut-ledger"
	HalfOpenPath          FaultKind = "half-open"
	SlowPlatform          FaultKind = "slow"
	PlatformOutage        FaultKind = "outage"
	LosePlatformResponses FaultKind = "lost"
	EngineLeaving         FaultKind = "leave"
	RacingWrites          FaultKind = "race"
	CrashEngine           FaultKind = "engine-crash"
	SlowEngine            FaultKind = "engine-slow"
	CrashingPrompt        FaultKind = "poison"
	StopNode              FaultKind = "stop"
	RollingRestart        FaultKind = "roll"
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	KillNode, FreezeNode, CutPlatform, CutPeers, CutCallers, CutEngine, CutLedger, HalfOpenPath, SlowPlatform, PlatformOutage, LosePlatformResponses, EngineLeaving, RacingWrites,
	CrashEngine, SlowEngine, CrashingPrompt, StopNode, RollingRestart,
}

// validateKinds returns an error if a kind is not in Kinds.
func validateKinds(kinds []FaultKind) error {
	for _, k := range kinds {
		if !slices.Contains(FaultKinds, k) {
			return Error.New("unknown kind of fault %q, known kinds are %v", k, FaultKinds)
		}
	}
	return nil
}

const (
	// firstStepDelay is the time from the start of the callers to the first
	// step.
	firstStepDelay = time.Second
	// maxStepPause is the longest pause between two steps.
	maxStepPause = 3 * time.Second
	// minFaultDuration is the shortest duration of a fault. It is long enough
	// that a slow platform is still slow when a node is killed in the same step.
	minFaultDuration = 2 * time.Second
	// stopTimeout bounds a planned stop of a node.
	stopTimeout = 35 * time.Second
	// readyTimeout bounds the wait until a restarted node is ready.
	readyTimeout = 15 * time.Second
)

// fault is one fault of a step. All random choices are made before the faults of
// the step begin, so that the choices do not depend on the order in which the
// faults end.
type fault struct {
	kind     FaultKind
	node     *node
	backend  *backend
	duration time.Duration
	// hang makes connections half-open instead of resetting them, and makes an
	// outage leave requests unanswered instead of refusing them.
	hang       bool
	newAddress bool // the node restarts under new addresses
	pathIndex  int  // the path that HalfOpen acts on
	name       string
	// killDelay gives the other faults of the step time to take effect before a
	// node is killed.
	killDelay     time.Duration
	timedPrograms []string // programs of the killed node whose recovery is timed
}

// injectFaults runs the scripted steps of faults, and then random steps until
// startCtx ends. A step begins when all faults of the step before have ended.
func (r *run) injectFaults(ctx, startCtx context.Context) error {
	random := r.newRand(1)
	if !pause(ctx, firstStepDelay) {
		return nil
	}
	for step, kinds := range r.config.ScriptedSteps {
		r.runStep(ctx, r.newFaults(random, kinds, step))
		pause(ctx, time.Duration(random.Int64N(int64(maxStepPause))))
	}
	for step := len(r.config.ScriptedSteps); startCtx.Err() == nil && len(r.config.Faults) > 0; step++ {
		var kinds []FaultKind
		for range 1 + random.IntN(r.config.MaxFaultsPerStep) {
			kinds = append(kinds, r.config.Faults[random.IntN(len(r.config.Faults))])
		}
		r.runStep(ctx, r.newFaults(random, kinds, step))
		pause(startCtx, time.Duration(random.Int64N(int64(maxStepPause))))
	}
	return nil
}

// newFaults chooses the targets and parameters of the faults of a step at random.
// Faults of a step that act on node processes get different nodes, as long as
// there are enough nodes.
func (r *run) newFaults(random *rand.Rand, kinds []FaultKind, step int) []fault {
	nodeOrder := random.Perm(len(r.deployment.nodes))
	var faults []fault
	for i, kind := range kinds {
		if kind == RollingRestart && len(kinds) > 1 {
			kind = StopNode // a rolling restart would also act on the targets of the other faults
		}
		faults = append(faults, fault{
			kind: kind, node: r.deployment.nodes[nodeOrder[i%len(nodeOrder)]],
			backend:    r.deployment.engines[random.IntN(len(r.deployment.engines))],
			duration:   minFaultDuration + time.Duration(random.Int64N(int64(r.config.Lease+time.Second))),
			hang:       random.IntN(2) == 0,
			newAddress: random.IntN(3) == 0,
			pathIndex:  random.IntN(5),
			name:       faultName(r.config.Seed, step, i),
			killDelay:  time.Duration(len(kinds)-1) * time.Duration(random.Int64N(int64(time.Second))),
		})
	}
	return faults
}

// runStep injects the faults of a step concurrently and waits until all have
// ended. Of several faults that need the same exclusive resource it injects only
// the first.
func (r *run) runStep(ctx context.Context, faults []fault) {
	for i := range faults {
		if faults[i].kind == KillNode {
			faults[i].timedPrograms = r.startOwnedPrograms(ctx, faults[i].node, faults[i].name)
		}
	}
	var wg sync.WaitGroup
	var inUse []string
	for _, f := range faults {
		exclusive := f.exclusiveResource()
		if exclusive != "" && slices.Contains(inUse, exclusive) {
			continue
		}
		inUse = append(inUse, exclusive)
		wg.Go(func() {
			record := check.Fault{Kind: string(f.kind), Target: f.target(), Begin: r.since()}
			r.config.Log.Info("soak: fault begins", "kind", f.kind, "target", record.Target)
			r.inject(ctx, f)
			record.End = r.since()
			r.config.Log.Info("soak: fault ended", "kind", f.kind, "target", record.Target)
			r.recorder.addFault(record)
		})
	}
	wg.Wait()
}

// exclusiveResource names what only one fault of a step can use: the fault
// switches of the platform, the host list, or the count of engine crashes. It is
// empty for other faults.
func (f fault) exclusiveResource() string {
	switch f.kind {
	case SlowPlatform, PlatformOutage, LosePlatformResponses:
		return "platform"
	case EngineLeaving:
		return "hosts"
	case CrashingPrompt, CrashEngine:
		return "crashes"
	default:
		return ""
	}
}

// target names what the fault acts on, for the log and the history.
func (f fault) target() string {
	switch f.kind {
	case KillNode, FreezeNode, CutPlatform, CutPeers, CutCallers, StopNode, HalfOpenPath:
		return f.node.id
	case CutEngine, EngineLeaving, CrashEngine, SlowEngine:
		return f.backend.name
	case CutLedger:
		return "ledger"
	case SlowPlatform, PlatformOutage, LosePlatformResponses:
		return "platform"
	case RacingWrites, CrashingPrompt, RollingRestart:
	}
	return "all"
}

// inject runs one fault to its end.
func (r *run) inject(ctx context.Context, f fault) {
	switch f.kind {
	case KillNode:
		r.killNode(ctx, f)
	case FreezeNode:
		f.node.process.signal(syscall.SIGSTOP)
		pause(ctx, r.config.Lease+f.duration)
		f.node.process.signal(syscall.SIGCONT)
	case CutPlatform:
		r.cutPath(ctx, f, f.node.platformRelay)
	case CutPeers:
		r.cutPath(ctx, f, f.node.peerRelay)
	case CutCallers:
		r.cutPath(ctx, f, f.node.callerRelay)
	case CutEngine:
		r.cutPath(ctx, f, f.backend.relay)
	case CutLedger:
		r.cutPath(ctx, f, r.deployment.ledgerRelay)
	case HalfOpenPath:
		f.hang = true
		paths := []*relay.Relay{f.node.platformRelay, f.node.peerRelay, f.node.callerRelay, f.backend.relay, r.deployment.ledgerRelay}
		r.cutPath(ctx, f, paths[f.pathIndex])
	case SlowPlatform, PlatformOutage, LosePlatformResponses:
		r.injectPlatformFault(ctx, f)
	case EngineLeaving:
		r.showEngineLeaving(ctx, f)
	case RacingWrites:
		r.raceWrites(ctx, f)
	case CrashEngine, SlowEngine:
		r.injectEngineFault(ctx, f)
	case CrashingPrompt:
		r.sendPoisonPrompts(ctx, f)
	case StopNode:
		r.stopNode(ctx, f.node, f.newAddress)
	case RollingRestart:
		for _, n := range r.deployment.nodes {
			r.stopNode(ctx, n, f.newAddress)
		}
	}
}

// cutPath breaks the path through a relay for the duration of the fault.
func (r *run) cutPath(ctx context.Context, f fault, path *relay.Relay) {
	mode := relay.Cut
	if f.hang {
		mode = relay.HalfOpen
	}
	path.SetMode(mode)
	pause(ctx, f.duration)
	path.SetMode(relay.Pass)
}

// stopNode makes a planned stop of a node with SIGTERM, records it and starts the
// node again. A node that does not exit within stopTimeout is killed and recorded
// with exit code -1.
func (r *run) stopNode(ctx context.Context, n *node, newAddress bool) {
	record := check.Stop{Node: n.id, Begin: r.since()}
	n.process.signal(syscall.SIGTERM)
	code, ended := n.process.wait(ctx, stopTimeout)
	if !ended {
		n.process.kill()
		code = -1
	}
	record.End, record.ExitCode = r.since(), code
	r.recorder.add(func(h *check.History) { h.Stops = append(h.Stops, record) })
	r.restartNode(ctx, n, newAddress)
}

// restartNode starts a node that has exited and waits until it is ready.
func (r *run) restartNode(ctx context.Context, n *node, newAddress bool) {
	if err := n.restart(newAddress); err != nil {
		r.config.Log.Error("soak: cannot start node", "node", n.id, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !isReady(ctx, n.url()) && pause(ctx, 50*time.Millisecond) {
		if _, ended := n.process.wait(ctx, 0); ended {
			r.config.Log.Error("soak: node exited before it was ready", "node", n.id)
			return
		}
	}
}

// restartExitedNodes restarts the nodes that are not running after the last
// fault, so that histories can be read.
func (r *run) restartExitedNodes(ctx context.Context) {
	for _, n := range r.deployment.nodes {
		if _, ended := n.process.wait(ctx, 0); ended {
			r.restartNode(ctx, n, false)
		}
	}
}
