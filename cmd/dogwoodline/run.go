package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/budget"
	"dogwoodline.example/program"
)

type routeCommand struct {
	connection
	Program string `arg:"" help:"Id of the program."`
}

// Run asks which node serves a program.
func (r routeCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	address, err := client.New(client.Config{Nodes: r.Node}).Address(ctx, r.Program)
	if err != nil || r.json(c, address) {
		return err
	}
	table(c, []string{"CHOICE", "ADDRESS", "AVAILABILITY ZONE", "KEEP MS"},
		[]string{"first", address.Address, address.Zone, fmt.Sprint(address.MaxAgeMS)},
		[]string{"second", address.Second, address.SecondZone, fmt.Sprint(address.MaxAgeMS)})
	return nil
}

type runCommand struct {
	connection
	Key       string        `env:"DOGWOODLINE_KEY" help:"Key of the tenant."`
	Program   string        `help:"Id of the program. Default: run-, the process id and the time."`
	Class     string        `required:"" help:"Class of the program."`
	Budget    int64         `help:"Budget in tokens. 0 means that of the class."`
	MaxTokens int           `default:"128" help:"Most generated tokens of a call."`
	Deadline  time.Duration `default:"30s" help:"Deadline of each call."`
	Prompt    []string      `arg:"" help:"Prompts, one model call each."`
}

// Run runs a program and shows its answers as they arrive.
func (r runCommand) Run(c *console) error {
	caller := client.New(client.Config{Nodes: r.Node, Key: r.Key})
	if r.Program == "" {
		r.Program = fmt.Sprintf("run-%d-%d", os.Getpid(), time.Now().UnixMilli())
	}
	ctx := context.Background()
	started, err := caller.Start(ctx, api.StartRequest{
		ID: r.Program, Class: r.Class, Budget: budget.Units(r.Budget), DeadlineMS: r.Deadline.Milliseconds(),
	})
	if err == nil {
		err = failureOf(started.Outcome)
	}
	if err != nil {
		return err
	}
	for i, prompt := range r.Prompt {
		if err := r.call(ctx, c, caller, i+1, prompt); err != nil {
			_, _ = caller.End(ctx, r.Program) // the failure of the call is what counts
			return err
		}
	}
	ended, err := caller.End(ctx, r.Program)
	if err != nil {
		return err
	}
	return failureOf(ended.Outcome)
}

func (r runCommand) call(ctx context.Context, c *console, caller *client.Client, order int, prompt string) error {
	body := api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order),
		Order:     order,
		Kind:      program.Model,
		Messages:  []program.Message{{Role: "user", Content: prompt}},
		MaxTokens: r.MaxTokens, DeadlineMS: r.Deadline.Milliseconds(),
	}}
	show := func(part program.Chunk) error {
		if r.Output == "json" {
			return nil
		}
		if part.Offset == 0 {
			c.say("\n%s call %d, attempt %d:\n", r.Program, order, part.Attempt)
		}
		_, err := fmt.Fprint(c.out, part.Text)
		return err
	}
	begin := time.Now()
	result, err := caller.Call(ctx, r.Program, body, show)
	if err != nil {
		return err
	}
	if !r.json(c, callSummary(r.Program, order, result)) {
		c.say("\n[%s, %d units, %d tries, %d ms, recorded: %t]\n", result.Outcome.Code, result.Spent,
			result.Tries, time.Since(begin).Milliseconds(), result.Recorded)
	}
	return failureOf(result.Outcome)
}

func callSummary(id string, order int, result client.Result) any {
	return struct {
		Program string `json:"program"`
		Order   int    `json:"order"`
		Tries   int    `json:"tries"`
		api.CallReply
	}{id, order, result.Tries, api.CallReply{
		Outcome: result.Outcome, Answer: api.Answer{Text: string(result.Answer)},
		Recorded: result.Recorded, Attempt: result.Attempt, Spent: result.Spent,
	}}
}
