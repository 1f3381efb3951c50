package where

import "dogwoodline.example/fleet"

// Verdict is what would become of the request.
type Verdict string

const (
	// Sent means that the request would be sent to the chosen server at once.
	Sent Verdict = "sent"
	// Waits means that it would wait for a free slot or for the limits of the servers.
	Waits Verdict = "waits"
	// Refused means that it would be refused.
	Refused Verdict = "refused"
)

// The values of Organisation.Token.
const (
	TokenAvailable = "available"
	TokenAsk       = "ask" // the front would ask a coordinator
	TokenNone      = "none"
)

// Answer tells what would become of a request now, and why. Parts that were not reached,
// because the request is refused before, are missing.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// Front is the address of the front that answers, Zone its availability zone, and Config
	// the version of its configuration.
	Front        string        `json:"front"`
	Zone         string        `json:"zone"`
	Config       int64         `json:"config"`
	Ready        bool          `json:"ready"`
	Route        *Route        `json:"route,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
	Start        *Start        `json:"start,omitempty"`
	Queue        *Queue        `json:"queue,omitempty"`
	Zones        *Zones        `json:"zones,omitempty"`
	Candidates   []Candidate   `json:"candidates,omitempty"`
	// Compared counts the comparisons of candidates, of which the best are listed.
	Compared int `json:"compared,omitempty"`
	// Chosen is the ID of the server that the request would be sent to now; if it waits, the
	// one that it would be sent to if a slot were free.
	Chosen  string   `json:"chosen,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Unknown lists what a front alone does not know and what the answer leaves out.
	Unknown []string `json:"unknown,omitempty"`
}

// Route is the route of the request and the service to which it goes.
type Route struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	Servers int    `json:"servers"`
	// Contended says that calls to the service wait at the fronts and go to servers by
	// measured speed.
	Contended bool `json:"contended"`
	// Priority is that of the organisation and the route, 0 for the most urgent; Levels is
	// the number of its values, 0 if it is not bounded.
	Priority int `json:"priority"`
	Levels   int `json:"priority_levels,omitempty"`
}

// Organisation is the organisation of the request and its quota.
type Organisation struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// RatePerSecond and Burst are its quota over all fronts; 0 for none.
	RatePerSecond float64 `json:"requests_per_second"`
	Burst         float64 `json:"burst"`
	// Token tells whether the front has a token for the request.
	Token string `json:"token"`
	// StartsScarce says that the quota hardly suffices for the programs in progress, so
	// that programs start with a coordinator's permission only.
	StartsScarce bool `json:"starts_scarce"`
}

// Start tells whether a program may start.
type Start struct {
	Admitted    bool    `json:"admitted"`
	Utilization float64 `json:"utilization"`
	// Threshold is the utilization from which programs of this priority do not start.
	Threshold float64 `json:"threshold"`
	// ExpectedWaitMs is the expected wait of a call, and AffordableWaitMs what each call of
	// the program can afford; 0 if the service is not contended.
	ExpectedWaitMs   int64 `json:"expected_wait_ms"`
	AffordableWaitMs int64 `json:"affordable_wait_ms"`
	// Lateness is how long first events lately took relative to their objective.
	Lateness float64 `json:"lateness"`
	// Standing compares the programs that the organisation has started with its share:
	// "within", "over" or "under".
	Standing string `json:"standing"`
}

// Queue is the place of the request among the calls that wait at the front.
type Queue struct {
	Waiting int `json:"waiting"`
	// Ahead is the number of calls that go before it, an estimate if AheadEstimated is set.
	Ahead          int   `json:"ahead"`
	AheadEstimated bool  `json:"ahead_estimated,omitempty"`
	ExpectedWaitMs int64 `json:"expected_wait_ms"`
}

// Zones is the zone decision for the service.
type Zones struct {
	// Target is the zone in which the server of this request would be looked for first.
	Target string `json:"target"`
	// Shares are the parts of the calls that leave the zone, by the zone to which they go.
	Shares map[string]float64 `json:"shares,omitempty"`
	// Demand is the number of calls that run or wait, by the zone of their fronts.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// Candidate is a server that was compared.
type Candidate struct {
	Server   string  `json:"server"`
	Zone     string  `json:"zone"`
	Running  float64 `json:"running"`
	Capacity float64 `json:"capacity"`
	Free     float64 `json:"free"`
	Cost     float64 `json:"cost"`
	// Parts are the components of the cost.
	Parts fleet.Cost `json:"cost_parts"`
}

// Refusal is the response to a request that is refused.
type Refusal struct {
	Status      int     `json:"status"`
	Reason      string  `json:"reason"`
	RetryAfterS float64 `json:"retry_after_s,omitempty"`
}
