package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/load"
	"dogwoodline.example/outcome"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

// fakeTarget records the requests. It completes calls at once unless answer is
// set, which then returns the result.
type fakeTarget struct {
	mu            sync.Mutex
	calls         []load.CallRequest
	starts        map[string]load.ProgramStart
	endedPrograms atomic.Int64
	answer        func(load.CallRequest) (load.CallResult, error)
}

func (f *fakeTarget) StartProgram(_ context.Context, p load.ProgramStart) (outcome.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.starts == nil {
		f.starts = map[string]load.ProgramStart{}
	}
	f.starts[p.ID] = p
	return outcome.Outcome{Code: outcome.Completed}, nil
}

func (f *fakeTarget) Call(_ context.Context, c load.CallRequest) (load.CallResult, error) {
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	if f.answer != nil {
		return f.answer(c)
	}
	return completed, nil
}

func (f *fakeTarget) EndProgram(context.Context, string) error {
	f.endedPrograms.Add(1)
	return nil
}

var completed = load.CallResult{Outcome: outcome.Outcome{Code: outcome.Completed}}

// quickRun returns a run that sends the programs of 10 s of scenario time within
// 0.1 s.
func quickRun(target load.Target) load.Run {
	s, _ := load.ScenarioByName("steady")
	s.Warmup, s.Length = 0, 10*time.Second
	return load.Run{
		Deployment: load.Deployments()[0], Scenario: s, Rate: 4, Seed: 1, Target: target,
		TimeScale: 0.01, Callers: 16,
	}
}

