package schedule

// cellFor returns the cell with the fewest servers, after creating enough cells
// for the pool.
func (p *pool) cellFor(a *programAware, name string, all []Backend) *cell {
	count := 0
	for i := range all {
		if all[i].Pool == name {
			count++
		}
	}
	for len(p.cells)*maxCellServers < count {
		p.cells = append(p.cells, newCell(a, name))
	}
	smallest := p.cells[0]
	for _, c := range p.cells[1:] {
		if c.attached < smallest.attached {
			smallest = c
		}
	}
	if smallest.attached == maxCellServers { // servers that are no longer listed still run calls
		smallest = newCell(a, name)
		p.cells = append(p.cells, smallest)
	}
	return smallest
}

// rerouteCalls moves the queued calls of cells that have no eligible servers.
func (a *programAware) rerouteCalls(p *pool) {
	for _, from := range p.cells {
		if from.eligible != 0 {
			continue
		}
		for from.queue.waiting > 0 {
			c := from.queue.byArrival.top()
			to := p.route(&c.request)
			if to == nil || to == from {
				break // refused by Next
			}
			from.dequeue(c)
			to.enqueue(c)
		}
	}
}

// route returns the cell for a program's call, or nil when none can run it. A
// program leaves its cell only when the next usable cell has far fewer waiting
// calls.
func (p *pool) route(r *Request) *cell {
	if p == nil || len(p.cells) == 0 {
		return nil
	}
	if len(p.cells) == 1 {
		if p.cells[0].usable(r) == 0 {
			return nil
		}
		return p.cells[0]
	}
	hash := hashString(r.Program)
	var first *cell
	for i := range p.cells {
		c := p.cells[(hash+uint64(i))%uint64(len(p.cells))]
		if c.usable(r) == 0 {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if first.queue.waiting > 2*c.queue.waiting+maxCellServers {
			return c
		}
		return first
	}
	return first
}

// hashString returns the FNV-1a hash of s without allocating memory.
func hashString(s string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * 1099511628211
	}
	return hash
}
