package gateway

// contended reports whether calls to a service are ordered by urgency, wait at the
// fronts, and go to servers by what all fronts have measured: if the settings say that
// callers compete for places, or if the servers of the service differ lastingly in speed.
func (s *Scheduler) contended(service string) bool {
	return s.contendedCapacity || s.fleet.Uneven(service)
}
