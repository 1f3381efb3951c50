package config

import (
	"context"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
)

// update is a message to the config duty with changes to apply.
type update struct {
	changes []resource.Change
	// full means that changes lists all resources at the revision complete.
	full bool
	// complete is the revision up to which the sender of the update knows all
	// changes, or 0.
	complete kvstore.Version
	// ready means that this node is ready once the update is applied.
	ready bool
	// peer and peerDigest are the name and the set digest of the peer that
	// answered a pull; peer is empty for other updates.
	peer       string
	peerDigest uint64
	// command is the accepted write that made the change, or nil. The config
	// duty replies to it with result.
	command *command
	result  Result
}

// applier is the config duty. It alone changes the snapshot.
type applier struct {
	config *Config
	timer  duty.Timer
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-a.config.updates.Ready():
			a.applyAll(a.config.updates)
		case <-a.config.offers.Ready():
			a.applyAll(a.config.offers)
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *applier) applyAll(from *ring.Ring[update]) {
	for {
		next, ok := from.TryPop()
		if !ok {
			return
		}
		start := time.Now()
		a.apply(next)
		a.timer.Observe(start)
	}
}

func (a *applier) apply(u update) {
	c := a.config
	old := c.Snapshot()
	set := old
	if u.full {
		set = set.WithListing(u.changes, u.complete)
	} else {
		set = set.With(u.changes...).WithComplete(u.complete)
	}
	if set != old {
		c.snapshot.Store(set)
	}
	if u.ready && !c.Ready() {
		c.ready.Store(true)
		c.settings.Log.Info("config: full list of resources received", "resources", set.Len(), "revision", set.Revision())
	}
	if set.Digest() != old.Digest() {
		a.notify(ChangeNotice{Revision: set.Revision()})
	}
	if u.peer != "" && u.ready && set.Digest() != u.peerDigest {
		// The pulled changes are applied, so a different digest means that this
		// node has changes that the peer lacks.
		a.push(pushRequest{peer: u.peer, changes: set.ChangesAfter(u.complete)})
	}
	if u.command != nil {
		a.push(pushRequest{changes: u.changes})
		u.command.reply <- u.result
	}
}

func (a *applier) notify(notice ChangeNotice) {
	for _, subscriber := range a.config.subscribers {
		// A full ring already holds a notice, which covers this change as well.
		_ = subscriber.TryPush(notice)
	}
}

func (a *applier) push(p pushRequest) {
	if len(p.changes) == 0 {
		return
	}
	if err := a.config.pushes.TryPush(p); err != nil {
		a.config.settings.Log.Warn("config: push dropped, peers get the changes by their next pull", "error", err)
	}
}
