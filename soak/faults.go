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

// Kind names a kind of fault.
type Kind string

// The kinds of faults.
const (
	Kill        Kind = "kill"
	Freeze      Kind = "freeze"
	CutPlatform Kind = "cut-platform"
	CutPeers    Kind = "cut-peers"
	CutCallers  Kind = "cut-callers"
	CutEngine   Kind = "cut-engine"
	CutLedger   Kind = "cut-ledger"
	HalfOpen    Kind = "half-open"
	Slow        Kind = "slow"
	Outage      Kind = "outage"
	Lost        Kind = "lost"
	Leave       Kind = "leave"
	Race        Kind = "race"
	CrashEngine Kind = "engine-crash"
	SlowEngine  Kind = "engine-slow"
	Poison      Kind = "poison"
	Stop        Kind = "stop"
	Roll        Kind = "roll"
)

// Kinds lists all kinds of faults.
var Kinds = []Kind{
	Kill, Freeze, CutPlatform, CutPeers, CutCallers, CutEngine, CutLedger, HalfOpen, Slow, Outage, Lost, Leave, Race,
	CrashEngine, SlowEngine, Poison, Stop, Roll,
}

func knownKinds(kinds []Kind) error {
	for _, k := range kinds {
		if !slices.Contains(Kinds, k) {
			return Error.New("unknown kind of fault %q, known are %v", k, Kinds)
		}
	}
	return nil
}

const (
	// firstFault is the time from the start of the programs to the first step.
	firstFault = time.Second
	// stepPause is the longest pause between two steps.
	stepPause = 3 * time.Second
	// shortestFault leaves a slow platform slow until a kill of the same step.
	shortestFault = 2 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 35 * time.Second
	// readyTimeout bounds the start of a node.
	readyTimeout = 15 * time.Second
)

// fault is one fault of a step. Everything that is random is chosen before the
// faults of the step begin, so that the order of their ends changes nothing.
type fault struct {
	kind      Kind
	node      *node
	backend   *backend
	length    time.Duration
	half      bool
	elsewhere bool // restart under a new address
	path      int
	name      string
	// wait lets the other faults of the step take hold before a kill.
	wait   time.Duration
	probes []string // programs of the node whose recovery is timed
}

// injectFaults runs steps of faults, alone or together, until the context
// until ends. All faults of a step have ended before the next one.
func (r *run) injectFaults(ctx, until context.Context) error {
	random := r.random(1)
	if !pause(ctx, firstFault) {
		return nil
	}
	for step, kinds := range r.config.Scripted {
		r.step(ctx, r.choose(random, kinds, step))
		pause(ctx, time.Duration(random.Int64N(int64(stepPause))))
	}
	for step := len(r.config.Scripted); until.Err() == nil && len(r.config.Faults) > 0; step++ {
		var kinds []Kind
		for range 1 + random.IntN(r.config.Together) {
			kinds = append(kinds, r.config.Faults[random.IntN(len(r.config.Faults))])
		}
		r.step(ctx, r.choose(random, kinds, step))
		pause(until, time.Duration(random.Int64N(int64(stepPause))))
	}
	return nil
}

// choose draws the targets. Two faults of a step that act on processes have
// two targets.
func (r *run) choose(random *rand.Rand, kinds []Kind, step int) []fault {
	order := random.Perm(len(r.deploy.nodes))
	var faults []fault
	for i, kind := range kinds {
		if kind == Roll && len(kinds) > 1 {
			kind = Stop // a rolling restart would act on the other's target
		}
		faults = append(faults, fault{
			kind: kind, node: r.deploy.nodes[order[i%len(order)]],
			backend:   r.deploy.engines[random.IntN(len(r.deploy.engines))],
			length:    shortestFault + time.Duration(random.Int64N(int64(r.config.Lease+time.Second))),
			half:      random.IntN(2) == 0,
			elsewhere: random.IntN(3) == 0,
			path:      random.IntN(5),
			name:      stepName(r.config.Seed, step, i),
			wait:      time.Duration(len(kinds)-1) * time.Duration(random.Int64N(int64(time.Second))),
		})
	}
	return faults
}

