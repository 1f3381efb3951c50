package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

const (
	// longBodyBytes is the length of the longest body that the fixture's configuration
	// allows.
	longBodyBytes = 1 << 20
	// longBodies is the number of clients that send such a body at once.
	longBodies = 250
	// refusedWithin is how long a request may take that is refused.
	refusedWithin = time.Second
)

// longBody is shared by all requests, so that the test's own clients hold it once.
var longBody = strings.Repeat("x", longBodyBytes)

// inChunks hides the length of a body, so that it is sent in chunks.
type inChunks struct{ io.Reader }

// sendBody posts a body to the fixture's front.
func (s *fixture) sendBody(id string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.front.URL+"/r/x", body)
	if err != nil {
		return nil, err
	}
	request.Host = "example"
	request.Header.Set(idHeader, id)
	return http.DefaultTransport.RoundTrip(request)
}

// newBodyFixture returns a fixture whose backend server reads each body, works for a
// while and answers with the body's length. It stores the ids of the requests in ran.
func newBodyFixture(requestBytes int64, work, timeout time.Duration, ran *sync.Map) *fixture {
	return newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 32, RequestBytes: requestBytes},
		route.Route{Kind: route.Unsafe, Timeout: timeout}, func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.Header.Get(idHeader), true)
			length, _ := io.Copy(io.Discard, r.Body)
			time.Sleep(work)
			fmt.Fprint(w, length)
		})
}

var _ = Describe("Long bodies of requests", func() {
	// Guards against clients that fill the memory of a front by sending long bodies at
	// once: the process would be killed, and with it every other call (review case 5).
	DescribeTable("of many clients at once stay within the memory of a small host",
		func(body func() io.Reader) {
			var ran sync.Map
			s := newBodyFixture(smallHostBytes/4, 20*time.Millisecond, 5*time.Second, &ran)
			DeferCleanup(debug.SetMemoryLimit, debug.SetMemoryLimit(smallHostBytes*7/10))
			var running sync.WaitGroup
			var answered, refused atomic.Int64
			peak := peakHeap(func() {
				for i := range longBodies {
					running.Go(func() {
						defer GinkgoRecover()
						id := fmt.Sprint("body-", i)
						reply, err := s.sendBody(id, body())
						if err != nil {
							return // refused before the body was sent
						}
						defer reply.Body.Close()
						content, _ := io.ReadAll(reply.Body)
						switch reply.StatusCode {
						case http.StatusOK:
							Expect(string(content)).To(Equal(fmt.Sprint(longBodyBytes)))
							answered.Add(1)
						case http.StatusServiceUnavailable:
							_, begun := ran.Load(id)
							Expect(begun).To(BeFalse(), "a refused request has run")
							Expect(reply.Header.Get("Retry-After")).NotTo(BeEmpty())
							refused.Add(1)
						default:
							Fail(fmt.Sprint("status ", reply.StatusCode))
						}
					})
				}
				running.Wait()
			})
			Expect(peak).To(BeNumerically("<", smallHostBytes))
			Expect(answered.Load()).To(BeNumerically(">", 0))
		},
		Entry("with their length", func() io.Reader { return strings.NewReader(longBody) }),
		Entry("in chunks", func() io.Reader { return inChunks{strings.NewReader(longBody)} }),
	)

	// Guards against requests that wait for memory until their time is over.
	It("are refused within a second while others hold the memory, and short ones are served", func() {
		var ran sync.Map
		s := newBodyFixture(longBodyBytes, 4*time.Second, 8*time.Second, &ran)
		first := make(chan int, 1)
		go func() {
			reply, err := s.sendBody("first", strings.NewReader(longBody))
			if err != nil {
				first <- 0
				return
			}
			reply.Body.Close()
			first <- reply.StatusCode
		}()
		Eventually(func() bool { _, begun := ran.Load("first"); return begun }).WithTimeout(2 * time.Second).Should(BeTrue())
		start := time.Now()
		reply, err := s.sendBody("second", strings.NewReader(longBody))
		Expect(err).NotTo(HaveOccurred())
		reply.Body.Close()
		Expect(time.Since(start)).To(BeNumerically("<", refusedWithin))
		Expect(reply.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.Header.Get("Retry-After")).NotTo(BeEmpty())
		_, begun := ran.Load("second")
		Expect(begun).To(BeFalse())
		status, _, _ := s.post("/r/x")
		Expect(status).To(Equal(http.StatusOK))
		Eventually(first).WithTimeout(8 * time.Second).Should(Receive(Equal(http.StatusOK)))
	})

	// Guards against a budget that refuses for ever a body that the limits allow.
	It("are served one by one if each is longer than the memory for all", func() {
		var ran sync.Map
		s := newBodyFixture(longBodyBytes/4, 0, 5*time.Second, &ran)
		for i := range 3 {
			reply, err := s.sendBody(fmt.Sprint("alone-", i), inChunks{strings.NewReader(longBody)})
			Expect(err).NotTo(HaveOccurred())
			reply.Body.Close()
			Expect(reply.StatusCode).To(Equal(http.StatusOK))
		}
	})

	// Guards against clients that hold memory without sending the body that they have
	// announced.
	It("that do not arrive in the time of the request are given up", func() {
		var ran sync.Map
		s := newBodyFixture(longBodyBytes, 0, 500*time.Millisecond, &ran)
		client, err := net.Dial("tcp", s.front.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		fmt.Fprintf(client, "POST /r/x HTTP/1.1\r\nHost: example\r\n%s: silent\r\nContent-Length: %d\r\n\r\nbegin", idHeader, longBodyBytes)
		Expect(client.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		answer, _ := io.ReadAll(client) // until the front closes the connection
		Expect(string(answer)).To(HavePrefix("HTTP/1.1 408 "))
		reply, err := s.sendBody("next", strings.NewReader(longBody))
		Expect(err).NotTo(HaveOccurred())
		reply.Body.Close()
		Expect(reply.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against memory that is set aside for a body which is refused anyway.
	It("that are longer than allowed are refused before they are read", func() {
		var ran sync.Map
		s := newBodyFixture(longBodyBytes, 0, 5*time.Second, &ran)
		reply := httptest.NewRecorder()
		unread := failingReader{}
		request := httptest.NewRequest(http.MethodPost, "/r/x", unread)
		request.Host, request.ContentLength = "example", longBodyBytes+1
		request.Header.Set(idHeader, "long")
		s.gateway.ServeHTTP(reply, request)
		Expect(reply.Code).To(Equal(http.StatusRequestEntityTooLarge))
	})
})

// failingReader fails the test if it is read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	Fail("the body was read")
	return 0, io.EOF
}
