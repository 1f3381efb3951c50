package gateway

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/call"
)

// hashFraction hashes the request ID to a number in [0, 1). All fronts compute
// the same number, so they choose the same service of a weighted route.
func hashFraction(request call.Request) float64 {
	return float64(xxhash.Sum64String(request.ID)>>11) / (1 << 53)
}
