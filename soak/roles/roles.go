// Package roles runs front and store processes against an emulated users'
// platform, injects faults from outside the processes, and checks the answers
// that clients received against the requests that the backend server ran.
package roles

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/usersplatform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("soak roles")

// Config describes a fault run.
type Config struct {
	// Binary is the path of the executable that provides both roles.
	Binary string
	// Fronts, Stores and Programs are the numbers of front processes, of store
	// processes and of clients that each run one program at a time.
	Fronts, Stores, Programs int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Seed determines the faults, the names of the programs and the front that
	// each request is sent to.
	Seed uint64
	// SecondOctet is the second octet of the loopback addresses of the hosts. Runs at
	// the same time need different values. 0 stands for 64.
	SecondOctet int
	// Limit is the number of requests per second that the backend server says it
	// takes from all fronts together; 0 for none.
	Limit float64
	// Organisations makes the clients of turns and calls send the keys of organisations,
	// takes keys away during the run, and adds an organisation that sends more than its quota.
	Organisations bool
	// Contended says in the settings of the hosts that callers compete for places.
	Contended bool
	Log       *slog.Logger
}

const (
	startTimeout = 20 * time.Second
	// recoveryLimit is the time after the last fault within which all fronts
	// must be ready again, as the users require.
	recoveryLimit = 12 * time.Second
	defaultNet    = 64
)

// Result is the outcome of a run: its faults, the numbers of answered, refused
// and broken-off requests, and the violations found.
type Result struct {
	Seed      uint64
	Faults    []string
	Answered  int
	Refused   int
	BrokenOff int
	// TakenUp is the number of requests that took up a resumable stream, and GoneOn the
	// number of those that brought an event.
	TakenUp, GoneOn int
	// quota is what the organisation with a quota used; nil without organisations.
	quota      *quotaUse
	Violations []string
	// Folder holds the logs of the processes. Run removes it unless there are
	// violations.
	Folder string
}

// Write prints the result in readable form. It lists the violations, the faults
// and the log folder only if there are violations.
func (r Result) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "seed %d: %d answered, %d refused, %d broken off, %d of %d streams taken up went on, %d faults, %d violations\n",
		r.Seed, r.Answered, r.Refused, r.BrokenOff, r.GoneOn, r.TakenUp, len(r.Faults), len(r.Violations))
	if err == nil && r.quota != nil {
		_, err = fmt.Fprintf(w, "  quota: %d requests ran in the fullest window, %d sent and run in one, %d allowed; %.2f used without faults, %d refused\n",
			r.quota.most, r.quota.mostSent, r.quota.allowed, r.quota.calm, r.quota.refused)
	}
	for _, line := range append(r.Violations, r.Faults...) {
		if err == nil && len(r.Violations) > 0 {
			_, err = fmt.Fprintln(w, " ", line)
		}
	}
	if err == nil && len(r.Violations) > 0 {
		_, err = fmt.Fprintln(w, "  logs:", r.Folder)
	}
	return err
}

// Run starts a deployment and its clients, injects faults for the configured
// time, waits until all fronts are ready again, and checks the answers that the
// clients received.
func Run(ctx context.Context, config Config) (Result, error) {
	if config.SecondOctet == 0 {
		config.SecondOctet = defaultNet
	}
	folder, err := os.MkdirTemp("", "dogwoodline-roles-")
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	d, err := deploy(ctx, config, folder)
	stop := sync.OnceFunc(d.stop)
	defer stop()
	if err != nil {
		return Result{Folder: folder}, err
	}
	group := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	d.backend.SetLimit(config.Limit)
	recorder := newRecorder()
	group.Go("recorder", recorder.run)
	clients := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	for i := range config.Programs {
		c := &client{fronts: d.frontAddresses(), recorder: recorder, name: fmt.Sprintf("s%d-c%d", config.Seed, i),
			random: rand.New(rand.NewPCG(config.Seed, uint64(i)+1))}
		if config.Organisations {
			c.organisation = organisationNames[i%len(organisationNames)]
		}
		clients.Go("client", c.run)
	}
	crashing := crashingClients(config.Seed, d.frontAddresses())
	for _, c := range crashing {
		clients.Go("crashing-client", c.run)
	}
	streams := &streamLog{}
	for i := range streamClients {
		c := &streamClient{fronts: d.frontAddresses(), name: fmt.Sprintf("s%d-stream%d", config.Seed, i), log: streams,
			random: rand.New(rand.NewPCG(config.Seed, uint64(2000+i)))}
		clients.Go("stream-client", c.run)
	}
	keys := newKeyLog(config.Seed)
	var limited []*quotaClient
	if config.Organisations {
		keys.start(clients, d)
		limited = startQuotaClients(clients, config.Seed, d.frontAddresses())
	}
	for _, b := range d.fragile {
		group.Go("fragile-backend", b.Run)
	}
	injector := &faultInjector{deployment: d, random: rand.New(rand.NewPCG(config.Seed, 0)), log: config.Log}
	faults, failure := injector.run(ctx, config.Duration)
	calmFrom := time.Now().Add(quotaRecovery)
	if failure == nil {
		failure = d.awaitService(ctx, recoveryLimit)
	}
	if failure == nil {
		failure = recorder.awaitAnswer(ctx, recoveryLimit)
	}
	var calm span
	if failure == nil && config.Organisations {
		calm, failure = awaitCalm(ctx, calmFrom, config.Limit)
	}
	clients.Stop()
	group.Stop()
	stop() // the folder can be removed only when no process writes to it
	runs := d.backend.Runs()
	result := recorder.drain().check(runs)
	result.Violations = append(result.Violations, checkLimit(runs, config.Limit)...)
	var crashes []usersplatform.End
	for _, b := range d.fragile {
		crashes = append(crashes, b.Runs()...)
	}
	result.Violations = append(result.Violations, checkCrashes(crashes)...)
	for _, c := range crashing {
		result.Violations = append(result.Violations, c.violations...)
	}
	if config.Organisations {
		result.Violations = append(result.Violations, keys.check(runs, injector.unaware)...)
		use, violations := checkQuota(allRequests(limited), runs, calm)
		result.quota, result.Violations = &use, append(result.Violations, violations...)
	}
	result.Violations = append(result.Violations, streams.violations...)
	result.TakenUp, result.GoneOn = streams.takenUp, streams.goneOn
	result.Seed, result.Faults, result.Folder = config.Seed, faults, folder
	if failure != nil {
		result.Violations = append(result.Violations, failure.Error())
	}
	if len(result.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return result, Error.Wrap(err)
}
