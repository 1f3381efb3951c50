package fleet

// Size returns the number of backend servers of a service that are not
// draining.
func (f *Fleet) Size(service string) int { return len(f.byService[service]) }

// BackendCount returns the number of backend servers, including draining ones.
func (f *Fleet) BackendCount() int { return len(f.byID) }

// Occupancy returns the number of this front's calls that run at a service's
// backend servers, and the number of calls that these can run at once: for each
// server its slots or callsInMemory, whichever is less. callsInMemory is the
// number of calls that fit into the memory of one server, or 0 if that is
// unknown. Servers that have named a limit count only if all have: their slots are
// not to be filled.
func (f *Fleet) Occupancy(service string, callsInMemory float64) (running int, capacity float64) {
	index := f.indexes[service]
	if index == nil {
		return 0, 0
	}
	if index.limited == 0 || index.limited == len(index.servers) {
		return index.running, index.sumSlots(callsInMemory)
	}
	for _, s := range index.servers {
		if s.limit.perSecond > 0 {
			continue
		}
		running += s.running
		if callsInMemory > 0 {
			capacity += min(float64(s.Slots), callsInMemory)
		} else {
			capacity += float64(s.Slots)
		}
	}
	return running, capacity
}

// Addresses returns the addresses of all backend servers, including draining ones.
func (f *Fleet) Addresses() map[string]bool {
	addresses := map[string]bool{}
	for _, s := range f.byID {
		addresses[s.Address] = true
	}
	return addresses
}

// TotalSlots returns the number of calls that all backend servers can run at once.
func (f *Fleet) TotalSlots() int {
	sum := 0
	for _, s := range f.byID {
		sum += s.Slots
	}
	return sum
}
