package turnstore

// nearestDisk returns the disk of the member that is asked for conversations
// first, because they make long answers: a reachable one in this availability
// zone, or else the first reachable one.
func (c *Client) nearestDisk() string {
	first := ""
	for _, m := range c.set.Members {
		if !m.Ready || c.senders[c.slotByDisk[m.Disk]].failing.Load() {
			continue
		}
		if m.Zone == c.zone {
			return m.Disk
		}
		if first == "" {
			first = m.Disk
		}
	}
	return first
}

// askForMissingTurn asks for the conversation up to the turn that no answer has had,
// once a majority has stored the records or a member has been read. A member that
// lacks a later turn may have it, since a store returns a conversation only up to
// the first turn that it lacks. It reports whether it has asked a member.
func (c *Client) askForMissingTurn(id uint64, p *pending) bool {
	if len(p.tally.synced) < p.tally.set.Majority() && len(p.tally.chainReaders) == 0 {
		return false
	}
	turn := p.tally.missingTurn()
	if turn == "" {
		return false
	}
	before := p.outstanding
	for _, m := range p.tally.set.Members {
		if m.Ready && !p.tally.lacks(m.Disk, turn) && !p.chainAsked[turnAtDisk{turn, m.Disk}] {
			c.send(id, p, m, message{chain: turn})
		}
	}
	return p.outstanding > before
}
