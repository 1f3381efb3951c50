package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dogwoodline.example/emulator/usersplatform"
)

const (
	// streamClients is the number of clients that run one resumable stream after the
	// other, and maxTakeUps how often one of them takes up the same stream.
	streamClients = 3
	maxTakeUps    = 6
)

// streamServers returns backend servers of two software versions.
func streamServers() []usersplatform.StreamBackend {
	var servers []usersplatform.StreamBackend
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		servers = append(servers, usersplatform.StreamBackend{ID: fmt.Sprintf("stream-%d", i), Version: version})
	}
	return servers
}

// streamLog counts what the clients of resumable streams saw.
type streamLog struct {
	mu              sync.Mutex
	takenUp, goneOn int
	violations      []string
}

// streamClient runs resumable streams. It takes up those that broke off at random
// fronts.
type streamClient struct {
	fronts []string
	name   string
	random *rand.Rand
	log    *streamLog
	sent   int
}

func (c *streamClient) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.runStream(ctx)
		if pause(ctx, pauseAfterTurn) != nil {
			break
		}
	}
	return ctx.Err()
}

// runStream runs one stream until it is whole or has been taken up maxTakeUps
// times.
func (c *streamClient) runStream(ctx context.Context) {
	began := "" // the attempt that brought the first event
	var events []string
	for range maxTakeUps {
		c.sent++
		request := usersplatform.Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent)}
		if began != "" {
			request.Resumes, request.LastEventID = began, strconv.Itoa(len(events))
		}
		tryCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, body, err := usersplatform.Send(tryCtx, c.fronts[c.random.IntN(len(c.fronts))], usersplatform.SiteHost, usersplatform.StreamPath+"x", request)
		cancel()
		received := []string{}
		if status == http.StatusOK {
			received = wholeEvents(body)
		}
		if status == http.StatusTooManyRequests {
			c.log.add(without429(request.ID))
		}
		c.log.count(request.Resumes != "", len(received) > 0)
		if len(received) > 0 && began == "" {
			began = request.ID
		}
		events = append(events, received...)
		if err == nil && status == http.StatusOK {
			c.log.check(began, events, true)
			return
		}
		if pause(ctx, retryPause) != nil {
			break
		}
	}
	c.log.check(began, events, false)
}

// wholeEvents returns the events of a body that is perhaps broken off, without their
// line feeds.
func wholeEvents(body string) []string {
	events := strings.Split(body, "\n\n")
	return events[:len(events)-1]
}

// count counts a request that takes up a stream, and whether it brought an event.
func (l *streamLog) count(takesUp, goesOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if takesUp {
		l.takenUp++
		if goesOn {
			l.goneOn++
		}
	}
}

// add adds a violation.
func (l *streamLog) add(violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, violation)
}

// check checks the events that a client got of one stream.
func (l *streamLog) check(began string, events []string, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if whole && len(events) != usersplatform.StreamEvents {
		l.violations = append(l.violations, fmt.Sprintf("stream %s ended whole with %d events: %q", began, len(events), events))
		return
	}
	for i, event := range events {
		id, version, _ := strings.Cut(event, "\ndata: ")
		_, first, _ := strings.Cut(events[0], "\ndata: ")
		if id != fmt.Sprintf("id: %d", i+1) || version != first {
			l.violations = append(l.violations, fmt.Sprintf("stream %s has the events %q", began, events))
			return
		}
	}
}
