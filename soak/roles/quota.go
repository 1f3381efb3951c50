package roles

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/usersplatform"
)

// limitedOrganisation is the only organisation with a quota. Its rate is so high that twice
// the rate exceeds the bound, as do one and a half times the rate, which is what two fronts
// run if one has its share and the other one the whole quota.
var limitedOrganisation = usersplatform.Organisation{Name: "limited", Keys: []string{keyOf("limited")}, RatePerS: 40, Burst: 10}

const (
	// quotaClients is the number of clients of the limited organisation, and quotaDemand
	// their rate relative to its quota.
	quotaClients = 16
	quotaDemand  = 2.0
	// quotaTimeout bounds the time that a client waits for an answer, and maxQuotaStay the
	// time that it stays at a front.
	quotaTimeout = time.Second
	maxQuotaStay = 2 * time.Second
	// quotaRecovery is the time from the end of the last fault until at least minQuotaUse of
	// the quota must be used.
	quotaRecovery = 3 * time.Second
	minQuotaUse   = 0.5
)

// quotaRequest is a request of the limited organisation.
type quotaRequest struct {
	id         string
	sent       time.Time
	status     int // 0 if there was no answer
	retryAfter string
}

// quotaClient sends requests of the limited organisation at a fixed rate, whatever the
// answers. It stays at a front for a while, over one connection.
type quotaClient struct {
	fronts    []string
	name      string
	random    *rand.Rand
	transport *http.Transport
	requests  []quotaRequest
}

// startQuotaClients starts the clients of the limited organisation.
func startQuotaClients(group *duty.Group, seed uint64, fronts []string) []*quotaClient {
	var clients []*quotaClient
	for i := range quotaClients {
		dialer := &net.Dialer{Timeout: quotaTimeout}
		c := &quotaClient{fronts: fronts, name: fmt.Sprintf("quota-s%d-c%d", seed, i), random: rand.New(rand.NewPCG(seed, uint64(4000+i))),
			transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1}}
		group.Go("quota-client", c.run)
		clients = append(clients, c)
	}
	return clients
}

// run sends requests until the context ends. Those that it could not send in time while it
// waited for an answer follow at once.
func (c *quotaClient) run(ctx context.Context) error {
	defer c.transport.CloseIdleConnections()
	rate := quotaDemand * limitedOrganisation.RatePerS / quotaClients
	interval := time.Duration(float64(time.Second) / rate)
	next := time.Now().Add(time.Duration(c.random.Int64N(int64(interval))))
	front, until := "", time.Time{}
	for pause(ctx, time.Until(next)) == nil {
		if time.Now().After(until) {
			c.transport.CloseIdleConnections()
			front, until = c.fronts[c.random.IntN(len(c.fronts))], time.Now().Add(time.Duration(c.random.Int64N(int64(maxQuotaStay))))
		}
		r := c.send(ctx, front)
		c.requests = append(c.requests, r)
		if r.status == 0 {
			until = time.Time{}
		}
		next = next.Add(interval)
	}
	return ctx.Err()
}

func (c *quotaClient) send(ctx context.Context, front string) quotaRequest {
	r := quotaRequest{id: fmt.Sprintf("%s-%d", c.name, len(c.requests)), sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	// The bodies differ, because fronts hold a call that seems to have ended three servers, and
	// a cut link to the only server looks like that to calls with the same body (seed 9020).
	request, err := usersplatform.Request{ID: r.id, Body: r.id, Key: limitedOrganisation.Keys[0]}.HTTP(ctx, front, usersplatform.SiteHost, "/calls/x")
	if err != nil {
		panic("soak: cannot make a request: " + err.Error())
	}
	request.GetBody = nil // the transport must not send it again by itself
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		return r
	}
	defer reply.Body.Close()
	_, _ = io.Copy(io.Discard, reply.Body) // the status and the header are what counts
	r.status, r.retryAfter = reply.StatusCode, reply.Header.Get("Retry-After")
	return r
}

// allRequests returns the requests of all clients. It may be called only after they have ended.
func allRequests(clients []*quotaClient) []quotaRequest {
	var requests []quotaRequest
	for _, c := range clients {
		requests = append(requests, c.requests...)
	}
	return requests
}

