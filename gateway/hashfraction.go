package gateway

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/call"
)

// hashFraction hashes the request ID to a number in [0, 1). All fronts compute
// the same number for a request, so they choose the same service of a weighted
// route. It uses the upper 53 bits of the hash, because a float64 represents
// every 53-bit integer exactly.
func hashFraction(request call.Request) float64 {
	return float64(xxhash.Sum64String(request.ID)>>11) / (1 << 53)
}
