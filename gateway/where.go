package gateway

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"dogwoodline.example/call"
	"dogwoodline.example/gateway/where"
	"dogwoodline.example/route"
)

// Where tells where a request would go now, and why, without sending or reserving
// anything. It makes the decisions of ServeHTTP in the same order.
func (g *Gateway) Where(ctx context.Context, q where.Query, now time.Time) (where.Answer, error) {
	if g.table.Load() == nil {
		return where.Answer{}, where.ErrUnavailable
	}
	e := &clientExchange{gateway: g, request: call.Request{
		ID: rand.Text(), Method: q.Method, Target: q.Path, Host: q.Host, Arrived: now, Timeout: q.Deadline, Organisation: q.Organisation,
		Program: q.Program, Session: q.Session, FinishWithin: q.FinishWithin, PreviousTurn: q.Previous, MaxOutputTokens: q.Tokens,
	}}
	answer := where.Answer{Front: g.settings.Address, Zone: g.settings.Zone, Ready: g.Ready()}
	if refused := e.whereEnters(q, &answer, now); refused != nil {
		addRefusal(&answer, refused)
		return answer, nil
	}
	ask := &whereQuery{job: e.newJob(ctx, nil, now.Add(e.request.Timeout)), reply: make(chan preview, 1)}
	if err := g.scheduler.messages.TryPush(schedulerMessage{asked: ask}); err != nil {
		return where.Answer{}, where.ErrUnavailable
	}
	select {
	case p := <-ask.reply:
		addPreview(&answer, p)
		return answer, nil
	case <-ctx.Done():
		return where.Answer{}, where.ErrUnavailable
	}
}

// whereEnters makes the decisions that precede those of the scheduler and adds them to the
// answer. It returns why the request would be refused.
func (e *clientExchange) whereEnters(q where.Query, answer *where.Answer, now time.Time) *refusal {
	if r := e.findRoute(q.Host, q.Path); r != nil {
		return r
	}
	answer.Config = e.table.Version
	streaming := e.route.Kind == route.Streaming
	e.startsProgram = q.StartsProgram && streaming
	e.service = e.findService(e.route.PickService(hashFraction(e.request)))
	e.turn = newTurnRecord(e.gateway.turnStore, &e.request, e.route, e.service.Engine, nil)
	e.turn.hasBudget = e.startsProgram || streaming && q.Program != ""
	answer.Route = &where.Route{Name: e.route.Name, Kind: string(e.route.Kind), Service: e.service.Name}
	if len(e.route.Shares) > 1 {
		answer.Unknown = append(answer.Unknown, "service: the route divides requests by weight, and one was drawn")
	}
	r := e.whereOrganisation(answer, now)
	answer.Route.Priority, answer.Route.Levels = e.table.Priority(e.request.Organisation, e.route), e.table.PriorityLevels()
	if r != nil {
		return r
	}
	if r := e.limitTime(); r != nil {
		return r
	}
	if _, r := e.limitBody(int64(q.Bytes)); r != nil {
		return r
	}
	if !streaming || !e.turn.hasBudget && !e.route.RetainTurns {
		return nil
	}
	if q.Previous != "" {
		e.turnsBefore = 1 // at least
		answer.Unknown = append(answer.Unknown, "home server and number of turns of the conversation: only the turn stores know them",
			"whether the organisation owns the previous turn")
	}
	if e.turn.hasBudget {
		answer.Unknown = append(answer.Unknown, "what is left of the program's token budget: only the turn stores know it")
	}
	if r := e.refusedByStores(); r != nil {
		return r
	}
	if e.startsAnew() && e.storesLackRoom() {
		return e.noRoom()
	}
	return nil
}

// whereOrganisation looks at the quota of the request's organisation.
func (e *clientExchange) whereOrganisation(answer *where.Answer, now time.Time) *refusal {
	if !e.table.HasOrganisations() {
		e.request.Organisation = ""
		return nil
	}
	known := e.table.Organisations[e.request.Organisation]
	switch {
	case known == nil && e.route.Public:
		e.request.Organisation = ""
		return nil
	case known == nil && e.request.Organisation == "":
		return &refusal{status: http.StatusUnauthorized, reason: reasonNoKey}
	case known == nil && e.gateway.tableMayBeOld(now):
		return unavailable(reasonOldTable, retryAfterNotReady)
	case known == nil:
		return &refusal{status: http.StatusUnauthorized, reason: fmt.Sprintf("configuration %d has no organisation of this name", e.table.Version)}
	}
	o := &where.Organisation{Name: known.Name, Priority: known.Priority, RatePerSecond: known.RatePerSecond, Burst: known.Burst, Token: where.TokenAvailable}
	answer.Organisation = o
	if !e.hasQuota() {
		return nil
	}
	quota := e.gateway.settings.Quota
	admitted, asks, after := quota.Peek(known.Name, now)
	o.StartsScarce = quota.StartsScarce(known.Name, now)
	switch {
	case admitted && o.StartsScarce && e.startsProgram, asks:
		o.Token = where.TokenAsk
		answer.Unknown = append(answer.Unknown, "quota: the front would ask the coordinator of the organisation, and the rest of this answer takes it to agree")
	case !admitted:
		o.Token = where.TokenNone
		return e.overQuota(after)
	}
	return nil
}

// addRefusal adds how the request would be refused.
func addRefusal(answer *where.Answer, r *refusal) {
	answer.Verdict = where.Refused
	answer.Refusal = &where.Refusal{Status: r.status, Reason: r.reason, RetryAfterS: r.after.Seconds()}
}

// addPreview adds what the scheduler would do with the job.
func addPreview(answer *where.Answer, p preview) {
	answer.Route.Servers, answer.Route.Contended = p.servers, p.contended
	answer.Unknown = append(answer.Unknown, "whether this call has ended backend servers before")
	answer.Verdict = where.Sent
	if p.waits {
		answer.Verdict = where.Waits
	}
	if p.refusal != nil {
		addRefusal(answer, p.refusal)
	}
	if v := p.start; v != nil {
		answer.Start = &where.Start{
			Admitted: v.refused == "", Utilization: v.utilization, Threshold: v.threshold, ExpectedWaitMs: v.wait.Milliseconds(),
			AffordableWaitMs: v.affordable.Milliseconds(), Lateness: v.lateness, Standing: v.standing.String(),
		}
	}
	if p.queue != nil {
		answer.Queue = &where.Queue{Waiting: p.waiting, Ahead: p.queue.Ahead, AheadEstimated: p.queue.Estimated, ExpectedWaitMs: p.queue.Wait.Milliseconds()}
	}
	if p.contended {
		answer.Zones = &where.Zones{Shares: p.zoneShares, Demand: p.zoneDemand}
	}
	if p.candidates == nil {
		return
	}
	if answer.Zones != nil {
		answer.Zones.Target = p.candidates.Zone
	}
	answer.Compared = p.candidates.Compared
	if p.candidates.Found {
		answer.Chosen = p.candidates.Chosen.ID
	}
	for _, c := range p.candidates.Best {
		answer.Candidates = append(answer.Candidates, where.Candidate{
			Server: c.Backend.ID, Zone: c.Backend.AvailabilityZone, Running: c.Running, Capacity: c.Capacity, Free: max(0, c.Capacity-c.Running),
			Cost: c.Cost.Sum(), Parts: c.Cost,
		})
	}
}
