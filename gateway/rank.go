package gateway

// rankValues is the number of ranks that a model server tells apart.
const rankValues = 10

// rankOf returns the queueing priority of a call at a model server, where lower ranks
// go first. Where organisations and routes have more priorities than there are ranks,
// neighbouring ones share a rank, and calls that start programs are not told apart.
func rankOf(j *job) int {
	switch {
	case j.priorityLevels > rankValues:
		return j.priority * rankValues / j.priorityLevels
	case 2*j.priorityLevels > rankValues:
		return j.priority
	}
	rank := 2 * j.priority
	if j.startsProgram {
		rank++ // calls of started programs go first
	}
	return rank
}
