package httpresponse_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/httpresponse"
	"dogwoodline.example/httpresponse/responsetest"
)

func TestHTTPResponse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpresponse")
}

// readFinal reads the first final response and its body, as package upstream does.
func readFinal(text string) (int, string, error) {
	reader := httpresponse.NewReader(strings.NewReader(text), 4096)
	for {
		response, err := reader.Next(http.MethodPost)
		if err != nil {
			return 0, "", err
		}
		if response.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(response.Body)
			return response.StatusCode, string(body), err
		}
	}
}

// fetch sends a request to a server that answers it with the text, and reads the response.
func fetch(text string) (int, string, error) {
	server, err := responsetest.Start(text, responsetest.Close)
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address, strings.NewReader("in"))
	Expect(err).NotTo(HaveOccurred())
	transport := httpresponse.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// answer is a sound response; its bytes behind a broken head belong to no request.
const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("A response", func() {
	// Guards against a broken response that is taken for an answer or for an interim one (issue 50).
	DescribeTable("whose head is not sound is an error", func(text string) {
		_, _, err := readFinal(text)
		Expect(err).To(HaveOccurred(), "read from a connection")
		_, _, err = fetch(text)
		Expect(err).To(HaveOccurred(), "read by net/http")
	},
		Entry("status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status 000 before bytes that look like an answer", "HTTP/1.1 000 Trouble\r\n\r\n"+answer),
		Entry("status 007", "HTTP/1.1 007 Trouble\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status +20", "HTTP/1.1 +20 Trouble\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"+answer),
		Entry("interim with a length", fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)),
		Entry("a name that ends with a blank", "HTTP/1.1 200 OK\r\nX-Bad : x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a name with a blank", "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a name that begins with a blank", "HTTP/1.1 200 OK\r\n Bad: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a length whose name ends with a blank", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more"),
		Entry("chunks whose name ends with a blank", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a name with a tab", "HTTP/1.1 200 OK\r\nBad\tName: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a name with a control byte", "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a name with a delimiter", "HTTP/1.1 200 OK\r\nBad@Name: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("no name", "HTTP/1.1 200 OK\r\nbad\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a value with a NUL", "HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a status line with a control byte", "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a status line with a NUL", "HTTP/1.1 200 OK\x00\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a status line with a carriage return inside", "HTTP/1.1 200 OK\rX: y\r\nContent-Length: 2\r\n\r\nok"),
		Entry("interim, with a blank in a name", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n"+answer),
		Entry("a trailer with a blank in its name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n"),
		Entry("a trailer with a control byte in its name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad\x01: x\r\n\r\n"),
	)

	// Guards against a length or an id that is taken for a part of the field before it, because its name begins with a
	// blank.
	DescribeTable("with a line that begins with a blank is an error", func(text string) {
		for size := range len(text) { // wherever the bytes are split
			reader := httpresponse.NewReader(io.MultiReader(strings.NewReader(text[:size]), strings.NewReader(text[size:])), 16)
			for {
				response, err := reader.Next(http.MethodPost)
				if err != nil {
					break
				}
				Expect(response.StatusCode).To(BeNumerically("<", http.StatusOK), "split at %d", size)
			}
		}
	},
		Entry("a length", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nok"),
		Entry("a tab", "HTTP/1.1 200 OK\r\nX: y\r\n\tContent-Length: 2\r\n\r\nok"),
		Entry("no name", "HTTP/1.1 200 OK\r\nX: y\r\n : x\r\nContent-Length: 2\r\n\r\nok"),
		Entry("nothing else", "HTTP/1.1 200 OK\r\nX: y\r\n \r\nContent-Length: 2\r\n\r\nok"),
		Entry("line feeds only", "HTTP/1.1 200 OK\nX: y\n Content-Length: 2\n\nok"),
		Entry("after an interim one", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nok"),
	)

	It("that is an interim one with chunks is an error", func() {
		_, _, err := readFinal("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + answer)
		Expect(err).To(HaveOccurred())
	})

	// Guards against sound responses that are refused.
	DescribeTable("that is sound is read", func(text string, wantedStatus int, wantedBody string) {
		for _, read := range []func(string) (int, string, error){readFinal, fetch} {
			status, body, err := read(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(wantedStatus))
			Expect(body).To(Equal(wantedBody))
		}
	},
		Entry("with a length", answer, 200, "ok"),
		Entry("without one", "HTTP/1.1 200 OK\r\n\r\nok", 200, "ok"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"),
		Entry("with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok"),
		Entry("with names of all allowed bytes", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: x\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
		Entry("with a reason that is no ASCII", "HTTP/1.1 200 \xc3\x9c \t\xff\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
		Entry("with a body whose lines begin with blanks", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n a\r\n b\r\n c", 200, " a\r\n b\r\n c"),
		Entry("after an interim one, with such a body", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n a", 200, " a"),
		Entry("without a reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"),
		Entry("after interim ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n"+answer, 200, "ok"),
		Entry("with a status of 600", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", 600, "ok"),
		Entry("with a status of 999", "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok", 999, "ok"),
	)
})
