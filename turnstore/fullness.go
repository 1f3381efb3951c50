package turnstore

import "slices"

// maxFullness bounds what a member may say of itself, in permille.
const maxFullness = 10_000

// Fullness returns how full the stores are for records that a majority has to keep: the
// fraction that a majority of the members does not exceed. From 1 on, stores may refuse
// records. Stores of earlier releases, which do not say, count as empty.
func (c *Client) Fullness() float64 { return float64(c.fullness.Load()) / 1000 }

// updateFullness recomputes the fullness of the stores.
func (c *Client) updateFullness() {
	var members []int64
	for _, m := range c.set.Members {
		if slot, ok := c.slotByDisk[m.Disk]; ok && m.Ready && !c.senders[slot].failing.Load() {
			members = append(members, c.senders[slot].fullness.Load())
		}
	}
	c.fullness.Store(majorityFullness(members, c.set.Majority()))
}

// majorityFullness returns the fullness that a majority of the members does not exceed.
// If fewer members than that are reached, it is that of the fullest.
func majorityFullness(members []int64, majority int) int64 {
	if len(members) == 0 {
		return 0
	}
	slices.Sort(members)
	return members[min(majority, len(members))-1]
}
