package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/duty"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/ring"
)

func TestDispatch(t *testing.T) {
	SetDefaultEventuallyTimeout(10 * time.Second)
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// pool holds the rings of a pool of caller duties.
type pool struct {
	jobs   *ring.Ring[dispatch.Job]
	events *ring.Ring[dispatch.Event]
}

// startPool starts a pool with the given number of caller duties.
func startPool(callers int) *pool {
	p := &pool{jobs: ring.New[dispatch.Job](64), events: ring.New[dispatch.Event](256)}
	transport := dispatch.NewTransport()
	group := duty.NewGroup(context.Background(), slog.New(slog.DiscardHandler), metrics.NewSet())
	dispatch.NewCallerPool(transport, p.jobs, p.events, slog.New(slog.DiscardHandler)).Start(group, callers)
	DeferCleanup(func() {
		group.Stop()
		transport.Close()
	})
	return p
}

// run pushes one job and returns the text of its chunks and its result.
func (p *pool) run(job dispatch.Job) (string, dispatch.Result) {
	GinkgoHelper()
	Expect(p.jobs.TryPush(job)).To(Succeed())
	return p.wait(job.Offset)
}

// wait reads the events of one job until the final one and checks that their
// offsets, which start at offset, have no gap.
func (p *pool) wait(offset int64) (string, dispatch.Result) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var text strings.Builder
	for {
		event, err := p.events.Pop(ctx)
		Expect(err).NotTo(HaveOccurred())
		if event.Text != "" {
			Expect(event.Offset).To(Equal(offset + int64(text.Len())))
		}
		text.WriteString(event.Text)
		if event.Final {
			return text.String(), event.Result
		}
	}
}

// startEngine starts an emulated engine whose time runs 50 times faster than
// real time. change may modify its configuration.
func startEngine(change func(*engine.Config)) *engine.Engine {
	GinkgoHelper()
	config := engine.DefaultConfig()
	config.TimeScale = 50
	if change != nil {
		change(&config)
	}
	e, err := engine.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

func endpoint(address string) dispatch.Endpoint {
	return dispatch.Endpoint{Name: "b1", Address: address}
}

func chatBody(prompt string, tokens int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens))
}

func modelJob(address, id string, tokens int) dispatch.Job {
	return dispatch.Job{
		ID: 1, Program: "p1", RequestID: id, Attempt: 1, Kind: dispatch.Model,
		Endpoint: endpoint(address), Body: chatBody("say "+id, tokens), Idempotent: true,
		Deadline: time.Now().Add(20 * time.Second), WorstCost: 1000,
	}
}

// content returns the text in the answer of a model call.
func content(result dispatch.Result) string {
	GinkgoHelper()
	var answer struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	Expect(json.Unmarshal(result.Answer, &answer)).To(Succeed(), "outcome %+v", result.Outcome)
	Expect(answer.Choices).To(HaveLen(1))
	return answer.Choices[0].Message.Content
}
