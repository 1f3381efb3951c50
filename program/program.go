// Package program is the state machine of agent programs: order of calls,
// repeats, history, budget and turn limit.
package program
