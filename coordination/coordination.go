// Package coordination lets fronts share what changes too fast for the turn stores: the
// quotas of organisations and what each front has measured of backend servers. A few of
// the listed fronts are coordinators; every front reports to them, so that the messages
// of a front do not grow with the fleet.
package coordination

import "time"

// Topic exchanges one kind of content. Only the coordination duty calls its methods.
type Topic interface {
	// Name identifies the topic in messages.
	Name() string
	// Report returns what this front says to a coordinator; nil for nothing.
	Report(coordinator string, now time.Time) []byte
	// Answer returns, at the coordinator, what a front that has reported is told.
	Answer(front string, payload []byte, now time.Time) []byte
	// Learn takes in what a coordinator answered.
	Learn(coordinator string, payload []byte, now time.Time)
}
