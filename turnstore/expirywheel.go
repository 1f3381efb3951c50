package turnstore

// expiryWheel holds items by the second in which they may expire, so that expiry costs
// nothing for those that do not. An item whose expiry was extended since is added again
// when its first time comes.
type expiryWheel[T any] map[int64][]T

// add adds an item that may expire at the given time, in Unix ms.
func (w expiryWheel[T]) add(item T, expires int64) {
	second := expires / 1000
	w[second] = append(w[second], item)
}

// due takes out the items of all seconds up to the given time, in Unix ms, and calls
// expire for each of them.
func (w expiryWheel[T]) due(limit int64, expire func(T)) {
	var items []T
	for second, added := range w {
		if second <= limit/1000 {
			items = append(items, added...)
			delete(w, second)
		}
	}
	for _, item := range items {
		expire(item)
	}
}
