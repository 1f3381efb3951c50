package schedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/outcome"
	"dogwoodline.example/schedule"
)

func TestSchedule(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "schedule")
}

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func create(policy string, settings schedule.Settings) schedule.Scheduler {
	s, err := schedule.New(policy, settings)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func request(id int) schedule.Request {
	return schedule.Request{
		ID: schedule.CallID(id), Pool: "p", Program: "program", Tenant: "t", Class: "c",
		PromptTokens: 1000, MaxTokens: 200, Arrived: start, Deadline: at(60_000), Idempotent: true,
	}
}

func backends(ids ...schedule.BackendID) []schedule.Backend {
	var list []schedule.Backend
	for _, id := range ids {
		list = append(list, schedule.Backend{ID: id, Pool: "p", Slots: 1})
	}
	return list
}

var _ = Describe("Every policy", func() {
	It("has a fixed name, and New rejects any other", func() {
		_, err := schedule.New("none", schedule.Settings{})
		Expect(err).To(MatchError(schedule.ErrUnknownPolicy))
	})

	for _, policy := range schedule.Policies() {
		It("never exceeds the slots and grants the next call after Finish: "+policy, func() {
			s, out := create(policy, schedule.Settings{}), &schedule.Decisions{}
			s.SetBackends(start, backends("a"))
			s.Submit(start, request(1), out)
			s.Submit(start, request(2), out)
			s.Next(start, out)
			Expect(out.Grants).To(HaveLen(1))
			s.Finish(at(1), out.Grants[0].ID, "a", schedule.Timing{})
			s.Next(at(1), out)
			Expect(out.Grants).To(HaveLen(2))
		})

		It("moves waiting calls away from a leaving backend server: "+policy, func() {
			s, out := create(policy, schedule.Settings{}), &schedule.Decisions{}
			s.SetBackends(start, backends("a"))
			s.Submit(start, request(1), out)
			s.Submit(start, request(2), out)
			s.Next(start, out)
			list := backends("a", "b")
			list[0].Leaving = true
			s.SetBackends(at(1), list)
			s.Next(at(1), out)
			Expect(out.Grants).To(HaveLen(2))
			Expect(out.Grants[1].Backend).To(Equal(schedule.BackendID("b")))
		})

		It("refuses calls past their deadline and calls without a backend server: "+policy, func() {
			s, out := create(policy, schedule.Settings{}), &schedule.Decisions{}
			s.Submit(start, request(1), out)
			Expect(out.Refusals[0].Outcome.Reason).To(Equal(outcome.NoBackend))
			s.SetBackends(start, backends("a"))
			s.Submit(start, request(1), out)
			s.Submit(start, request(2), out)
			s.Next(start, out)
			Expect(s.NextWake()).To(BeTemporally("<=", at(60_000).Add(1)))
			s.Next(at(60_001), out)
			Expect(out.Refusals[1].Outcome.Reason).To(Equal(outcome.DeadlineExceeded))
			Expect(s.Waiting()).To(BeZero())
		})
	}
})
