package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/gateway/where"
	"dogwoodline.example/httpresponse"
)

const (
	// whereTimeout is longer than a front takes to answer or to give up.
	whereTimeout = 3 * time.Second
	// maxWhereBytes bounds the answer that is read.
	maxWhereBytes = 1 << 20
)

// errNoAnswer marks that a front gave no answer.
var errNoAnswer = errs.New("no answer")

type whereCommand struct {
	Address       string        `arg:"" help:"Operators' address of a front, IP:PORT; the port is 9464."`
	Host          string        `required:"" help:"Host of the request."`
	Path          string        `required:"" help:"Path of the request."`
	Method        string        `default:"POST" help:"Method of the request."`
	Organisation  string        `help:"Name of the organisation that sends it; never a key."`
	Session       string        `help:"Session of the request."`
	Program       string        `help:"Program of the request."`
	Previous      string        `help:"Id of the turn that the request continues."`
	StartsProgram bool          `help:"The request starts a program."`
	FinishWithin  time.Duration `help:"Time until the program should be finished, such as 1500ms."`
	Deadline      time.Duration `help:"Time within which the response is needed; by default that of the route."`
	Bytes         int           `help:"Length of the body."`
	Tokens        int           `help:"KV cache that the call takes, in tokens."`
	JSON          bool          `name:"json" help:"Print the front's response unmodified."`
}

func (w whereCommand) query() where.Query {
	return where.Query{
		Host: w.Host, Path: w.Path, Method: w.Method, Organisation: w.Organisation, Session: w.Session, Program: w.Program, Previous: w.Previous,
		StartsProgram: w.StartsProgram, FinishWithin: w.FinishWithin, Deadline: w.Deadline, Bytes: w.Bytes, Tokens: w.Tokens,
	}
}

// Run asks a front where a request would go now, and prints the answer.
func (w whereCommand) Run(c *console) error {
	if _, _, err := net.SplitHostPort(w.Address); err != nil {
		return errs.Combine(errUsage, err)
	}
	content, err := w.ask()
	if err != nil {
		return err
	}
	var answer where.Answer
	if err := json.Unmarshal(content, &answer); err != nil {
		return errs.Combine(errNoAnswer, err)
	}
	if w.JSON {
		c.printf("%s", content)
	} else {
		printWhere(c, answer)
	}
	if answer.Verdict == where.Refused {
		return errReported
	}
	return nil
}

// ask returns the front's response.
func (w whereCommand) ask() ([]byte, error) {
	target := url.URL{Scheme: "http", Host: w.Address, Path: where.Path, RawQuery: w.query().Encode().Encode()}
	client := http.Client{Timeout: whereTimeout, Transport: httpresponse.NewTransport(http.DefaultTransport)}
	response, err := client.Get(target.String())
	if err != nil {
		return nil, errs.Combine(errNoAnswer, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	switch {
	case err != nil:
		return nil, errs.Combine(errNoAnswer, err)
	case response.StatusCode == http.StatusBadRequest:
		return nil, errs.Combine(errUsage, errs.New("%s", strings.TrimSpace(string(content))))
	case response.StatusCode != http.StatusOK:
		return nil, errs.Combine(errNoAnswer, errs.New("%s: %s", response.Status, strings.TrimSpace(string(content))))
	}
	return content, nil
}

func printWhere(c *console, a where.Answer) {
	switch {
	case a.Refusal != nil:
		c.printf("refused with %d: %s\n", a.Refusal.Status, a.Refusal.Reason)
		if a.Refusal.RetryAfterS > 0 {
			c.printf("retry after:  %.3g s\n", a.Refusal.RetryAfterS)
		}
	case a.Verdict == where.Waits:
		c.printf("waits at the front\n")
	default:
		c.printf("sent to %s\n", a.Chosen)
	}
	c.printf("front:        %s in %s, configuration %d, ready: %t\n", a.Front, a.Zone, a.Config, a.Ready)
	if r := a.Route; r != nil {
		c.printf("route:        %s (%s) to service %s with %d servers, contended: %t, priority %d\n", r.Name, r.Kind, r.Service, r.Servers, r.Contended, r.Priority)
	}
	if o := a.Organisation; o != nil {
		c.printf("organisation: %s, priority %d, quota %g requests/s, burst %g, token: %s, starts scarce: %t\n",
			o.Name, o.Priority, o.RatePerSecond, o.Burst, o.Token, o.StartsScarce)
	}
	if s := a.Start; s != nil {
		c.printf("program:      may start: %t, utilization %.2f of %.2f, expected wait %d ms of %d, lateness %.2f, share: %s\n",
			s.Admitted, s.Utilization, s.Threshold, s.ExpectedWaitMs, s.AffordableWaitMs, s.Lateness, s.Standing)
	}
	if q := a.Queue; q != nil {
		c.printf("queue:        %d calls wait, %d go before it, expected wait %d ms\n", q.Waiting, q.Ahead, q.ExpectedWaitMs)
	}
	if z := a.Zones; z != nil {
		c.printf("zones:        target %s, shares that leave the zone %v, demand %v\n", z.Target, z.Shares, z.Demand)
	}
	printCandidates(c, a)
	for _, unknown := range a.Unknown {
		c.printf("not known:    %s\n", unknown)
	}
}

// printCandidates prints the servers that were compared, with the components of their
// costs that are not 0.
func printCandidates(c *console, a where.Answer) {
	if len(a.Candidates) == 0 {
		return
	}
	rows := [][]string{{"SERVER", "ZONE", "RUNNING", "FREE", "COST", "PARTS"}}
	for _, s := range a.Candidates {
		name := s.Server
		if name == a.Chosen {
			name += " *"
		}
		parts, _ := json.Marshal(s.Parts) // numbers only, which cannot fail
		rows = append(rows, []string{name, s.Zone, fmt.Sprintf("%.3g", s.Running), fmt.Sprintf("%.3g", s.Free), fmt.Sprintf("%.3f", s.Cost), string(parts)})
	}
	printTable(c, rows...)
}
