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
	nodeFlags
	Program string `arg:"" help:"ID of the program."`
}

// Run prints the addresses of the nodes that serve a program.
func (r routeCommand) Run(c *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	address, err := client.New(client.Config{Nodes: r.Node}).Address(ctx, r.Program)
	if err != nil || r.printJSON(c, address) {
		return err
	}
	printTable(c, []string{"CHOICE", "ADDRESS", "AVAILABILITY ZONE", "MAX AGE MS"},
		[]string{"first", address.Address, address.Zone, fmt.Sprint(address.MaxAgeMS)},
		[]string{"second", address.Second, address.SecondZone, fmt.Sprint(address.MaxAgeMS)})
	return nil
}

type runCommand struct {
	nodeFlags
	Key       string        `env:"DOGWOODLINE_KEY" help:"API key of the tenant."`
	Program   string        `help:"ID of the program. Default: run-PID-TIME, with the time in milliseconds."`
	Class     string        `required:"" help:"Class of the program."`
	Budget    int64         `help:"Budget limit of the program. 0 means the limit of the class."`
	MaxTokens int           `default:"128" help:"Maximum number of tokens to generate in each call."`
	Deadline  time.Duration `default:"30s" help:"Deadline of each call."`
	Prompt    []string      `arg:"" help:"Prompts, one model call for each."`
}

// Run runs a program and prints its answers as they arrive.
func (r runCommand) Run(c *console) error {
	apiClient := client.New(client.Config{Nodes: r.Node, Key: r.Key})
	if r.Program == "" {
		r.Program = fmt.Sprintf("run-%d-%d", os.Getpid(), time.Now().UnixMilli())
	}
	ctx := context.Background()
	started, err := apiClient.Start(ctx, api.StartRequest{
		ID: r.Program, Class: r.Class, Budget: budget.Units(r.Budget), DeadlineMS: r.Deadline.Milliseconds(),
	})
	if err == nil {
		err = errorFromOutcome(started.Outcome)
	}
	if err != nil {
		return err
	}
	for i, prompt := range r.Prompt {
		if err := r.call(ctx, c, apiClient, i+1, prompt); err != nil {
			_, _ = apiClient.End(ctx, r.Program) // the error of the call is the one to report
			return err
		}
	}
	ended, err := apiClient.End(ctx, r.Program)
	if err != nil {
		return err
	}
	return errorFromOutcome(ended.Outcome)
}

// call makes one model call and prints the answer chunk by chunk, or as one
// line of JSON at the end.
func (r runCommand) call(ctx context.Context, c *console, apiClient *client.Client, order int, prompt string) error {
	body := api.CallBody{CallRequest: api.CallRequest{
		RequestID: fmt.Sprintf("call-%d", order),
		Order:     order,
		Kind:      program.Model,
		Messages:  []program.Message{{Role: "user", Content: prompt}},
		MaxTokens: r.MaxTokens, DeadlineMS: r.Deadline.Milliseconds(),
	}}
	printChunk := func(chunk program.Chunk) error {
		if r.Output == "json" {
			return nil
		}
		if chunk.Offset == 0 {
			c.printf("\n%s call %d, attempt %d:\n", r.Program, order, chunk.Attempt)
		}
		_, err := fmt.Fprint(c.stdout, chunk.Text)
		return err
	}
	begin := time.Now()
	result, err := apiClient.Call(ctx, r.Program, body, printChunk)
	if err != nil {
		return err
	}
	if !r.printJSON(c, callSummary(r.Program, order, result)) {
		c.printf("\n[%s, %d units, %d tries, %d ms, recorded: %t]\n", result.Outcome.Code, result.Spent,
			result.Tries, time.Since(begin).Milliseconds(), result.Recorded)
	}
	return errorFromOutcome(result.Outcome)
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
