package gateway

// rankOf returns the queueing priority of a call at a model server, where lower ranks
// go first.
func rankOf(j *job) int {
	rank := 2 * j.route.Priority
	if j.startsProgram {
		rank++ // calls of started programs go first
	}
	return rank
}
