package main

import (
	"bytes"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/httpresponse/responsetest"
)

// Guards against operators who are shown an answer that a front did not give (issue 50).
var _ = DescribeTable("Command where, asked at a front whose answer is broken, prints no answer", func(head, body string, end responsetest.End) {
	server, err := responsetest.Start(head+body, end)
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	var out bytes.Buffer
	code := run([]string{"where", server.Address, "--host", "h", "--path", "/x"}, &out, &out)
	Expect(code).To(Equal(exitUsage), out.String())
	Expect(out.String()).NotTo(ContainSubstring("sent to"))
},
	Entry("a part without length, reset", "HTTP/1.1 200 OK\r\n\r\n", `{"verdict":"sent","chosen":"b1"`, responsetest.Reset),
	Entry("a part without length, closed", "HTTP/1.1 200 OK\r\n\r\n", `{"verdict":"sent","chosen":"b1"`, responsetest.Close),
	Entry("all of it without length, reset", "HTTP/1.1 200 OK\r\n\r\n", whereAnswer, responsetest.Reset),
	Entry("status 000", fmt.Sprintf("HTTP/1.1 000 Trouble\r\nContent-Length: %d\r\n\r\n", len(whereAnswer)), whereAnswer, responsetest.Close),
	Entry("a name with a blank", fmt.Sprintf("HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: %d\r\n\r\n", len(whereAnswer)), whereAnswer, responsetest.Close),
	Entry("a length whose name ends with a blank", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n", len(whereAnswer)), whereAnswer, responsetest.Close),
)

const whereAnswer = `{"verdict":"sent","chosen":"b1"}`
