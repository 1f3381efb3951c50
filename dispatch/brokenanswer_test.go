package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/dispatch"
	"dogwoodline.example/httpresponse/responsetest"
	"dogwoodline.example/outcome"
)

// startServer starts a server that answers every request with the same bytes.
func startServer(response string, end responsetest.End) *responsetest.Server {
	GinkgoHelper()
	server, err := responsetest.Start(response, end)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

const (
	receipt    = `{"request_id":"r1","state":"done"}`
	completion = `{"id":"r1","choices":[{"message":{"role":"assistant","content":"hi"}}]}`
	refusal    = `{"error":{"reason":"overloaded"}}`
)

// brokenHeads are heads of responses that are not sound.
var brokenHeads = []TableEntry{
	Entry("status 000", "HTTP/1.1 000 Trouble\r\n\r\n"),
	Entry("status 099", "HTTP/1.1 099 Trouble\r\n\r\n"),
	Entry("status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
	Entry("a name with a blank", "HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\n"),
	Entry("a name with a blank, in a refusal", "HTTP/1.1 503 Full\r\nX-Bad : x\r\n\r\n"),
	Entry("a status line with a control byte", "HTTP/1.1 200 O\x01K\r\n\r\n"),
}

// longText is longer than the socket buffers hold.
var longText = strings.Repeat("x", responsetest.LongUpload)

var _ = Describe("A broken answer", func() {
	// runBoth runs a service call and a model call, once as one that may run once only and once as one that may be
	// repeated, and expects that nothing is known of any of them and that none was sent again.
	runBoth := func(head, serviceBody, modelBody string, end responsetest.End) {
		GinkgoHelper()
		for _, idempotent := range []bool{false, true} {
			service, engine := startServer(head+serviceBody, end), startServer(head+modelBody, end)
			post, chat := serviceJob(service.Address, "r1"), modelJob(engine.Address, "r1", 10)
			post.Body, chat.Body = json.RawMessage(`"`+longText+`"`), chatBody(longText, 10)
			for server, job := range map[*responsetest.Server]dispatch.Job{service: post, engine: chat} {
				job.Idempotent = idempotent
				_, result := startPool(1).run(job)
				wanted := outcome.Unknown
				if idempotent {
					wanted = outcome.Failed
				}
				Expect(result.Outcome.Code).To(Equal(wanted), "kind %v, idempotent %t: %v", job.Kind, idempotent, result.Outcome)
				Expect(result.Outcome.Reason).To(Equal(outcome.ConnectionLost))
				Expect(result.Answer).To(BeNil())
				Expect(server.Writes()).To(Equal(1), "kind %v, idempotent %t", job.Kind, idempotent)
			}
		}
	}

	// Guards against a call that counts as completed or refused although its answer was broken off: net/http reports an end
	// if the goroutine that writes the request got the reset (issue 50).
	DescribeTable("without length, on a connection that is reset during the upload, says nothing of the call", func(status, serviceBody, modelBody string) {
		for range responsetest.Repeats {
			runBoth("HTTP/1.1 "+status+"\r\n\r\n", serviceBody, modelBody, responsetest.Reset)
		}
	},
		Entry("of a completed call", "200 OK", receipt, completion),
		Entry("of a refused call", "503 Service Unavailable", refusal, refusal),
		Entry("of a failed call", "500 Internal Server Error", "", ""),
	)

	// Guards against a call that counts as failed, refused or completed by an answer that is none (issue 50).
	DescribeTable("with a head that is not sound says nothing of the call", func(head string) {
		for _, bodies := range [][2]string{{receipt, completion}, {refusal, refusal}, {"trouble", "trouble"}} {
			runBoth(head, bodies[0], bodies[1], responsetest.Close)
		}
	}, brokenHeads)

	DescribeTable("with a head that is not sound, to an order, leaves open whether it took effect", func(head string) {
		server := startServer(head+"{}", responsetest.Close)
		transport := dispatch.NewTransport()
		DeferCleanup(transport.Close)
		err := dispatch.NewControlClient(transport).Cancel(context.Background(), endpoint(server.Address), "r1", 1)
		Expect(err).To(HaveOccurred())
		var refused *dispatch.RefusedError
		Expect(errors.As(err, &refused)).To(BeFalse())
		_, err = dispatch.NewControlClient(transport).Load(context.Background(), endpoint(server.Address))
		Expect(err).To(HaveOccurred())
	}, brokenHeads)

	It("to an order leaves open whether it took effect", func() {
		for _, status := range slices.Repeat([]string{"200 OK", "409 Conflict"}, responsetest.Repeats) {
			server := startServer("HTTP/1.1 "+status+"\r\n\r\n{}", responsetest.Reset)
			transport := dispatch.NewTransport()
			DeferCleanup(transport.Close)
			err := dispatch.NewControlClient(transport).Import(context.Background(), endpoint(server.Address), "p1", make([]uint64, responsetest.LongUpload/2))
			Expect(err).To(HaveOccurred())
			var refused *dispatch.RefusedError
			Expect(errors.As(err, &refused)).To(BeFalse(), status)
			Expect(server.Writes()).To(Equal(1))
		}
	})
})

// Guards against sound answers that are refused.
var _ = DescribeTable("A sound answer completes its call", func(head func(body string) string) {
	service, engine := startServer(head(receipt)+receipt, responsetest.Close), startServer(head(completion)+completion, responsetest.Close)
	for _, job := range []dispatch.Job{serviceJob(service.Address, "r1"), modelJob(engine.Address, "r1", 10)} {
		_, result := startPool(1).run(job)
		Expect(result.Outcome.Code).To(Equal(outcome.Completed))
	}
},
	Entry("without length", func(string) string { return "HTTP/1.1 200 OK\r\n\r\n" }),
	Entry("with a length", func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	}),
	Entry("after an interim one", func(string) string { return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" }),
)
