package httpstore_test

import (
	"context"
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/httpresponse/responsetest"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/httpstore"
)

// connect returns a client of a platform that answers every call with the same bytes.
func connect(response string, end responsetest.End) (*httpstore.Client, *responsetest.Server) {
	GinkgoHelper()
	server, err := responsetest.Start(response, end)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	client, err := httpstore.New(httpstore.Settings{URL: "http://" + server.Address})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client, server
}

// Guards against a write that counts as done, or as refused without effect, although its answer was broken off: net/http
// reports an end if the goroutine that writes the value got the reset (issue 50).
var _ = DescribeTable("an answer without length, on a connection that is reset, leaves open whether the call took effect", func(head string) {
	for _, body := range slices.Repeat([]string{`{"version":5}`, `{"version":`, `{"code":"conflict"}`, ""}, responsetest.Repeats) {
		client, server := connect(head+body, responsetest.Reset)
		_, err := client.Put(context.Background(), "k", make([]byte, kvstore.MaxValueBytes), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous), body)
		Expect(server.Writes()).To(Equal(1))
	}
},
	Entry("a success", "HTTP/1.1 200 OK\r\n\r\n"),
	Entry("a refusal", "HTTP/1.1 409 Conflict\r\n\r\n"),
)

// Guards against a write that counts as done by an answer that is none (issue 50).
var _ = DescribeTable("an answer whose head is not sound leaves open whether the call took effect", func(head string) {
	for _, body := range []string{`{"version":5}`, `{"code":"conflict"}`, "trouble"} {
		client, server := connect(fmt.Sprintf(head, len(body))+body, responsetest.Close)
		_, err := client.Put(context.Background(), "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous), body)
		Expect(server.Writes()).To(Equal(1))
		_, err = client.Get(context.Background(), "k")
		Expect(err).To(MatchError(kvstore.ErrUnavailable), body)
	}
},
	Entry("status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: %d\r\n\r\n"),
	Entry("status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: %d\r\n\r\n"),
	Entry("a length with a blank in its name", "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n"),
	Entry("a name with a blank beside a sound length", "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: %d\r\n\r\n"),
	Entry("a status line with a control byte", "HTTP/1.1 200 O\x01K\r\nContent-Length: %d\r\n\r\n"),
)

// Guards against sound answers that are refused.
var _ = DescribeTable("a sound answer is read", func(head string) {
	const body = `{"version":5}`
	client, _ := connect(fmt.Sprintf(head, len(body))+body, responsetest.Close)
	version, err := client.Put(context.Background(), "k", make([]byte, kvstore.MaxValueBytes), kvstore.Absent, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(version).To(BeEquivalentTo(5))
},
	Entry("without length", "HTTP/1.1 200 OK\r\nX-Length: %d\r\n\r\n"),
	Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"),
	Entry("after an interim one", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"),
)
