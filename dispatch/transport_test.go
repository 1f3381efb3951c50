package dispatch

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("trackedConn", func() {
	// Guards against net/http writing a request after the outcome "not run" was
	// decided.
	It("refuses writes after the request was found not to have been written", func() {
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		conn := &trackedConn{Conn: client}
		tracker := sendTracker{}
		tracker.useConn(conn)
		Expect(tracker.mayHaveRun()).To(BeFalse())
		_, err := conn.Write([]byte("POST"))
		Expect(err).To(HaveOccurred())
	})

	It("ignores bytes written by earlier requests", func() {
		client, server := net.Pipe()
		defer client.Close()
		go func() { server.Read(make([]byte, 16)) }()
		conn := &trackedConn{Conn: client}
		_, err := conn.Write([]byte("POST"))
		Expect(err).NotTo(HaveOccurred())
		tracker := sendTracker{}
		tracker.useConn(conn)
		Expect(tracker.mayHaveRun()).To(BeFalse())
	})
})
