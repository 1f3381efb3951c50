package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/emulator/engine"
	"dogwoodline.example/emulator/service"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

// hostList is a host list of the platform that the test sets.
type hostList struct {
	hosts atomic.Pointer[[]kvstore.Host]
}

func (h *hostList) Hosts(context.Context) ([]kvstore.Host, error) {
	if hosts := h.hosts.Load(); hosts != nil {
		return *hosts, nil
	}
	return nil, nil
}

// loadReport reads an engine's load report.
func loadReport(e *engine.Engine) engine.LoadReport {
	var r engine.LoadReport
	getJSON(e.URL()+"/load", &r)
	return r
}

// heldTokens reads how many tokens an engine holds in memory for each program.
func heldTokens(e *engine.Engine) map[string]int64 {
	var h engine.ProgramMemory
	getJSON(e.URL()+"/held", &h)
	return h.Programs
}

func getJSON(url string, into any) {
	answer, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	Expect(json.NewDecoder(answer.Body).Decode(into)).To(Succeed())
}

var _ = Describe("backend servers", func() {
	It("get no new call later than 3 s after the host list marks them as leaving", func(ctx context.Context) {
		c := newCluster(ctx, 2, 2)
		s := c.nodes[0].Service()
		leaving := []kvstore.Host{{Name: "e1", Address: c.engines[0].Address(), State: kvstore.HostLeaving}}
		c.hosts.hosts.Store(&leaving)
		time.Sleep(3 * time.Second)
		before := loadReport(c.engines[0]).Totals.Started
		var wait sync.WaitGroup
		for i := range 12 {
			wait.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprintf("p%d", i)
				Expect(s.Start(ctx, "acme", api.StartRequest{ID: id, Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
				Expect(s.Call(ctx, "acme", id, modelCall(1, "hello"), nil).Outcome.Code).To(Equal(outcome.Completed))
			})
		}
		wait.Wait()
		Expect(loadReport(c.engines[0]).Totals.Started).To(Equal(before))
	}, NodeTimeout(30*time.Second))

	It("release the memory of ended programs and keep that of live ones", func(ctx context.Context) {
		c := newCluster(ctx, 2, 1)
		s := c.nodes[0].Service()
		for _, id := range []string{"gone", "living"} {
			Expect(s.Start(ctx, "acme", api.StartRequest{ID: id, Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
			Expect(s.Call(ctx, "acme", id, modelCall(1, strings.Repeat("log line ", 100)), nil).Outcome.Code).To(Equal(outcome.Completed))
		}
		Expect(heldTokens(c.engines[0])).To(And(HaveKey("gone"), HaveKey("living")))
		Expect(s.End(ctx, "acme", "gone").Outcome.Code).To(Equal(outcome.Completed))
		Eventually(func() map[string]int64 { return heldTokens(c.engines[0]) }, "10s", "100ms").ShouldNot(HaveKey("gone"))
		Consistently(func() map[string]int64 { return heldTokens(c.engines[0]) }, "1500ms", "100ms").Should(HaveKey("living"))
	}, NodeTimeout(40*time.Second))

	It("are crashed at most twice by the same request, also when other programs repeat it, and other requests complete", func(ctx context.Context) {
		c := newCluster(ctx, 2, 3)
		marker := "poison pill"
		startIDsBefore := map[string]string{}
		for i, e := range c.engines {
			Expect(e.ApplySwitches(ctx, engine.Switches{CrashMarker: &marker})).To(Succeed())
			startIDsBefore[fmt.Sprint(i)] = loadReport(e).StartID
		}
		w := &workload{c: c}
		w.start(10, 4)
		replies := make([]program.Reply, 4)
		for i := range replies { // the same request comes from new programs, through both nodes
			id := fmt.Sprintf("bad%d", i)
			s := c.nodes[i%2].Service()
			Expect(s.Start(ctx, "acme", api.StartRequest{ID: id, Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
			replies[i] = s.Call(ctx, "acme", id, modelCall(1, marker), nil)
		}
		w.wait.Wait()
		Expect(replies[0].Outcome.Reason).To(Equal(outcome.CrashesBackend), "%+v", replies[0].Outcome)
		for _, reply := range replies[1:] {
			Expect(reply.Outcome).To(HaveField("Code", outcome.Invalid), "%+v", reply.Outcome)
			Expect(reply.Outcome.Reason).To(Equal(outcome.CrashesBackend))
		}
		crashed := 0
		for i, e := range c.engines {
			Eventually(func() string { return loadReport(e).StartID }, "5s").ShouldNot(BeEmpty())
			if loadReport(e).StartID != startIDsBefore[fmt.Sprint(i)] {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically("<=", 2))
		GinkgoWriter.Println(w.outcomes())
		w.check()
		for _, o := range w.observed {
			Expect(o.reply.Outcome.Reason).NotTo(Equal(outcome.CrashesBackend), "a request that crashes no backend server was refused")
		}
	}, NodeTimeout(60*time.Second))

	It("that crash for reasons of their own cause no request to be refused", func(ctx context.Context) {
		c := newCluster(ctx, 2, 3)
		w := &workload{c: c}
		w.start(20, 4)
		for range 2 {
			time.Sleep(150 * time.Millisecond)
			Expect(c.engines[0].ApplySwitches(ctx, engine.Switches{CrashNow: true})).To(Succeed())
		}
		w.wait.Wait()
		GinkgoWriter.Println(w.outcomes())
		Expect(w.outcomes()).To(HaveLen(1), "only completed calls: %v", w.outcomes())
		w.check()
	}, NodeTimeout(60*time.Second))

	It("that hang delay a call no longer than its deadline, and its outcome is unknown when it may have run", func(ctx context.Context) {
		c := newCluster(ctx, 2, 1)
		s := c.nodes[0].Service()
		Expect(s.Start(ctx, "acme", api.StartRequest{ID: "p", Class: "agent"}).Outcome.Code).To(Equal(outcome.Completed))
		hang := true
		Expect(c.ledger.ApplySwitches(ctx, service.Switches{Hang: &hang})).To(Succeed())
		posting := ledgerPost(1, `{}`)
		posting.DeadlineMS = 800
		begin := time.Now()
		reply := s.Call(ctx, "acme", "p", posting, nil)
		Expect(reply.Outcome.Code).To(Equal(outcome.Unknown), "%+v", reply.Outcome)
		Expect(time.Since(begin)).To(BeNumerically("<", 3*time.Second))
	}, NodeTimeout(30*time.Second))
})
