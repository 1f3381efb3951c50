// Package node assembles the duties of one node: it makes the rings that join
// them, starts them, and stops them in order.
package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"dogwoodline.example/api"
	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/journal"
	"dogwoodline.example/platform"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
	"dogwoodline.example/schedule"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

// Settings of a node. Zero values take the defaults.
type Settings struct {
	// Incarnation names this run of the node; no two runs share one.
	Incarnation string
	// Shards is the number of shards of the whole system. Default 1,024.
	Shards int
	// CallWorkers is the number of calls in progress at once. Default 256.
	CallWorkers int
	// CommandSlots is the number of requests that wait for the programs duty.
	// Default 4,096.
	CommandSlots int
	// Policy names the scheduling policy; empty means the default.
	Policy string
	// Schedule tunes the policy.
	Schedule schedule.Settings
	// Journal bounds the journal writer.
	Journal journal.Settings
}

func (s Settings) withDefaults() Settings {
	s.Shards = orDefault(s.Shards, 1024)
	s.CallWorkers = orDefault(s.CallWorkers, 256)
	s.CommandSlots = orDefault(s.CommandSlots, 4096)
	if s.Policy == "" {
		s.Policy = schedule.LeastOutstanding
	}
	return s
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// Dependencies are the outside services of a node.
type Dependencies struct {
	Store   platform.Store
	Clock   clockwork.Clock
	Log     *slog.Logger
	Metrics *metrics.Set
	// Credentials returns the value of a named credential.
	Credentials func(name string) string
}

// Node is one node of the system.
type Node struct {
	settings Settings
	deps     Dependencies
	service  *service
	programs *programs
	writer   *journal.Writer
	group    *duty.Group
}

// New assembles a node. It returns schedule.ErrUnknownPolicy for a policy that
// does not exist.
func New(settings Settings, deps Dependencies, owners ownership, set func() *resource.Set) (*Node, error) {
	settings = settings.withDefaults()
	if _, err := schedule.New(settings.Policy, settings.Schedule); err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{settings: settings, deps: deps}
	n.writer = journal.NewWriter(deps.Store, deps.Clock, deps.Log, settings.Incarnation, settings.Journal)
	n.programs = n.newPrograms(set)
	n.service = &service{
		clock: deps.Clock, incarnation: settings.Incarnation, shardOf: n.programs.table.ShardOf, owners: owners,
		links: rpc.NewLinks(nil), set: set, commands: n.programs.commands, ready: n.ready,
	}
	return n, nil
}

func (n *Node) newPrograms(set func() *resource.Set) *programs {
	return &programs{
		clock:       n.deps.Clock,
		log:         n.deps.Log,
		table:       program.NewTable(n.shardOf, rules{set: set}),
		set:         set,
		credentials: n.deps.Credentials,
		commands:    ring.New[command](n.settings.CommandSlots),
		shards:      ring.New[shardChange](2 * n.settings.Shards),
		events:      ring.New[dispatch.Event](2 * maxCalls),
		decisions:   ring.New[decision](2 * maxCalls),
		journal: journalEnd{
			appends:     n.writer.Appends(),
			completions: n.writer.Completions(),
			verdicts:    n.writer.Verdicts(),
		},
		scheduler: ring.New[schedulerInput](2 * maxCalls),
		jobs:      ring.New[dispatch.Job](maxCalls),
		notices:   ring.New[notice](4 * n.settings.Shards),
		callers:   map[program.Waiter]caller{},
		orders:    map[program.CallID]*underway{},
	}
}

func (n *Node) newScheduler() *scheduler {
	return &scheduler{
		clock:     n.deps.Clock,
		log:       n.deps.Log,
		policy:    n.settings.Policy,
		settings:  n.settings.Schedule,
		set:       n.programs.set,
		leaving:   func(string) bool { return false },
		inputs:    n.programs.scheduler,
		decisions: n.programs.decisions,
		pools:     map[string]schedule.Scheduler{},
		poolOf:    map[schedule.CallID]string{},
		backends:  map[schedule.BackendID]string{},
	}
}

// Start opens the journal and starts the duties.
func (n *Node) Start(ctx context.Context) error {
	if err := n.writer.Open(ctx); err != nil {
		return Error.Wrap(err)
	}
	n.group = duty.NewGroup(ctx, n.deps.Log, n.deps.Metrics)
	transport := dispatch.NewTransport()
	callers := dispatch.NewCallers(transport, n.programs.jobs, n.programs.events, n.deps.Log)
	n.group.Go("journal", n.writer.Run)
	n.group.Go("programs", n.programs.run)
	n.group.Go("scheduler", n.newScheduler().run)
	callers.Start(n.group, n.settings.CallWorkers)
	for number := range n.settings.Shards {
		_ = n.programs.shards.TryPush(shardChange{shard: number, action: adoptShard})
	}
	return nil
}

// Stop ends all duties.
func (n *Node) Stop() { n.group.Stop() }

// Service returns the node's interface for callers.
func (n *Node) Service() api.Service { return n.service }

// shardOf is the same for a whole family of programs.
func (n *Node) shardOf(programID string) int {
	return shardOf(programID, n.settings.Shards)
}

// storeSilence is the time without a successful commit after which a node
// that has something to record is not ready.
const storeSilence = 30 * time.Second

func (n *Node) ready() error {
	state := n.writer.State()
	if state.Fenced {
		return journal.ErrFenced
	}
	if !state.FailingSince.IsZero() && n.deps.Clock.Since(state.FailingSince) > storeSilence {
		return errStoreSilent
	}
	return nil
}

var errStoreSilent = errors.New("the platform store does not answer")
