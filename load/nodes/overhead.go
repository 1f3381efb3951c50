package nodes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/load"
	"dogwoodline.example/outcome"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

// OverheadConfig describes a comparison of the latency of calls through one node
// with that of direct calls to the emulated backend servers. All of them run in
// this process.
type OverheadConfig struct {
	// Rate is in calls per second.
	Rate int
	// Length is the real time for which each kind of calls is measured, once
	// directly and once through the node.
	Length time.Duration
	Log    *slog.Logger
}

// Overhead holds the latency that a node adds to two kinds of calls.
type Overhead struct {
	Rate    int     `json:"calls_per_second"`
	LimitMS float64 `json:"limit_ms"`
	// FirstPart compares streamed model calls up to the first chunk of the
	// answer, which is how long a client waits before it can show something.
	FirstPart LatencyComparison `json:"first_part"`
	// Recorded compares idempotent service calls up to the answer, which a node
	// sends only when the record of the call is durable.
	Recorded LatencyComparison `json:"recorded"`
}

// LatencyComparison compares the latencies of one kind of calls. They are in milliseconds
// and count from the intended start of each call.
type LatencyComparison struct {
	Calls   int            `json:"calls"`
	Failed  int            `json:"failed"` // through the node, including the warm-up
	Direct  load.Quantiles `json:"direct"`
	Node    load.Quantiles `json:"node"`
	AddedMS float64        `json:"added_p99_ms"`
	Met     bool           `json:"met"`
}

const (
	overheadPrograms = 500 // at 1,000 calls/s, each program has half a second for a call
	overheadLimitMS  = 3
	// overheadWorkers is the number of concurrent calls. It is enough for
	// latencies of up to 256 ms at 1,000 calls/s.
	overheadWorkers         = 256
	overheadDeadline        = 10 * time.Second
	overheadTokensPerSecond = 1e9 // makes the time in the engine negligible
)

// MeasureOverhead makes the same calls directly and through one node, in an open
// loop: the calls are due at fixed times, whether or not the earlier ones have
// ended. It returns an error if the measurement could not be completed.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (Overhead, error) {
	d := load.Deployments()[0]
	d.Zones, d.Tenants, d.ModelWorkers, d.ServiceWorkers = 1, 1, 1, overheadWorkers
	d.Services, d.Classes = d.Services[:1], d.Classes[:1]
	result := Overhead{Rate: config.Rate, LimitMS: overheadLimitMS}
	running, err := startDeployment(ctx, Config{
		Deployment: d, Policy: schedule.ProgramAware, Seed: 1, Nodes: 1, TimeScale: 1, Log: config.Log,
		engine: func(e *engine.Config) {
			e.PrefillTokensPerS, e.DecodeTokensPerS, e.BatchSlowdown = overheadTokensPerSecond, overheadTokensPerSecond, 0
		},
	})
	if err != nil {
		return result, err
	}
	defer running.Close()
	slowMS := int64(0)
	if err := running.Services[0].ApplySwitches(ctx, service.Switches{SlowMS: &slowMS}); err != nil {
		return result, load.Error.Wrap(err)
	}
	address := running.Nodes()[0].Address()
	result.FirstPart, err = compareLatency(ctx, config, address, d, load.Model, running.Engines[0].URL()+"/v1/chat/completions")
	if err != nil {
		return result, err
	}
	result.Recorded, err = compareLatency(ctx, config, address, d, load.Service, running.Services[0].URL()+"/do/"+d.Services[0])
	return result, err
}

// compareLatency measures one kind of calls first directly, at the given URL,
// and then through the node at the given address.
func compareLatency(
	ctx context.Context, config OverheadConfig, address string, d load.Deployment, kind load.Kind, url string,
) (LatencyComparison, error) {
	nodeCall, err := newNodeCall(ctx, address, d, kind)
	if err != nil {
		return LatencyComparison{}, err
	}
	a := LatencyComparison{Calls: int(config.Length.Seconds() * float64(config.Rate))}
	if a.Direct, _, err = measureOpenLoop(ctx, config, newDirectCall(url, kind)); err != nil {
		return a, err
	}
	if a.Node, a.Failed, err = measureOpenLoop(ctx, config, nodeCall); err != nil {
		return a, err
	}
	a.AddedMS = a.Node.P99MS - a.Direct.P99MS
	a.Met = a.AddedMS <= overheadLimitMS && a.Failed == 0
	return a, nil
}

// callFunc makes the call with the given number and returns the time at which
// the first part of the answer arrived.
type callFunc func(ctx context.Context, number int) (time.Time, error)

// overheadPrompt is the prompt of all calls, direct and through the node.
var overheadPrompt = load.Message{Role: "user", Content: "Which invoices of March are open?"}