// awaitCalm waits for a window of the quota that begins at the given time, or when all fronts
// are ready if that is later, and returns it. With a limit of the backend server it returns
// an empty span, because the quota cannot be used then.
func awaitCalm(ctx context.Context, from time.Time, limit float64) (span, error) {
	if limit > 0 {
		return span{}, nil
	}
	if now := time.Now(); now.After(from) {
		from = now
	}
	calm := span{from: from, to: from.Add(usersplatform.QuotaWindow)}
	return calm, pause(ctx, time.Until(calm.to))
}

// quotaUse is what the limited organisation used of its quota.
type quotaUse struct {
	refused int // requests that were answered 429
	allowed int // requests that may run in a window
	most    int // requests that ran in the fullest window
	// mostSent counts only those that were also sent in the window. It is lower than most if
	// requests waited at a frozen front or in a link.
	mostSent int
	calm     float64 // the part of the quota that was used while there were no faults; -1 if not measured
}

// checkQuota checks the requests of the limited organisation, of which the given ones ran at
// the backend server. In the calm span, which may be empty, there were no faults.
func checkQuota(requests []quotaRequest, runs []usersplatform.Run, calm span) (quotaUse, []string) {
	limit := limitedOrganisation
	perWindow := limit.RatePerS*usersplatform.QuotaWindow.Seconds() + limit.Burst
	use := quotaUse{allowed: int(perWindow*(1+usersplatform.QuotaOverage) + usersplatform.QuotaSlack), calm: -1}
	var violations []string
	addViolation := func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(format, arguments...))
	}
	byID := map[string]quotaRequest{}
	for _, r := range requests {
		byID[r.id] = r
		if r.status == http.StatusUnauthorized {
			addViolation("%s was answered 401, although its key is in force", r.id)
		}
		if r.status != http.StatusTooManyRequests {
			continue
		}
		use.refused++
		if seconds, err := strconv.ParseFloat(r.retryAfter, 64); err != nil || seconds <= 0 {
			addViolation("%s was answered 429 with the Retry-After %q", r.id, r.retryAfter)
		}
	}
	var ran []usersplatform.Run
	for _, run := range runs {
		r, recorded := byID[run.RequestID]
		if recorded && (run.HasKey || run.Organisation != limit.Name) {
			addViolation("%s ran for organisation %q, with its key: %t", run.RequestID, run.Organisation, run.HasKey)
		}
		if recorded && r.status == http.StatusTooManyRequests {
			addViolation("%s ran and was answered 429", run.RequestID)
		}
		if recorded || run.Organisation == limit.Name {
			ran = append(ran, run)
		}
	}
	slices.SortFunc(ran, func(a, b usersplatform.Run) int { return a.At.Compare(b.At) })
	first, inCalm := 0, 0
	var mostAt time.Time // the end of the fullest window
	for last, run := range ran {
		for run.At.Sub(ran[first].At) >= usersplatform.QuotaWindow {
			first++
		}
		if count := last + 1 - first; count > use.most {
			use.most, mostAt = count, run.At
		}
		sent := 0
		for _, other := range ran[first : last+1] {
			if r, recorded := byID[other.RequestID]; !recorded || run.At.Sub(r.sent) < usersplatform.QuotaWindow {
				sent++
			}
		}
		use.mostSent = max(use.mostSent, sent)
		if run.At.After(calm.from) && run.At.Before(calm.to) {
			inCalm++
		}
	}
	if use.most > use.allowed {
		addViolation("%d requests of the organisation with a quota ran in the %s before %s, at most %d were also sent in one window; %d are allowed", use.most,
			usersplatform.QuotaWindow, mostAt.Format(time.StampMicro), use.mostSent, use.allowed)
	}
	if length := calm.to.Sub(calm.from).Seconds(); length > 0 {
		use.calm = float64(inCalm) / (limit.RatePerS*length + limit.Burst)
		if use.calm < minQuotaUse {
			addViolation("%d requests of the organisation with a quota ran in %.1f s without faults, %.2f of the quota", inCalm, length, use.calm)
		}
	}
	return use, violations
}

// without429 returns the violation of a request that was answered 429, although it has no
// organisation with a quota.
func without429(id string) string {
	return id + " was answered 429, although its organisation has no quota"
}