var _ = Describe("Generate", func() {
	d := load.Deployments()[0]
	steady, _ := load.ScenarioByName("steady")

	It("returns the same programs for the same seed and others for another seed", func() {
		Expect(load.Generate(d, steady, 5, 1)).To(Equal(load.Generate(d, steady, 5, 1)))
		Expect(load.Generate(d, steady, 5, 1)).NotTo(Equal(load.Generate(d, steady, 5, 2)))
	})

	It("changes only the stragglers in the stragglers scenario", func() {
		s, _ := load.ScenarioByName("stragglers")
		plain, stretched, stragglers := load.Generate(d, steady, 20, 1), load.Generate(d, s, 20, 1), 0
		Expect(stretched).To(HaveLen(len(plain)))
		for i, p := range stretched {
			Expect(p.Start).To(Equal(plain[i].Start))
			if p.Straggler {
				stragglers++
				continue
			}
			Expect(p.Steps).To(Equal(plain[i].Steps))
		}
		Expect(float64(stragglers) / float64(len(plain))).To(BeNumerically("~", 0.02, 0.01))
	})

	It("raises the demand fourfold in the crest", func() {
		s, _ := load.ScenarioByName("crest")
		calm, crest := 0, 0
		for _, p := range load.Generate(d, s, 20, 1) {
			switch {
			case s.Phase(p.Start) == load.PhaseCrest && p.Start >= s.CrestStart+s.CrestRise:
				crest++
			case p.Start < s.CrestHold:
				calm++
			}
		}
		Expect(float64(crest) / float64(calm)).To(BeNumerically("~", 4, 0.8))
	})

	It("keeps the duration of the crest and of slowdowns when the length changes", func() {
		crest, _ := load.ScenarioByName("crest")
		slowed, _ := load.ScenarioByName("slowed")
		short := crest.WithLength(crest.Length / 2)
		Expect(short.CrestStart).To(Equal(crest.CrestStart / 2))
		Expect(short.CrestEnd() - short.CrestStart).To(Equal(crest.CrestEnd() - crest.CrestStart))
		Expect(short.CrestEnd()).To(BeNumerically("<", short.Length))
		fault := slowed.WithLength(slowed.Length / 2).Faults[0]
		Expect(fault.Start).To(Equal(slowed.Faults[0].Start / 2))
		Expect(fault.End - fault.Start).To(Equal(10 * time.Second))
		Expect(slowed.Faults[0].Start).To(Equal(70*time.Second), "WithLength must not change the original scenario")
	})

	It("finds all scenarios of the design page and rejects unknown names", func() {
		for _, name := range []string{"steady", "crest", "stragglers", "slowed", "churn", "node-loss"} {
			_, err := load.ScenarioByName(name)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := load.ScenarioByName("none")
		Expect(err).To(MatchError(load.ErrUnknownName))
		_, err = load.DeploymentByName("none")
		Expect(err).To(MatchError(load.ErrUnknownName))
	})
})

var _ = Describe("Run", func() {
	It("sends the calls of each program in order and ends every program", func() {
		target := &fakeTarget{}
		result, err := quickRun(target).Do(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Completed).To(Equal(result.Programs))
		Expect(result.Programs).To(BeNumerically(">", 10))
		Expect(result.TimeScale).To(Equal(0.01))
		orders := map[string]int{}
		for _, c := range target.calls {
			orders[c.Program]++
			Expect(c.Order).To(Equal(orders[c.Program]))
			if c.Kind == load.Service {
				Expect(json.Valid(c.Body)).To(BeTrue())
				continue
			}
			Expect(c.Messages).NotTo(BeEmpty())
			Expect(c.Order > 1 || c.Messages[0].Role == "system").To(BeTrue())
		}
		Expect(target.starts).To(HaveLen(len(orders)))
		Expect(target.endedPrograms.Load()).To(BeEquivalentTo(len(orders)))
	})

	It("counts a refused first call as a refused program and retries later calls with the same request id", func() {
		var mu sync.Mutex
		seen := map[string]int{}
		target := &fakeTarget{answer: func(c load.CallRequest) (load.CallResult, error) {
			mu.Lock()
			defer mu.Unlock()
			seen[c.RequestID]++
			first := seen[c.RequestID] == 1
			refuse := first && (c.Order == 1 && strings.HasSuffix(c.Program, "3") || c.Order == 2)
			if refuse {
				return load.CallResult{Outcome: outcome.NewNotRun(outcome.Overloaded, time.Millisecond)}, nil
			}
			if c.Order == 3 && first {
				return load.CallResult{}, load.Error.New("connection lost")
			}
			return completed, nil
		}}
		run := quickRun(target)
		run.TimeScale = 0.05 // retries for 3 s, so that no call fails on a busy machine
		result, err := run.Do(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Refused).To(BeNumerically(">", 0))
		Expect(result.Failed).To(BeZero())
		Expect(result.Completed + result.Refused).To(Equal(result.Programs))
	})

	It("counts latency from the intended start when the target is slow", func() {
		target := &fakeTarget{answer: func(load.CallRequest) (load.CallResult, error) {
			time.Sleep(5 * time.Millisecond)
			return completed, nil
		}}
		run := quickRun(target)
		run.Callers = 1
		result, err := run.Do(context.Background())
		Expect(err).NotTo(HaveOccurred())
		// With one caller, hundreds of calls of 5 ms take seconds, which are
		// hundreds of seconds of scenario time. Measured from when it is sent, a
		// call takes only half a second of scenario time.
		Expect(result.P95MS).To(BeNumerically(">", 30_000))
	})

	It("applies the faults of the scenario and stops when its context ends", func() {
		environment := &fakeEnvironment{}
		run := quickRun(&fakeTarget{})
		slowed, _ := load.ScenarioByName("slowed")
		slowed.Length = 120 * time.Second
		run.Scenario, run.Environment, run.Rate = slowed, environment, 1
		_, err := run.Do(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(environment.factors).To(Equal([]float64{5, 5, 1, 1}))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = run.Do(ctx)
		Expect(err).To(MatchError(context.Canceled))
	})
})

type fakeEnvironment struct{ factors []float64 }

func (f *fakeEnvironment) SetBackendSlowdown(_ context.Context, _ int, factor float64) error {
	f.factors = append(f.factors, factor)
	return nil
}
func (f *fakeEnvironment) SetBackendLeaving(context.Context, int, bool) error { return nil }
func (f *fakeEnvironment) StopNode(context.Context, int) error                { return nil }
func (f *fakeEnvironment) StartNode(context.Context, int) error               { return nil }

var _ = Describe("HTTPTarget", func() {
	// Guards against requests that the real HTTP API rejects, against refusals
	// that the client library hides by retrying, and against calls of a sub-agent
	// that go to another address than those of its root program.
	It("looks up the address, starts a program, and reads plain and streamed answers", func() {
		mux := http.NewServeMux()
		var addressLookups, refusedCalls atomic.Int64
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		mux.HandleFunc("GET /v1/address", func(w http.ResponseWriter, _ *http.Request) {
			addressLookups.Add(1)
			w.Write([]byte(`{"address":"` + server.URL + `","keep_ms":60000}`))
		})
		mux.HandleFunc("POST /v1/programs", func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			_, problems := api.DecodeStart(data)
			Expect(problems).To(BeEmpty())
			Expect(r.Header.Get("Authorization")).To(Equal("Bearer key-t"))
			w.WriteHeader(http.StatusCreated)
			w.Write([]byte(`{"outcome":{"code":"completed"}}`))
		})
		mux.HandleFunc("DELETE /v1/programs/{id}", func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte(`{"outcome":{"code":"completed"}}`))
		})
		mux.HandleFunc("POST /v1/programs/{id}/calls", func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			body, problems := api.DecodeCall(data)
			Expect(problems).To(BeEmpty())
			if body.Stream {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Write([]byte("event: chunk\ndata: {\"attempt\":2,\"offset\":0,\"text\":\"a\"}\n\n" +
					"event: done\ndata: {\"outcome\":{\"code\":\"completed\"},\"recorded\":true,\"attempt\":2,\"length\":1}\n\n"))
				return
			}
			refusedCalls.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			w.Write([]byte(`{"outcome":{"code":"not_run","reason":"overloaded","retry_after_ms":5}}`))
		})
		target := load.NewHTTPTarget([]string{server.URL}, func(tenant string) string { return "key-" + tenant })
		ctx := context.Background()
		call := load.CallRequest{
			Program: "a.1", RequestID: "r", Order: 1, Kind: load.Model, MaxTokens: 5, DeadlineMS: 5000,
			Messages: []load.Message{{Role: "user", Content: "text"}},
		}
		_, err := target.Call(ctx, call)
		Expect(err).To(HaveOccurred(), "the program was not started, so its tenant is unknown")
		started, err := target.StartProgram(ctx, load.ProgramStart{ID: "a", Tenant: "t", Class: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(started.Code).To(Equal(outcome.Completed))
		refused, err := target.Call(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Outcome).To(Equal(outcome.NewNotRun(outcome.Overloaded, 5*time.Millisecond)))
		Expect(refusedCalls.Load()).To(BeEquivalentTo(1))
		Expect(addressLookups.Load()).To(BeEquivalentTo(1), "a sub-agent must use the address of its root program")
		call.Program, call.Stream = "a", true
		streamed, err := target.Call(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(streamed.Attempt).To(Equal(2))
		Expect(streamed.FirstToken).To(BeNumerically(">", 0))
		service := load.CallRequest{
			Program: "a", RequestID: "s", Order: 2, Kind: load.Service, Service: "x", Operation: "x", DeadlineMS: 5000,
			Body: []byte(`{"program":"a"}`),
		}
		refused, err = target.Call(ctx, service)
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.Outcome.Code).To(Equal(outcome.NotRun))
		server.CloseClientConnections()
		Expect(target.EndProgram(ctx, "a")).To(Succeed())
		server.Close()
		_, err = target.StartProgram(ctx, load.ProgramStart{ID: "b"})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Reports", func() {
	It("writes the stable JSON names, a table, the performance targets and a self-contained page", func() {
		results := []load.Result{
			{Scenario: "steady", Deployment: "satamavirta", Policy: "random-fcfs", Seed: 1, Quantiles: load.Quantiles{P95MS: 1000}},
			{Scenario: "steady", Deployment: "satamavirta", Policy: "program-aware", Seed: 1, Quantiles: load.Quantiles{P95MS: 500}},
		}
		var text, table, targets, html bytes.Buffer
		Expect(load.WriteJSON(&text, results)).To(Succeed())
		for _, name := range []string{"scenario", "policy", "seed", "programs", "p50_ms", "p95_ms", "p99_ms", "goodput", "refused", "recomputed_tokens", "hedges", "time_scale", "groups"} {
			Expect(text.String()).To(ContainSubstring(`"` + name + `"`))
		}
		Expect(load.WriteTable(&table, results)).To(Succeed())
		Expect(strings.Count(table.String(), "\n")).To(Equal(3))
		Expect(load.WriteObjectives(&targets, results)).To(Succeed())
		Expect(targets.String()).To(MatchRegexp(`random p95 +program-aware +0.500 +0.40 +0/1`))
		Expect(load.WriteHTML(&html, "t", results)).To(Succeed())
		Expect(html.String()).To(ContainSubstring("<svg"))
		Expect(html.String()).NotTo(ContainSubstring("src="))
	})
})
