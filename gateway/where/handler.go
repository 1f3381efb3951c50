package where

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// ErrUnavailable reports that the front cannot answer now: it has no configuration, or its
// scheduler is busy.
var ErrUnavailable = errs.New("the front has no configuration or is busy")

const (
	// minInterval is the shortest time between two queries that a front answers. With 1,000
	// waiting calls and servers, a query takes up to 1.7 ms of the scheduler.
	minInterval = 10 * time.Millisecond
	// answerTimeout bounds the time until a query is answered.
	answerTimeout = time.Second
)

// Front answers queries.
type Front interface {
	// Where tells where a request would go. Its error is ErrUnavailable if the front cannot
	// answer before the context ends.
	Where(ctx context.Context, q Query, now time.Time) (Answer, error)
}

// Handler returns the HTTP handler of a front's endpoint for operators.
func Handler(front Front) http.Handler {
	var last atomic.Int64 // when the last query was accepted, in ns
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := Decode(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		now := time.Now()
		if before := last.Load(); now.UnixNano()-before < int64(minInterval) || !last.CompareAndSwap(before, now.UnixNano()) {
			w.Header().Set("Retry-After", strconv.FormatFloat(minInterval.Seconds(), 'f', -1, 64))
			http.Error(w, "more than one query in 10 ms", http.StatusTooManyRequests)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		answer, err := front.Where(ctx, q, now)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // fails only if the client has left
	})
}
