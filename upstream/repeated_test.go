package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/call"
	"dogwoodline.example/upstream"
)

// Guards against a backend server that writes an earlier refusal once more on a
// kept connection: a call that it runs would be told not to have run, and then run
// at another one too (reports of other operators, issue 23).
var _ = Describe("A refusal that is written again on a kept connection", func() {
	// startRepeating refuses the first request on a connection. It answers the
	// second one after a copy of that refusal, or not at all.
	startRepeating := func(status string, withID, answers bool) string {
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			refusal := ""
			for number := 1; ; number++ {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("Id")
				if number == 1 {
					field := ""
					if withID {
						field = "Id: " + id + "\r\n"
					}
					refusal = fmt.Sprintf("HTTP/1.1 %s\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", status, field)
					_, _ = io.WriteString(conn, refusal)
					continue
				}
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(30 * time.Millisecond) // the call runs
				if !answers {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
			}
		})
		return address
	}

	DescribeTable("is not taken for the response to the next request", func(status string, withID, answers bool) {
		address := startRepeating(status, withID, answers)
		p := newPool(decoder{})
		_, verdict, err := send(p, address, "first", "in")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.NotRun))
		body, verdict, err := send(p, address, "second", "in")
		Expect(p.SkippedResponses()).To(Equal(1), "operators see that the server sends answers twice")
		if !answers {
			Expect(verdict).To(Equal(call.Unknown))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("ok"))
	},
		Entry("with the id of the first", "503 Service Unavailable", true, true),
		Entry("without an id", "503 Service Unavailable", false, true),
		Entry("with status 429", "429 Too Many Requests", true, true),
		Entry("with status 421 and without an id", "421 Misdirected Request", false, true),
		Entry("with the id of the first, and the connection ends", "503 Service Unavailable", true, false),
		Entry("without an id, and the connection ends", "503 Service Unavailable", false, false),
	)

	// The copy arrives before the next request is sent, also right before it is
	// written, when the connection has been checked already.
	DescribeTable("does not reach a request that is sent later", func(pause time.Duration) {
		refused := false
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("Id")
				if refused {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
					continue
				}
				refused = true
				refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				_, _ = io.WriteString(conn, refusal)
				time.Sleep(pause)
				_, _ = io.WriteString(conn, refusal)
			}
		})
		p := newPool(decoder{})
		_, verdict, _ := send(p, address, "first", "in")
		Expect(verdict).To(Equal(call.NotRun))
		time.Sleep(pause)
		for i := range 3 {
			body, verdict, err := send(p, address, fmt.Sprint("later-", i), "in")
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict).To(Equal(call.Answered))
			Expect(body).To(Equal("ok"))
		}
	},
		Entry("with the first refusal", time.Duration(0)),
		Entry("about when the next request is sent", 2*time.Millisecond),
		Entry("while the connection is idle", 30*time.Millisecond),
	)
})

// repeatingBackend writes each answer once more on its connection, when the next request
// has arrived there, and again when one with the same id has. It refuses the first request.
type repeatingBackend struct {
	status string // of the refusal; empty if it runs the first request too
	mu     sync.Mutex
	ran    []string // the numbers of the sendings that have run, in order
	seen   int
}

func (b *repeatingBackend) serve(conn net.Conn, reader *bufio.Reader) {
	previous, answers := "", map[string]string{} // by id
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sending, _ := io.ReadAll(request.Body)
		id := request.Header.Get("Id")
		_, _ = io.WriteString(conn, previous)
		if answers[id] != previous {
			_, _ = io.WriteString(conn, answers[id])
		}
		previous = b.answer(id, string(sending))
		answers[id] = previous
		_, _ = io.WriteString(conn, previous)
	}
}

