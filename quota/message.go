package quota

import "time"

// Report is what a front tells a coordinator. Amounts are since its previous report.
type Report struct {
	// Epoch differs after each report without an answer and each start of the front.
	Epoch uint64
	// Number grows with each report of an epoch.
	Number uint64
	// Delegated has a bit for each partition whose share the coordinator may spend.
	Delegated uint64
	// Share is the part of each quota that the front owns.
	Share float64
	Uses  []Use
}

// Use is what a front says about one organisation.
type Use struct {
	Organisation uint64
	Spent        int64 // tokens
	Returned     int64 // tokens that the front no longer holds
	GivenBack    int64 // tokens reported as spent whose requests did not run
	Wanted       int64 // tokens that the front would like to hold
	Waiting      int64 // requests that wait for a token
	Starting     int64 // further ones that start programs and wait for permission too
	Started      int64 // programs started without asking for permission
	Final        bool  // the front holds no more tokens and forgets the organisation
}

// Reply is what the coordinator answers.
type Reply struct {
	Number uint64 // of the report
	Grants []Grant
}

// Grant is the answer about one organisation.
type Grant struct {
	Organisation uint64
	Tokens       int64
	// Next is when the front may expect more tokens; 0 if some are left.
	Next time.Duration
	// Rate is how many tokens per second the front may expect.
	Rate float64
	// Starts is how many of the requests that start programs may go on.
	Starts int64
	// NextStart is the time after which further programs may start; 0 if they may now.
	NextStart time.Duration
	// Unknown says that the coordinator's configuration has no such organisation.
	Unknown bool
}
