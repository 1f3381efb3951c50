package budgeted

// Waiting returns the number of writes that wait for the budget.
func Waiting(b *Budget) int {
	b.writes.mu.Lock()
	defer b.writes.mu.Unlock()
	return b.writes.count
}
