package config

import (
	"context"
	"math/rand/v2"

	"dogwoodline.example/resource"
)

// push is a message to the config-push duty. An empty peer means all.
type push struct {
	peer    string
	changes []resource.Change
}

// pushToPeers is the config-push duty. It sends everything that waits at once,
// so that a slow peer delays a burst of changes by one timeout only.
func (c *Config) pushToPeers(ctx context.Context) error {
	for {
		first, err := c.pushes.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // the group stops
		}
		toAll := []resource.Change{}
		for _, next := range c.pushes.PopBatch([]push{first}, pushRing) {
			if next.peer == "" {
				toAll = append(toAll, next.changes...)
				continue
			}
			c.send(ctx, []string{next.peer}, next.changes)
		}
		if len(toAll) > 0 {
			c.send(ctx, c.settings.Peers.List(), toAll)
		}
	}
}

func (c *Config) send(ctx context.Context, peers []string, changes []resource.Change) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.settings.Peers.Push(ctx, peers, changes)
}

// puller is the config-pull duty.
type puller struct {
	config *Config
	random *rand.Rand
}

func (p *puller) run(ctx context.Context) error {
	for {
		p.pull(ctx)
		interval := pullInterval
		if !p.config.Ready() {
			interval = startInterval
		}
		if !p.config.wait(ctx, interval) {
			return nil
		}
	}
}

func (p *puller) pull(ctx context.Context) {
	peers := p.config.settings.Peers.List()
	if len(peers) == 0 {
		return
	}
	peer := peers[p.random.IntN(len(peers))]
	set := p.config.Snapshot()
	request := PullRequest{Complete: set.Complete(), Digest: set.Digest()}
	limited, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := p.config.settings.Peers.Pull(limited, peer, request)
	if err != nil {
		p.config.settings.Log.Debug("config: pull failed", "peer", peer, "error", err)
		return
	}
	// The push fails only when the group stops.
	_ = p.config.updates.Push(ctx, update{
		changes:  answer.Changes,
		complete: answer.Complete,
		ready:    answer.Ready,
		peer:     peer,
		digest:   answer.Digest,
	})
}
