package upstream

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConn is how many requests a connection carries before it is closed. It
// bounds what is kept of their ids.
const maxRequestsPerConn = 512

// requestHash is a hash of a request's id. Two ids with one hash cost a connection that
// could have been used, and nothing else.
type requestHash uint64

// hash returns the hash of an id, which is the same for all connections of the pool.
func (p *Pool) hash(requestID string) requestHash {
	return requestHash(maphash.String(p.seed, requestID))
}

// carriedRequests are the requests that were sent on a connection.
type carriedRequests []requestHash

// has reports whether a request with this id was sent on the connection. A backend server
// may write its answer once more, so no further request with this id is sent there: the
// copy would be taken for the answer to that one.
func (c carriedRequests) has(request requestHash) bool { return slices.Contains(c, request) }

// full reports whether the connection has carried as many requests as it may.
func (c carriedRequests) full() bool { return len(c) >= maxRequestsPerConn }
