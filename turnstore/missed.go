package turnstore

// noteMissed has the members told that should have got the records of an operation
// and have not stored them, if others have: they copy the records from these.
func (c *Client) noteMissed(p *pending) {
	if len(p.op.Records) == 0 || len(p.tally.synced) < p.tally.set.Majority() {
		return
	}
	for _, m := range p.tally.set.Members {
		slot, known := c.slotByDisk[m.Disk]
		if known && m.Ready && p.owed[m.Disk] && !p.tally.synced[m.Disk] {
			c.senders[slot].noteMissed(p.begun)
		}
	}
}
