package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/api"
	"dogwoodline.example/api/client"
	"dogwoodline.example/httpresponse/responsetest"
	"dogwoodline.example/outcome"
)

const (
	completedReply = `{"outcome":{"code":"completed"},"answer":"hi"}`
	notRunReply    = `{"outcome":{"code":"not_run"}}`
	// addressAnswer is the answer to an address lookup at a node that serves the program itself.
	addressAnswer = `{"address":"http://%s","max_age_ms":60000}`
)

// callNode sends a call with a long body to a node that answers it with the given bytes. Another node answers the lookup.
func callNode(response string, end responsetest.End) (client.Result, error) {
	GinkgoHelper()
	server, err := responsetest.Start(response, end)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, addressAnswer, server.Address) }))
	DeferCleanup(directory.Close)
	c := client.New(client.Config{Nodes: []string{directory.URL}, SingleTry: true})
	result, err := c.Call(context.Background(), "p", api.CallBody{CallRequest: api.CallRequest{RequestID: "r1"}, Body: []byte(`"` + strings.Repeat("x", responsetest.LongUpload) + `"`)}, nil)
	Expect(server.Writes()).To(Equal(1))
	return result, err
}

// Guards against a call that counts as completed, or as not run, although the node's answer was broken off: net/http reports
// an end if the goroutine that writes the request got the reset (issue 50).
var _ = It("An answer without length, on a connection that is reset during the upload, leaves open whether the call has run", func() {
	for _, body := range slices.Repeat([]string{completedReply, notRunReply, completedReply[:20], ""}, responsetest.Repeats) {
		result, err := callNode("HTTP/1.1 200 OK\r\n\r\n"+body, responsetest.Reset)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Outcome.Code).To(Equal(outcome.Unknown), body)
	}
})

// Guards against a call that counts as completed, or as not run, by an answer that is none (issue 50).
var _ = DescribeTable("An answer whose head is not sound leaves open whether the call has run", func(head string) {
	for _, body := range []string{completedReply, notRunReply, "trouble"} {
		result, err := callNode(fmt.Sprintf(head, len(body))+body, responsetest.Close)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Outcome.Code).To(Equal(outcome.Unknown), body)
	}
},
	Entry("status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: %d\r\n\r\n"),
	Entry("status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: %d\r\n\r\n"),
	Entry("a length with a blank in its name", "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n"),
	Entry("a name with a blank beside a sound length", "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: %d\r\n\r\n"),
	Entry("a status line with a control byte", "HTTP/1.1 200 O\x01K\r\nContent-Length: %d\r\n\r\n"),
)

// Guards against sound answers that are refused.
var _ = DescribeTable("A sound answer of a node is read", func(head string) {
	result, err := callNode(fmt.Sprintf(head, len(completedReply))+completedReply, responsetest.Close)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Outcome.Code).To(Equal(outcome.Completed))
},
	Entry("without length", "HTTP/1.1 200 OK\r\nX-Length: %d\r\n\r\n"),
	Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"),
	Entry("after an interim one", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"),
)