// step runs faults together and waits for their end.
func (r *run) step(ctx context.Context, faults []fault) {
	for i := range faults {
		if faults[i].kind == Kill {
			faults[i].probes = r.ownedBy(ctx, faults[i].node, faults[i].name)
		}
	}
	var all sync.WaitGroup
	var taken []string
	for _, f := range faults {
		switches := f.switches()
		if switches != "" && slices.Contains(taken, switches) {
			continue
		}
		taken = append(taken, switches)
		all.Go(func() {
			record := check.Fault{Kind: string(f.kind), Target: f.target(), Begin: r.since()}
			r.config.Log.Info("soak: fault begins", "kind", f.kind, "target", record.Target)
			r.inject(ctx, f)
			record.End = r.since()
			r.config.Log.Info("soak: fault ended", "kind", f.kind, "target", record.Target)
			r.record.fault(record)
		})
	}
	all.Wait()
}

// switches names what only one fault of a step can use: the fault switches of
// the platform, the host list, or the count of engine crashes.
func (f fault) switches() string {
	switch f.kind {
	case Slow, Outage, Lost:
		return "platform"
	case Leave:
		return "hosts"
	case Poison, CrashEngine:
		return "crashes"
	default:
		return ""
	}
}

// target names what a fault acts on.
func (f fault) target() string {
	switch f.kind {
	case Kill, Freeze, CutPlatform, CutPeers, CutCallers, Stop, HalfOpen:
		return f.node.id
	case CutEngine, Leave, CrashEngine, SlowEngine:
		return f.backend.name
	case CutLedger:
		return "ledger"
	case Slow, Outage, Lost:
		return "platform"
	case Race, Poison, Roll:
	}
	return "all"
}

func (r *run) inject(ctx context.Context, f fault) {
	switch f.kind {
	case Kill:
		r.kill(ctx, f)
	case Freeze:
		f.node.current.signal(syscall.SIGSTOP)
		pause(ctx, r.config.Lease+f.length)
		f.node.current.signal(syscall.SIGCONT)
	case CutPlatform:
		r.cut(ctx, f, f.node.platform)
	case CutPeers:
		r.cut(ctx, f, f.node.peers)
	case CutCallers:
		r.cut(ctx, f, f.node.front)
	case CutEngine:
		r.cut(ctx, f, f.backend.in)
	case CutLedger:
		r.cut(ctx, f, r.deploy.ledgerIn)
	case HalfOpen:
		f.half = true
		paths := []*relay.Relay{f.node.platform, f.node.peers, f.node.front, f.backend.in, r.deploy.ledgerIn}
		r.cut(ctx, f, paths[f.path])
	case Slow, Outage, Lost:
		r.disturbPlatform(ctx, f)
	case Leave:
		r.leave(ctx, f)
	case Race:
		r.race(ctx, f)
	case CrashEngine, SlowEngine:
		r.disturbEngine(ctx, f)
	case Poison:
		r.poison(ctx, f)
	case Stop:
		r.stop(ctx, f.node, f.elsewhere)
	case Roll:
		for _, n := range r.deploy.nodes {
			r.stop(ctx, n, f.elsewhere)
		}
	}
}

// cut breaks a path for the length of the fault.
func (r *run) cut(ctx context.Context, f fault, path *relay.Relay) {
	mode := relay.Cut
	if f.half {
		mode = relay.HalfOpen
	}
	path.Set(mode)
	pause(ctx, f.length)
	path.Set(relay.Pass)
}

// stop ends a node as planned and starts it again.
func (r *run) stop(ctx context.Context, n *node, elsewhere bool) {
	record := check.Stop{Node: n.id, Begin: r.since()}
	n.current.signal(syscall.SIGTERM)
	code, ended := n.current.wait(ctx, stopTimeout)
	if !ended {
		n.current.kill()
		code = -1
	}
	record.End, record.ExitCode = r.since(), code
	r.record.add(func(h *check.History) { h.Stops = append(h.Stops, record) })
	r.restart(ctx, n, elsewhere)
}

// restart starts a node that has ended and waits until it is ready.
func (r *run) restart(ctx context.Context, n *node, elsewhere bool) {
	if err := n.restart(elsewhere); err != nil {
		r.config.Log.Error("soak: node does not start", "node", n.id, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ready(ctx, n.url()) && pause(ctx, 50*time.Millisecond) {
		if _, ended := n.current.wait(ctx, 0); ended {
			r.config.Log.Error("soak: node ended at its start", "node", n.id)
			return
		}
	}
}

// heal ends what is left of all faults, so that histories can be read.
func (r *run) heal(ctx context.Context) {
	for _, n := range r.deploy.nodes {
		if _, ended := n.current.wait(ctx, 0); ended {
			r.restart(ctx, n, false)
		}
	}
}
