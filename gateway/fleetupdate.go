package gateway

import (
	"context"
	"time"

	"dogwoodline.example/fleet"
)

// FleetUpdate is a change of the registered backend servers. One of Put, Remove
// and Present is set.
type FleetUpdate struct {
	// Put adds or replaces a registration.
	Put *fleet.Backend
	// Remove is the ID of a backend server to remove.
	Remove string
	// Present lists the IDs of all registered backend servers; all others are
	// removed. The registrations themselves follow as Put.
	Present map[string]bool
	// StoreWasUnavailable says that the platform's store was unavailable until just
	// now, so that live backend servers may be missing for a moment.
	StoreWasUnavailable bool
}

// UpdateFleet queues a change of the registered backend servers. The scheduler's
// goroutine applies it.
func (s *Scheduler) UpdateFleet(ctx context.Context, update FleetUpdate) error {
	return s.messages.Push(ctx, schedulerMessage{update: &update})
}

// publishFleetSize updates the fleet counters that other goroutines read.
func (s *Scheduler) publishFleetSize() {
	s.backendCount.Store(int64(s.fleet.BackendCount()))
	s.slotCount.Store(int64(s.fleet.TotalSlots()))
	addresses := s.fleet.Addresses()
	s.addresses.Store(&addresses)
}

// slots returns the number of calls that all backend servers can run at once.
func (s *Scheduler) slots() int { return int(s.slotCount.Load()) }

func (s *Scheduler) applyFleetUpdate(update FleetUpdate, now time.Time) {
	switch {
	case update.Put != nil:
		if known, ok := s.fleet.Get(update.Put.ID); ok && known.Incarnation != update.Put.Incarnation {
			s.recordEnd(known, "started again", now)
		}
		if s.fleet.Put(*update.Put) {
			s.log.Info("gateway: backend server changed", "backend", update.Put.ID, "service", update.Put.Service,
				"address", update.Put.Address, "draining", update.Put.Draining, "incarnation", update.Put.Incarnation, "software", update.Put.SoftwareVersion)
		}
	case update.Remove != "":
		s.removeBackend(update.Remove, update.StoreWasUnavailable, now)
	case update.Present != nil:
		for _, id := range s.fleet.Missing(update.Present) {
			s.removeBackend(id, update.StoreWasUnavailable, now)
		}
	}
}

// removeBackend removes a registration. A backend server that was not draining has
// ended.
func (s *Scheduler) removeBackend(id string, storeWasUnavailable bool, now time.Time) {
	b, known := s.fleet.Get(id)
	if !known {
		return
	}
	gone := s.fleet.Remove(id, now, storeWasUnavailable)
	s.log.Info("gateway: backend server gone", "backend", b.ID, "address", b.Address, "kept_for_return", !gone)
	if gone {
		s.dropConnections(b.Address)
		s.recordEnd(b, "registration removed", now)
	}
}
