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
	// pingTimeout bounds a ping of a suspected member. Nodes are at most a
	// few milliseconds apart.
	pingTimeout = 400 * time.Millisecond
	// noteTimeout bounds a short message to another node.
	noteTimeout = time.Second
)

// peerDuty keeps the links to the other nodes up to date and tells them which
// requests crashed backend servers.
type peerDuty struct {
	node    *Node
	members *ring.Ring[membership.Changed]
	view    func() *membership.View
	crashes *ring.Ring[[]program.Crash]
}

func (p *peerDuty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.members.Ready():
			_, _ = p.members.TryPop()
			p.updateLinks()
		case <-p.crashes.Ready():
			p.sendCrashes(ctx)
		}
	}
}

func (p *peerDuty) updateLinks() {
	addresses := map[string]string{}
	for _, m := range p.view().Members {
		if m.ID != p.node.settings.ID {
			addresses[m.Incarnation] = m.GRPC
		}
	}
	p.node.rememberAddresses(addresses)
	if err := p.node.links.Update(addresses); err != nil {
		p.node.deps.Log.Warn("peers: links cannot be updated", "error", err)
	}
}

func (p *peerDuty) sendCrashes(ctx context.Context) {
	for crashes, ok := p.crashes.TryPop(); ok; crashes, ok = p.crashes.TryPop() {
		for _, link := range p.node.links.All() {
			bounded, cancel := context.WithTimeout(ctx, noteTimeout)
			if err := link.NoteCrashes(bounded, crashes); err != nil {
				p.node.deps.Log.Warn("peers: crash counts not delivered", "to", link.Incarnation, "error", err)
			}
			cancel()
		}
	}
}

// pinger asks suspected members for a sign of life, over connections of their
// own because the links follow the member view, which lacks them.
type pinger struct {
	links *rpc.Links
	ttl   time.Duration
}

var _ membership.Pinger = pinger{}

// Ping implements membership.Pinger.
func (p pinger) Ping(ctx context.Context, m membership.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answer, err := p.links.PingAt(ctx, m.GRPC)
	if err != nil {
		return false, err
	}
	if answer.Incarnation != m.Incarnation {
		return false, Error.New("another incarnation answers: %s", answer.Incarnation)
	}
	return answer.StoreSilent < 2*p.ttl, nil
}

// peerHandler serves the requests of other nodes.
type peerHandler struct {
	node *Node
}

var _ rpc.Handler = (*peerHandler)(nil)

// Ping implements rpc.Handler.
func (h *peerHandler) Ping(context.Context) rpc.PingAnswer {
	current := h.node.current.Load()
	if current == nil {
		return rpc.PingAnswer{}
	}
	return rpc.PingAnswer{Incarnation: current.name, StoreSilent: current.ownership().silence(current.node.deps.Clock.Now())}
}

// Forward implements rpc.Handler.
func (h *peerHandler) Forward(ctx context.Context, request rpc.Forwarded, chunk func(program.Chunk) error) program.Reply {
	current := h.node.current.Load()
	if current == nil {
		return program.Reply{Moved: true}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline+replyGrace)
	defer cancel()
	return h.node.service.local(ctx, current, request, chunk)
}

// PushConfig implements rpc.Handler.
func (h *peerHandler) PushConfig(_ context.Context, changes []resource.Change) {
	_ = h.node.deps.Config.HandlePush(changes) // a pull brings what finds no room
}

// PullConfig implements rpc.Handler.
func (h *peerHandler) PullConfig(_ context.Context, request config.PullRequest) config.PullResponse {
	return h.node.deps.Config.HandlePull(request)
}

// ConfigPeers is the way of the configuration to the other nodes.
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

// Push implements config.Peers. The goroutines end with the calls that they
// make, as those do that grpc starts for a call.
func (p ConfigPeers) Push(ctx context.Context, peers []string, changes []resource.Change) {
	var calls sync.WaitGroup
	for _, name := range peers {
		calls.Go(func() {
			link, err := p.Links.To(name)
			if err == nil {
				err = link.PushConfig(ctx, changes)
			}
			if err != nil {
				p.Log.Info("peers: configuration not delivered, left to the next pull", "to", name, "error", err)
			}
		})
	}
	calls.Wait()
}

// Pull implements config.Peers.
func (p ConfigPeers) Pull(ctx context.Context, peer string, request config.PullRequest) (config.PullResponse, error) {
	link, err := p.Links.To(peer)
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
		return ErrNoView
	}
	inputs := current.programs.scheduler
	stream := &requesterStream{grants: ring.New[rpc.Grant](grantQueueSize)}
	defer func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(server.Context()), noteTimeout)
		defer cancel()
		_ = inputs.Push(bounded, schedulerInput{kind: streamEnded, stream: stream})
	}()
	return rpc.ServeAsks(server, h.node.deps.Clock.Now, stream.grants, func(from string, ask rpc.Ask) error {
		if stream.requester == "" { // set once, before the scheduler duty sees the stream
			stream.requester = from
		}
		return inputs.Push(server.Context(), schedulerInput{kind: streamAsk, stream: stream, ask: ask})
	})
}