// newDirectCall returns a callFunc that sends requests to a backend server.
func newDirectCall(url string, kind load.Kind) callFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadWorkers}}
	body := []byte(`{"direct":true}`)
	if kind == load.Model {
		body = fmt.Appendf(nil, `{"model":"demo","messages":[{"role":%q,"content":%q}],"max_tokens":1,"stream":true}`,
			overheadPrompt.Role, overheadPrompt.Content)
	}
	return func(ctx context.Context, number int) (time.Time, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return time.Time{}, load.Error.Wrap(err)
		}
		request.Header.Set(service.HeaderRequest, fmt.Sprintf("direct-%d", number))
		request.Header.Set(service.HeaderProgram, fmt.Sprintf("direct-%d", number%overheadPrograms))
		response, err := client.Do(request)
		if err != nil {
			return time.Time{}, load.Error.Wrap(err)
		}
		defer response.Body.Close()
		_, err = response.Body.Read(make([]byte, 1))
		first := time.Now()
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil && response.StatusCode != http.StatusOK {
			err = load.Error.New("HTTP status %d", response.StatusCode)
		}
		return first, load.Error.Wrap(err)
	}
}

// newNodeCall starts the programs concurrently. It returns a callFunc that makes
// calls of the programs through the node, in round-robin order.
func newNodeCall(ctx context.Context, address string, d load.Deployment, kind load.Kind) (callFunc, error) {
	target := load.NewHTTPTarget([]string{"http://" + address}, TenantKey)
	name := func(number int) string { return fmt.Sprintf("%s-%d", kind, number%overheadPrograms) }
	var starts errgroup.Group
	for i := range overheadPrograms {
		starts.Go(func() error {
			started, err := target.StartProgram(ctx, load.ProgramStart{ID: name(i), Tenant: "tenant-00", Class: d.Classes[0].Name})
			if err == nil && started.Code != outcome.Completed {
				err = load.Error.New("program not started: %s %s", started.Code, started.Detail)
			}
			return err
		})
	}
	if err := starts.Wait(); err != nil {
		return nil, err
	}
	return func(ctx context.Context, number int) (time.Time, error) {
		startedAt, order := time.Now(), number/overheadPrograms+1
		call := load.CallRequest{
			Program: name(number), RequestID: fmt.Sprintf("call-%d", order), Order: order, Kind: kind,
			DeadlineMS: overheadDeadline.Milliseconds(),
		}
		if kind == load.Model {
			call.Messages, call.MaxTokens, call.Stream = []load.Message{overheadPrompt}, 1, true
		} else {
			call.Service, call.Operation, call.Body = d.Services[0], d.Services[0], []byte(`{"direct":false}`)
		}
		result, err := target.Call(ctx, call)
		first := time.Now()
		if kind == load.Model {
			first = startedAt.Add(result.FirstToken)
		}
		if err == nil && result.Outcome.Code != outcome.Completed {
			err = load.Error.New("%s %s %s", result.Outcome.Code, result.Outcome.Reason, result.Outcome.Detail)
		}
		return first, err
	}, nil
}

// timedCall is a call with its intended start and its result.
type timedCall struct {
	number  int
	due     time.Time
	latency time.Duration
	err     error
}

// measureOpenLoop starts calls at the given rate, however long the answers take.
// It returns the latencies of the calls that succeeded after a warm-up of one
// second, and the number of calls that failed, including the warm-up.
func measureOpenLoop(ctx context.Context, config OverheadConfig, call callFunc) (load.Quantiles, int, error) {
	warmup := config.Rate // one second of calls
	total := warmup + int(config.Length.Seconds()*float64(config.Rate))
	ready, done := ring.New[timedCall](total), ring.New[timedCall](total)
	group := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	defer group.Stop()
	for i := range overheadWorkers {
		group.Go(fmt.Sprintf("caller-%d", i), func(ctx context.Context) error {
			for {
				c, err := ready.Pop(ctx)
				if err != nil {
					return err
				}
				var first time.Time
				first, c.err = call(ctx, c.number)
				c.latency = first.Sub(c.due)
				if err := done.Push(ctx, c); err != nil {
					return err
				}
			}
		})
	}
	interval := time.Second / time.Duration(config.Rate)
	startedAt := time.Now()
	for number := range total {
		due := startedAt.Add(time.Duration(number) * interval)
		select {
		case <-ctx.Done():
			return load.Quantiles{}, 0, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if err := ready.Push(ctx, timedCall{number: number, due: due}); err != nil {
			return load.Quantiles{}, 0, load.Error.Wrap(err)
		}
	}
	latencies, failed := hdrhistogram.New(1, overheadDeadline.Microseconds()*2, 3), 0
	for range total {
		c, err := done.Pop(ctx)
		if err != nil {
			return load.Quantiles{}, 0, load.Error.Wrap(err)
		}
		if c.err != nil {
			failed++
			config.Log.Warn("load: call failed", "number", c.number, "error", c.err)
		}
		if c.number >= warmup && c.err == nil {
			_ = latencies.RecordValue(c.latency.Microseconds()) // the deadline of the call bounds the latency
		}
	}
	ms := func(q float64) float64 { return float64(latencies.ValueAtQuantile(q)) / 1000 }
	return load.Quantiles{P50MS: ms(50), P95MS: ms(95), P99MS: ms(99)}, failed, nil
}
