package gateway

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodline.example/call"
)

// drawOf maps a request to a number between 0 and 1, the same on all fronts.
func drawOf(request call.Request) float64 {
	return float64(xxhash.Sum64String(request.ID)>>11) / (1 << 53)
}
