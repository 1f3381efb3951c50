package config

import (
	"context"
	"math/rand/v2"

	"dogwoodline.example/resource"
)

// pushRequest tells the config-push duty to send changes to a peer, or to all
// peers if peer is empty.
type pushRequest struct {
	peer    string
	changes []resource.Change
}

// pushToPeers is the config-push duty. It combines all waiting requests to all
// peers into one push, so that a slow peer delays a burst of changes by only
// one timeout.
func (c *Config) pushToPeers(ctx context.Context) error {
	for {
		first, err := c.pushes.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // the duties are stopping
		}
		broadcast := []resource.Change{}
		for _, next := range c.pushes.PopBatch([]pushRequest{first}, pushRingSize) {
			if next.peer == "" {
				broadcast = append(broadcast, next.changes...)
				continue
			}
			c.sendChanges(ctx, []string{next.peer}, next.changes)
		}
		if len(broadcast) > 0 {
			c.sendChanges(ctx, c.settings.Peers.List(), broadcast)
		}
	}
}

func (c *Config) sendChanges(ctx context.Context, peers []string, changes []resource.Change) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.settings.Peers.Push(ctx, peers, changes)
}

// puller is the config-pull duty. It compares the set with that of a random
// peer at each interval.
type puller struct {
	config *Config
	random *rand.Rand
}

func (p *puller) run(ctx context.Context) error {
	for {
		p.pull(ctx)
		interval := pullInterval
		if !p.config.Ready() {
			interval = startupPullInterval
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
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := p.config.settings.Peers.Pull(callCtx, peer, request)
	if err != nil {
		p.config.settings.Log.Debug("config: pull from peer failed", "peer", peer, "error", err)
		return
	}
	// The push fails only when the duties are stopping.
	_ = p.config.updates.Push(ctx, update{
		changes:    answer.Changes,
		complete:   answer.Complete,
		ready:      answer.Ready,
		peer:       peer,
		peerDigest: answer.Digest,
	})
}
