package schedule

// cellFor returns the smallest cell, after making enough cells for the pool.
func (p *pool) cellFor(a *aware, name string, all []Backend) *cell {
	count := 0
	for i := range all {
		if all[i].Pool == name {
			count++
		}
	}
	for len(p.cells)*cellSize < count {
		p.cells = append(p.cells, newCell(a, name))
	}
	least := p.cells[0]
	for _, c := range p.cells[1:] {
		if c.attached < least.attached {
			least = c
		}
	}
	if least.attached == cellSize { // backend servers that left still run calls
		least = newCell(a, name)
		p.cells = append(p.cells, least)
	}
	return least
}

// rehome moves the calls of cells that lost all their backend servers.
func (a *aware) rehome(p *pool) {
	for _, from := range p.cells {
		if from.live != 0 {
			continue
		}
		for from.order.waiting > 0 {
			c := from.order.aged.top()
			to := p.route(&c.request)
			if to == nil || to == from {
				break // refused by Next
			}
			from.take(c)
			to.put(c)
		}
	}
}

// route returns the cell for a program's call, or nil when none can take it.
// A program leaves its cell only when that is far more loaded than another.
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
		if first.order.waiting > 2*c.order.waiting+cellSize {
			return c
		}
		return first
	}
	return first
}

// hashString is FNV-1a, which needs no allocation.
func hashString(s string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * 1099511628211
	}
	return hash
}
