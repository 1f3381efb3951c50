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

	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/load"
	"dogwoodline.example/outcome"
	"dogwoodline.example/ring"
	"dogwoodline.example/schedule"
)

// OverheadConfig describes a comparison of calls through one node with direct
// calls to the stand-in service, in this process.
type OverheadConfig struct {
	// Rate is in calls per second.
	Rate int
	// Length is the real time of each part.
	Length time.Duration
	Log    *slog.Logger
}

// Overhead holds the latencies of both parts from the intended start of each
// call, in milliseconds.
type Overhead struct {
	Rate    int           `json:"calls_per_second"`
	Calls   int           `json:"calls"`
	Failed  int           `json:"failed"`
	Direct  load.Quantile `json:"direct"`
	Node    load.Quantile `json:"node"`
	AddedMS float64       `json:"added_p99_ms"`
	LimitMS float64       `json:"limit_ms"`
	Met     bool          `json:"met"`
}

const (
	overheadPrograms = 500 // so that a program has half a second for a call
	overheadLimitMS  = 3
	// overheadCallers is enough for latencies up to 256 ms at 1,000 calls/s.
	overheadCallers  = 256
	overheadDeadline = 10 * time.Second
	warmupCalls      = 1000
)

// MeasureOverhead makes the same idempotent service calls directly and through
// one node, in an open loop. An error tells that it could not finish.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (Overhead, error) {
	d := load.Deployments()[0]
	running, err := start(ctx, Config{
		Deployment: load.Deployment{
			Name: d.Name, Zones: 1, Tenants: 1, ServiceWorkers: 256, Services: d.Services[:1], Classes: d.Classes[:1],
		},
		Policy: schedule.ProgramAware, Seed: 1, Nodes: 1, TimeScale: 1, Log: config.Log,
	})
	if err != nil {
		return Overhead{}, err
	}
	defer running.Close()
	slow := int64(0)
	if err := running.Services[0].Set(ctx, service.Switches{SlowMS: &slow}); err != nil {
		return Overhead{}, load.Error.Wrap(err)
	}
	through, err := nodeCaller(ctx, running.Nodes()[0].Address(), d)
	if err != nil {
		return Overhead{}, err
	}
	result := Overhead{Rate: config.Rate, LimitMS: overheadLimitMS}
	direct := directCaller(running.Services[0].URL(), d)
	if result.Direct, _, err = paced(ctx, config, direct); err != nil {
		return result, err
	}
	if result.Node, result.Failed, err = paced(ctx, config, through); err != nil {
		return result, err
	}
	result.Calls = int(config.Length.Seconds() * float64(config.Rate))
	result.AddedMS = result.Node.P99MS - result.Direct.P99MS
	result.Met = result.AddedMS <= overheadLimitMS && result.Failed == 0
	return result, nil
}

// caller makes the call with the given number.
type caller func(ctx context.Context, number int) error

func directCaller(url string, d load.Deployment) caller {
	connections := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: overheadCallers}}
	return func(ctx context.Context, number int) error {
		body := bytes.NewReader([]byte(`{"direct":true}`))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/do/"+d.Services[0], body)
		if err != nil {
			return load.Error.Wrap(err)
		}
		request.Header.Set(service.HeaderRequest, fmt.Sprintf("direct-%d", number))
		answer, err := connections.Do(request)
		if err != nil {
			return load.Error.Wrap(err)
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		if err == nil && answer.StatusCode != http.StatusOK {
			err = load.Error.New("HTTP status %d", answer.StatusCode)
		}
		return load.Error.Wrap(err)
	}
}

// nodeCaller starts the programs and returns a caller that gives them calls in
// turn.
func nodeCaller(ctx context.Context, address string, d load.Deployment) (caller, error) {
	target := load.NewHTTPTarget([]string{"http://" + address}, KeyOf)
	for i := range overheadPrograms {
		start := load.ProgramStart{ID: fmt.Sprintf("overhead-%d", i), Tenant: "tenant-00", Class: d.Classes[0].Name}
		started, err := target.StartProgram(ctx, start)
		if err != nil || started.Code != outcome.Completed {
			return nil, load.Error.New("program not started: %s %s %v", started.Code, started.Detail, err)
		}
	}
	return func(ctx context.Context, number int) error {
		order := number/overheadPrograms + 1
		result, err := target.Call(ctx, load.CallRequest{
			Program: fmt.Sprintf("overhead-%d", number%overheadPrograms), RequestID: fmt.Sprintf("call-%d", order), Order: order,
			Kind: load.Service, Service: d.Services[0], Operation: d.Services[0], Body: []byte(`{"direct":false}`),
			DeadlineMS: overheadDeadline.Milliseconds(),
		})
		if err == nil && result.Outcome.Code != outcome.Completed {
			err = load.Error.New("%s %s", result.Outcome.Code, result.Outcome.Reason)
		}
		return err
	}, nil
}

// pacedCall is a call with its intended start and its end.
type pacedCall struct {
	number  int
	due     time.Time
	latency time.Duration
	err     error
}

// paced starts calls at the given rate, whatever the answers take, and returns
// the latencies of those after the warm-up and the number that failed.
func paced(ctx context.Context, config OverheadConfig, call caller) (load.Quantile, int, error) {
	total := warmupCalls + int(config.Length.Seconds()*float64(config.Rate))
	ready, done := ring.New[pacedCall](total), ring.New[pacedCall](total)
	group := duty.NewGroup(ctx, config.Log, metrics.NewSet())
	defer group.Stop()
	for i := range overheadCallers {
		group.Go(fmt.Sprintf("caller-%d", i), func(ctx context.Context) error {
			for {
				c, err := ready.Pop(ctx)
				if err != nil {
					return err
				}
				c.err = call(ctx, c.number)
				c.latency = time.Since(c.due)
				if err := done.Push(ctx, c); err != nil {
					return err
				}
			}
		})
	}
	interval := time.Second / time.Duration(config.Rate)
	began := time.Now()
	for number := range total {
		due := began.Add(time.Duration(number) * interval)
		select {
		case <-ctx.Done():
			return load.Quantile{}, 0, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if err := ready.Push(ctx, pacedCall{number: number, due: due}); err != nil {
			return load.Quantile{}, 0, load.Error.Wrap(err)
		}
	}
	latencies, failed := hdrhistogram.New(1, overheadDeadline.Microseconds()*2, 3), 0
	for range total {
		c, err := done.Pop(ctx)
		if err != nil {
			return load.Quantile{}, 0, load.Error.Wrap(err)
		}
		if c.err != nil {
			failed++
			config.Log.Warn("load: call failed", "number", c.number, "error", c.err)
		}
		if c.number >= warmupCalls {
			_ = latencies.RecordValue(c.latency.Microseconds()) // a deadline bounds it
		}
	}
	ms := func(q float64) float64 { return float64(latencies.ValueAtQuantile(q)) / 1000 }
	return load.Quantile{P50MS: ms(50), P95MS: ms(95), P99MS: ms(99)}, failed, nil
}
