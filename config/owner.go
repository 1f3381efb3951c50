package config

import (
	"context"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/resource"
	"dogwoodline.example/ring"
)

// update is a message to the config duty.
type update struct {
	changes []resource.Change
	// full means that changes are all resources at the revision complete.
	full bool
	// complete is the revision up to which the sender knows all changes, or 0.
	complete kvstore.Version
	// ready means that the receiver has a full view after this update.
	ready bool
	// peer and digest describe the peer that answered a pull.
	peer   string
	digest uint64
	// done is the accepted command that made the change, with its result.
	done   *command
	result Result
}

// owner is the config duty.
type owner struct {
	config *Config
	timer  duty.Timer
}

func (o *owner) run(ctx context.Context) error {
	for {
		select {
		case <-o.config.updates.Ready():
			o.drain(o.config.updates)
		case <-o.config.offers.Ready():
			o.drain(o.config.offers)
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *owner) drain(from *ring.Ring[update]) {
	for {
		next, ok := from.TryPop()
		if !ok {
			return
		}
		start := time.Now()
		o.apply(next)
		o.timer.Observe(start)
	}
}

func (o *owner) apply(u update) {
	c := o.config
	old := c.Snapshot()
	set := old
	if u.full {
		set = set.WithView(u.changes, u.complete)
	} else {
		set = set.With(u.changes...).WithComplete(u.complete)
	}
	if set != old {
		c.snapshot.Store(set)
	}
	if u.ready && !c.Ready() {
		c.ready.Store(true)
		c.settings.Log.Info("config: first full view", "resources", set.Len(), "revision", set.Revision())
	}
	if set.Digest() != old.Digest() {
		o.notify(Notice{Revision: set.Revision()})
	}
	if u.peer != "" && u.ready && set.Digest() != u.digest {
		// The peer lacks changes that this node has.
		o.push(push{peer: u.peer, changes: set.ChangesAfter(u.complete)})
	}
	if u.done != nil {
		o.push(push{changes: u.changes})
		u.done.reply <- u.result
	}
}

func (o *owner) notify(notice Notice) {
	for _, subscriber := range o.config.subscribers {
		// A full ring holds a notice that covers this change too.
		_ = subscriber.TryPush(notice)
	}
}

func (o *owner) push(p push) {
	if len(p.changes) == 0 {
		return
	}
	if err := o.config.pushes.TryPush(p); err != nil {
		o.config.settings.Log.Warn("config: push dropped, peers will pull", "error", err)
	}
}
