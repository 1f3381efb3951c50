package budgeted

// Waiting returns the number of writes that are waiting for a token.
func Waiting(b *Limiter) int {
	b.writes.mu.Lock()
	defer b.writes.mu.Unlock()
	return b.writes.waiting
}
