package api_test

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
)

var _ = Describe("Streams", func() {
	stream := func(body string, reply program.Reply, chunks ...program.Chunk) *httptest.ResponseRecorder {
		s := newSetup()
		s.service.call = func(_ api.CallRequest, send func(program.Chunk) error) program.Reply {
			for _, chunk := range chunks {
				Expect(send(chunk)).To(Succeed())
			}
			return reply
		}
		return s.do("POST", callsPath, "key-a", body, "Accept", "text/event-stream")
	}
	events := func(answer *httptest.ResponseRecorder) []string {
		return strings.Split(strings.TrimSuffix(answer.Body.String(), "\n\n"), "\n\n")
	}
	done := func(attempt int, answer string) program.Reply {
		return program.Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: []byte(answer), Attempt: attempt}
	}
	doneEvent := func(attempt, length int) string {
		return `event: done` + "\n" + `data: {"outcome":{"code":"completed"},"recorded":false,"attempt":` +
			strconv.Itoa(attempt) + `,"spent":0,"length":` + strconv.Itoa(length) + `}`
	}
	const (
		abc     = "event: chunk\ndata: {\"attempt\":1,\"offset\":0,\"text\":\"abc\"}"
		de      = "event: chunk\ndata: {\"attempt\":1,\"offset\":3,\"text\":\"de\"}"
		restart = "event: restart\ndata: {\"attempt\":2}"
		xy      = "event: chunk\ndata: {\"attempt\":2,\"offset\":0,\"text\":\"xy\"}"
	)

	It("sends chunks and ends with the outcome and the length", func() {
		answer := stream(validCall, done(1, "abcde"),
			program.Chunk{Attempt: 1, Text: "abc"}, program.Chunk{Attempt: 1, Offset: 3, Text: "de"})
		Expect(answer.Header().Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(events(answer)).To(Equal([]string{abc, de, doneEvent(1, 5)}))
	})

	It("restarts when the attempt changes instead of joining two answers", func() {
		answer := stream(validCall, done(2, "xy"),
			program.Chunk{Attempt: 1, Text: "abc"}, program.Chunk{Attempt: 2, Text: "xy"})
		Expect(events(answer)).To(Equal([]string{abc, restart, xy, doneEvent(2, 2)}))
	})

	It("sends the rest of the answer before the done event", func() {
		Expect(events(stream(validCall, done(1, "abcde"), program.Chunk{Attempt: 1, Text: "abc"}))).
			To(Equal([]string{abc, de, doneEvent(1, 5)}))
		Expect(events(stream(validCall, done(2, "xy"), program.Chunk{Attempt: 1, Text: "abc"}))).
			To(Equal([]string{abc, restart, xy, doneEvent(2, 2)}))
	})

	It("resumes at the caller's offset, or restarts if the attempt has changed", func() {
		resume := callWith(`"order":1`, `"order":1,"offset":3,"attempt":1`)
		Expect(events(stream(resume, done(1, "abcde")))).To(Equal([]string{de, doneEvent(1, 5)}))
		Expect(events(stream(resume, done(2, "xy")))).To(Equal([]string{restart, xy, doneEvent(2, 2)}))
	})

	It("restarts if the caller's offset is beyond the end of the answer", func() {
		resume := callWith(`"order":1`, `"order":1,"offset":9,"attempt":2`)
		Expect(events(stream(resume, done(2, "xy")))).To(Equal([]string{restart, xy, doneEvent(2, 2)}))
	})

	It("encodes an answer that is not valid UTF-8 as bytes", func() {
		answer := stream(validCall, done(1, "\xe2\x82"), program.Chunk{Attempt: 1, Text: "\xe2\x82"})
		Expect(events(answer)[0]).To(ContainSubstring(`"bytes":"4oI="`))
	})

	It("returns the status of the outcome if the call is rejected before any output", func() {
		answer := stream(validCall, program.Reply{Outcome: outcome.NewNotRun(outcome.Draining, time.Second)})
		Expect(answer.Code).To(Equal(503))
		Expect(answer.Header().Get("Content-Type")).To(Equal("application/json"))
	})

	It("ends with the outcome and without a length if the call fails midway", func() {
		failed := program.Reply{Outcome: outcome.Outcome{Code: outcome.Cancelled}, Attempt: 1}
		last := events(stream(validCall, failed, program.Chunk{Attempt: 1, Text: "abc"}))[1]
		Expect(last).To(HavePrefix(`event: done` + "\n" + `data: {"outcome":{"code":"cancelled"}`))
		Expect(last).NotTo(ContainSubstring("length"))
	})
})
