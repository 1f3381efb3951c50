package dispatch

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("watchedConn", func() {
	// Guards against a request that net/http writes after the outcome "not
	// run" was decided.
	It("writes nothing after it was sealed unwritten", func() {
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		conn := &watchedConn{Conn: client}
		x := exchange{}
		x.begin(conn)
		Expect(x.mayHaveRun()).To(BeFalse())
		_, err := conn.Write([]byte("POST"))
		Expect(err).To(HaveOccurred())
	})

	It("counts only the bytes of the current request", func() {
		client, server := net.Pipe()
		defer client.Close()
		go func() { server.Read(make([]byte, 16)) }()
		conn := &watchedConn{Conn: client}
		_, err := conn.Write([]byte("POST"))
		Expect(err).NotTo(HaveOccurred())
		x := exchange{}
		x.begin(conn)
		Expect(x.mayHaveRun()).To(BeFalse())
	})
})
