package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dogwoodline.example/config"
	"dogwoodline.example/membership"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
	"dogwoodline.example/rpc"
)

const (
	// pingTimeout bounds a ping of a suspected member. The network latency
	// between nodes is at most a few milliseconds.
	pingTimeout = 400 * time.Millisecond
	// notifyTimeout bounds the sending of crash counts to one node, and the
	// wait for room in the scheduler duty's ring after a stream has ended.
	notifyTimeout = time.Second
)

// peerDuty is the duty that keeps the links to the other nodes up to date and
// sends them the counts of backend server crashes that requests caused.
type peerDuty struct {
	node          *Node
	memberChanges *ring.Ring[membership.Changed]
	view          func() *membership.View
	crashes       *ring.Ring[[]program.Crash]
}

func (p *peerDuty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.memberChanges.Ready():
			_, _ = p.memberChanges.TryPop()
			p.updateLinks()
		case <-p.crashes.Ready():
			p.sendCrashes(ctx)
		}
	}
}

// updateLinks makes the links match the members.
func (p *peerDuty) updateLinks() {
	addresses := map[string]string{}
	for _, m := range p.view().Members {
		if m.ID != p.node.settings.ID {
			addresses[m.Incarnation] = m.GRPC
		}
	}
	p.node.rememberAddresses(addresses)
	if err := p.node.links.Update(addresses); err != nil {
		p.node.deps.Log.Warn("peers: cannot update the links to other nodes", "error", err)
	}
}

func (p *peerDuty) sendCrashes(ctx context.Context) {
	for crashes, ok := p.crashes.TryPop(); ok; crashes, ok = p.crashes.TryPop() {
		for _, link := range p.node.links.All() {
			callCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
			if err := link.NoteCrashes(callCtx, crashes); err != nil {
				p.node.deps.Log.Warn("peers: crash counts not delivered", "to", link.Incarnation, "error", err)
			}
			cancel()
		}
	}
}

// pinger pings suspected members. It opens a connection for each ping, because
// the links exist only to members of the current view, which suspected members
// are no longer part of.
type pinger struct {
	links    *rpc.Links
	leaseTTL time.Duration
}

var _ membership.Pinger = pinger{}

// Ping implements membership.Pinger.
func (p pinger) Ping(ctx context.Context, m membership.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	response, err := p.links.PingAt(ctx, m.GRPC)
	if err != nil {
		return false, err
	}
	if response.Incarnation != m.Incarnation {
		return false, Error.New("another incarnation answers: %s", response.Incarnation)
	}
	return response.StoreSilence < 2*p.leaseTTL, nil
}

// peerHandler handles the requests of other nodes.
type peerHandler struct {
	node *Node
}

var _ rpc.Handler = (*peerHandler)(nil)

// Ping implements rpc.Handler.
func (h *peerHandler) Ping(context.Context) rpc.PingResponse {
	current := h.node.current.Load()
	if current == nil {
		return rpc.PingResponse{}
	}
	return rpc.PingResponse{Incarnation: current.name, StoreSilence: current.storeContact().storeSilence(current.node.deps.Clock.Now())}
}

// Forward implements rpc.Handler.
func (h *peerHandler) Forward(ctx context.Context, request rpc.ForwardRequest, chunk func(program.Chunk) error) program.Reply {
	current := h.node.current.Load()
	if current == nil {
		return program.Reply{Moved: true}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline+replyGrace)
	defer cancel()
	return h.node.service.serveLocally(ctx, current, request, chunk)
}

// PushConfig implements rpc.Handler. It ignores the error, because the next pull
// fetches changes that the full queue had no room for.
func (h *peerHandler) PushConfig(_ context.Context, changes []resource.Change) {
	_ = h.node.deps.Config.HandlePush(changes)
}

// PullConfig implements rpc.Handler.
func (h *peerHandler) PullConfig(_ context.Context, request config.PullRequest) config.PullResponse {
	return h.node.deps.Config.HandlePull(request)
}

// ConfigPeers exchanges the configuration with the other nodes over their links.
type ConfigPeers struct {
	Links *rpc.Links
	Log   *slog.Logger
}

var _ config.Peers = ConfigPeers{}

// List implements config.Peers.
func (p ConfigPeers) List() []string {
	var names []string
	for _, link := range p.Links.All() {
		names = append(names, link.Incarnation)
	}
	return names
}

// Push implements config.Peers. It runs one goroutine per peer, which ends with
// the call, like the goroutines that gRPC starts for a call.
func (p ConfigPeers) Push(ctx context.Context, peers []string, changes []resource.Change) {
	var wg sync.WaitGroup
	for _, name := range peers {
		wg.Go(func() {
			link, err := p.Links.Get(name)
			if err == nil {
				err = link.PushConfig(ctx, changes)
			}
			if err != nil {
				p.Log.Info("peers: configuration not delivered, the next pull will fetch it", "to", name, "error", err)
			}
		})
	}
	wg.Wait()
}

// Pull implements config.Peers.
func (p ConfigPeers) Pull(ctx context.Context, peer string, request config.PullRequest) (config.PullResponse, error) {
	link, err := p.Links.Get(peer)
	if err != nil {
		return config.PullResponse{}, err
	}
	return link.PullConfig(ctx, request)
}

// NoteCrashes implements rpc.Handler.
func (h *peerHandler) NoteCrashes(_ context.Context, crashes []program.Crash) {
	if current := h.node.current.Load(); current != nil {
		_ = current.programs.commands.TryPush(command{crashes: crashes})
	}
}

// Schedule implements rpc.Handler.
func (h *peerHandler) Schedule(server rpc.ScheduleServer) error {
	current := h.node.current.Load()
	if current == nil {
		return ErrNoShardMap
	}
	schedulerInputs := current.programs.schedulerInputs
	stream := &requesterStream{decisions: ring.New[rpc.Decision](decisionQueueSize)}
	defer func() {
		pushCtx, cancel := context.WithTimeout(context.WithoutCancel(server.Context()), notifyTimeout)
		defer cancel()
		_ = schedulerInputs.Push(pushCtx, schedulerInput{kind: streamEnded, stream: stream})
	}()
	return rpc.ServeSchedule(server, h.node.deps.Clock.Now, stream.decisions, func(from string, event rpc.ScheduleEvent) error {
		if stream.requester == "" { // set once, before the scheduler duty receives the stream
			stream.requester = from
		}
		return schedulerInputs.Push(server.Context(), schedulerInput{kind: streamEvent, stream: stream, event: event})
	})
}
