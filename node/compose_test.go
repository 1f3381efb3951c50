package node

import (
	"testing"

	"dogwoodline.example/program"
	"dogwoodline.example/resource"
)

// Guards against an engine that refuses the attempt of a new owner because the
// former one's attempt with the same number still runs, and against a service
// that does not recognise a call after a takeover and runs it twice.
func TestOutsideIDOverOwners(t *testing.T) {
	id := func(kind program.Kind, owner string) string {
		call := &program.Call{Program: "p", RequestID: "r", Kind: kind, Service: "ledger"}
		return compose(resource.NewSet(), owner, program.Dispatch{Call: call}).job.RequestID
	}
	if first, second := id(program.Model, "a-1"), id(program.Model, "b-1"); first != "p:r@a-1" || second != "p:r@b-1" {
		t.Errorf("model call: %q and %q", first, second)
	}
	if first, second := id(program.Service, "a-1"), id(program.Service, "b-1"); first != "p:r" || second != "p:r" {
		t.Errorf("service call: %q and %q", first, second)
	}
}
