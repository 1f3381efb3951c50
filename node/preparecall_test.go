package node

import (
	"testing"

	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

// Guards against two faults after a takeover: an engine refuses the new owner's
// attempt because an attempt with the same number still runs for the former
// owner, and a service does not recognise a repeated call and runs it twice.
func TestUpstreamRequestIDAcrossOwners(t *testing.T) {
	id := func(kind program.Kind, owner string) string {
		call := &program.Call{Program: "p", RequestID: "r", Kind: kind, Service: "ledger"}
		return prepareCall(resource.NewSet(), owner, program.Dispatch{Call: call}).job.RequestID
	}
	if first, second := id(program.Model, "a-1"), id(program.Model, "b-1"); first != "p:r@a-1" || second != "p:r@b-1" {
		t.Errorf("model call: %q and %q", first, second)
	}
	if first, second := id(program.Service, "a-1"), id(program.Service, "b-1"); first != "p:r" || second != "p:r" {
		t.Errorf("service call: %q and %q", first, second)
	}
}