// answer runs a sending or refuses it, and returns the answer.
func (b *repeatingBackend) answer(id, sending string) string {
	b.mu.Lock()
	b.seen++
	refused := b.seen == 1 && b.status != ""
	if !refused {
		b.ran = append(b.ran, sending)
	}
	b.mu.Unlock()
	if refused {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", b.status, id)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(sending), sending)
}

// Guards against a call that runs twice: a full backend server has refused it and gets it
// again on the same connection, and a second copy of the refusal is taken for the answer
// to the second sending (review/6, TWICE).
var _ = Describe("A request whose id was sent to the same backend server before", func() {
	DescribeTable("does not get the copy of a refusal", func(status string) {
		b := &repeatingBackend{status: status}
		address, _ := startBackend(b.serve)
		p := newPool(decoder{})
		_, verdict, err := send(p, address, "call", "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.NotRun))
		body, verdict, err := send(p, address, "call", "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.ran).To(Equal([]string{"2"}))
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("2"))
	},
		Entry("of a full server", "503 Service Unavailable"),
		Entry("of a server with a limit", "429 Too Many Requests"),
		Entry("of another server at the address", "421 Misdirected Request"),
	)

	// A client may use one id for several requests.
	It("does not get the copy of an answer to an earlier request", func() {
		address, _ := startBackend((&repeatingBackend{}).serve)
		p := newPool(decoder{})
		for _, sending := range []string{"1", "2", "3"} {
			body, verdict, err := send(p, address, "call", sending)
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict).To(Equal(call.Answered))
			Expect(body).To(Equal(sending))
		}
	})

	// Guards against new connections that nothing calls for: backend servers accept a
	// limited number.
	It("leaves its connection to other requests", func() {
		address, accepted := startBackend((&repeatingBackend{status: "503 Full"}).serve)
		p := newPool(decoder{})
		for range 2 {
			_, _, err := send(p, address, "call", "in")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(accepted.Load()).To(BeEquivalentTo(2))
		Expect(p.HasIdle(address, "call")).To(BeFalse())
		for i := range 8 {
			Expect(p.HasIdle(address, fmt.Sprint(i))).To(BeTrue())
			body, verdict, err := send(p, address, fmt.Sprint(i), "in")
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict).To(Equal(call.Answered))
			Expect(body).To(Equal("in"))
		}
		Expect(accepted.Load()).To(BeEquivalentTo(2))
	})

	// Guards against ids that a connection forgets while it is still used, and against
	// connections that are closed much sooner than that.
	DescribeTable("does not get the copy after many other requests", func(between int) {
		b := &repeatingBackend{status: "503 Full"}
		address, accepted := startBackend(b.serve)
		p := newPool(decoder{})
		for i := range between + 1 {
			_, _, err := send(p, address, fmt.Sprint(i), "in") // the first one is refused
			Expect(err).NotTo(HaveOccurred())
		}
		body, verdict, err := send(p, address, "0", "again")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict).To(Equal(call.Answered))
		Expect(body).To(Equal("again"))
		Expect(accepted.Load()).To(BeNumerically("<=", 2+between/500))
	},
		Entry("of which there are 510", 510),
		Entry("of which there are 512", 512),
		Entry("of which there are 1100", 1100),
	)

	// Guards against any other path on which an answer decides that a request has not run.
	It("is answered for what it did, when requests overlap and most answers come twice", func() {
		const clients, sendings, ids = 8, 150, 12
		random := rand.New(rand.NewPCG(46, 0))
		var mu sync.Mutex
		ran := map[string]bool{}
		chance := func(share float64) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < share
		}
		address, _ := startBackend(func(conn net.Conn, reader *bufio.Reader) {
			previous, used := "", false
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				sending, _ := io.ReadAll(request.Body)
				_, _ = io.WriteString(conn, previous)
				status, field := "200 OK", ""
				if chance(0.5) {
					status, field = "503 Full", "Not-Run: 1\r\n"
				} else {
					mu.Lock()
					ran[string(sending)] = true
					mu.Unlock()
				}
				anonymous := field != "" && chance(0.3)
				if !anonymous {
					field += "Id: " + request.Header.Get("Id") + "\r\n"
				}
				answer := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(sending), sending)
				_, _ = io.WriteString(conn, answer)
				if anonymous && used {
					return // nobody can tell whose answer it is
				}
				used, previous = true, ""
				if chance(0.7) {
					previous = answer
				}
			}
		})
		p := newPool(decoder{})
		var running sync.WaitGroup
		for client := range clients {
			running.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				for i := range sendings {
					id, sending := fmt.Sprint((client*sendings+i*7)%ids), fmt.Sprint(client, "-", i)
					request := upstream.Request{ID: id, Address: address, Method: "POST", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(sending)}
					exchange, verdict, err := p.Do(ctx, request, always)
					if err != nil { // a refusal without an id on a connection that was used before is not read
						Expect(verdict).To(Equal(call.Unknown))
						continue
					}
					body, err := io.ReadAll(exchange)
					exchange.Close()
					Expect(err).NotTo(HaveOccurred())
					Expect(string(body)).To(Equal(sending))
					mu.Lock()
					hasRun := ran[sending]
					mu.Unlock()
					Expect(hasRun).To(Equal(verdict == call.Answered), "sending %s of id %s, %s", sending, id, verdict)
				}
			})
		}
		running.Wait()
		Expect(len(ran)).To(BeNumerically(">", clients*sendings/4))
	})
})
