package roles

import (
	"fmt"
	"slices"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// limitDelay is the time from the first answer that names a limit until it must
	// hold. limitWindow is the span in which the requests are counted, which may
	// be limitExcess of the limit and limitSlack more. The users state all four.
	limitDelay  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// checkLimit checks that the backend server got no more requests than the limit
// allows that it has named since the first run. It returns the violations.
func checkLimit(runs []usersplatform.Run, perSecond float64) []string {
	if perSecond == 0 || len(runs) == 0 {
		return nil
	}
	slices.SortFunc(runs, func(a, b usersplatform.Run) int { return a.At.Compare(b.At) })
	start := runs[0].At
	allowed := int(limitExcess*perSecond*limitWindow.Seconds() + limitSlack)
	most, mostAt, first := 0, start, 0
	for last, run := range runs {
		for runs[first].At.Sub(start) < limitDelay && first < last || run.At.Sub(runs[first].At) >= limitWindow {
			first++
		}
		if count := last - first + 1; run.At.Sub(start) >= limitDelay && count > most {
			most, mostAt = count, run.At
		}
	}
	if most <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("the backend server named a limit of %g requests per second and got %d in %s, %.2f s after its first request; %d are allowed",
		perSecond, most, limitWindow, mostAt.Sub(start).Seconds(), allowed)}
}
