package schedule_test

import (
	"fmt"
	"time"

	"dogwoodline.example/schedule"
)

// A policy is a state machine: time is passed in and decisions come out. Here
// one backend server has one slot, and the call of the program that got the
// least service so far goes first.
func Example() {
	now := time.Unix(0, 0)
	policy, err := schedule.New(schedule.ProgramAware, schedule.Settings{})
	if err != nil {
		fmt.Println(err)
		return
	}
	policy.SetBackends(now, []schedule.Backend{{ID: "engine-1", Pool: "models", Slots: 1}})

	var out schedule.Decisions
	submit := func(id schedule.CallID, program string, attained int64) {
		policy.Submit(now, schedule.Request{
			ID: id, Pool: "models", Program: program, Tenant: "acme", Class: "agent", Attained: attained,
			PromptTokens: 100, MaxTokens: 50, Arrived: now, Deadline: now.Add(time.Minute),
		}, &out)
	}
	submit(1, "long-rewrite", 200_000)
	submit(2, "short-quote", 100)
	policy.Next(now, &out)
	for _, grant := range out.Grants {
		fmt.Println("call", grant.ID, "runs on", grant.Backend)
	}
	fmt.Println("waiting:", policy.Waiting())
	// Output:
	// call 2 runs on engine-1
	// waiting: 1
}
