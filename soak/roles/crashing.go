package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// fragileServers is the number of backend servers that some requests end.
	// Every second one ends without closing its connections.
	fragileServers = 4
	// crashingPause is the pause of a client before it repeats such a request.
	crashingPause = 150 * time.Millisecond
	// crashesBeforeHold is the number of servers that may end under a request
	// before it must be held, holdDelay the time that the fronts may take to learn
	// of it, and maxRunsAfterHold the number of runs allowed after that. The users
	// state all three.
	crashesBeforeHold = 3
	holdDelay         = 3 * time.Second
	maxRunsAfterHold  = 3
)

// crashingClient sends one request again and again, at random fronts. Backend
// servers end when they begin to run it.
type crashingClient struct {
	fronts []string
	name   string
	method string
	body   string
	// program returns the program that the given attempt belongs to.
	program func(attempt int) string
	random  *rand.Rand
	// violations are answers that it must not get.
	violations []string
}

// crashingClients returns clients whose requests differ in what stays the same
// when they are repeated.
func crashingClients(seed uint64, fronts []string) []*crashingClient {
	none := func(int) string { return "" }
	clients := []*crashingClient{
		{name: "no-body", method: http.MethodGet, program: none},
		{name: "body", method: http.MethodPost, body: "input", program: none},
		{name: "new-program", method: http.MethodPost, body: "input", program: func(attempt int) string { return fmt.Sprintf("crash-%d", attempt) }},
	}
	for i, c := range clients {
		c.fronts, c.random = fronts, rand.New(rand.NewPCG(seed, uint64(1000+i)))
	}
	return clients
}

func (c *crashingClient) path() string { return "/fragile" + usersplatform.CrashPath + "-" + c.name }

// run sends the request until the context ends. Of its answers only 429 is recorded: what
// counts is what the servers ran.
func (c *crashingClient) run(ctx context.Context) error {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		request := usersplatform.Request{
			ID: fmt.Sprintf("crash-%s-%d", c.name, attempt), Method: c.method, Body: c.body, Program: c.program(attempt), Budget: tokensPerTurn,
		}
		tryCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, _, _ := usersplatform.Send(tryCtx, c.fronts[c.random.IntN(len(c.fronts))], usersplatform.SiteHost, c.path(), request)
		cancel()
		if status == http.StatusTooManyRequests {
			c.violations = append(c.violations, without429(request.ID))
		}
		if pause(ctx, crashingPause) != nil {
			break
		}
	}
	return ctx.Err()
}

// checkCrashes checks that each request that ends backend servers is held after
// the third end. It returns the violations.
func checkCrashes(runs []usersplatform.End) []string {
	byPath := map[string][]time.Time{}
	for _, run := range runs {
		byPath[run.Path] = append(byPath[run.Path], run.At)
	}
	var violations []string
	for path, times := range byPath {
		slices.SortFunc(times, time.Time.Compare)
		if len(times) < crashesBeforeHold {
			continue
		}
		third := times[crashesBeforeHold-1]
		late := 0
		for _, at := range times {
			if at.Sub(third) > holdDelay {
				late++
			}
		}
		if late > maxRunsAfterHold {
			violations = append(violations, fmt.Sprintf("%s ended %d backend servers, %d of them more than %s after the third", path, len(times), late, holdDelay))
		}
	}
	slices.Sort(violations)
	return violations
}
