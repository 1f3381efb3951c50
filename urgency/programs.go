package urgency

import "time"

const (
	// programMemory is how long the last turn of a program is remembered.
	programMemory = 30 * time.Second
	// maxPrograms bounds the programs in each of the two generations.
	maxPrograms = 4096
)

// lastTurn is the last turn of a program that this front has seen.
type lastTurn struct {
	route, session string
	turn           int
	ended          time.Time
}

// programs remembers the last turns of programs, in two generations: when the newer
// one is full or old, the older one is dropped, so that the memory is bounded.
type programs struct {
	newer, older map[string]lastTurn
	since        time.Time // start of the newer generation
}

func (p *programs) get(program string, now time.Time) (lastTurn, bool) {
	if program == "" {
		return lastTurn{}, false
	}
	last, known := p.newer[program]
	if !known {
		last, known = p.older[program]
	}
	return last, known && now.Sub(last.ended) < programMemory
}

func (p *programs) put(program string, last lastTurn, now time.Time) {
	if program == "" {
		return
	}
	if len(p.newer) >= maxPrograms || now.Sub(p.since) >= programMemory {
		p.older, p.newer, p.since = p.newer, map[string]lastTurn{}, now
	}
	p.newer[program] = last
}
