package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func startEngine(modify func(*Config)) *Engine {
	config := DefaultConfig()
	config.TimeScale = 50
	if modify != nil {
		modify(&config)
	}
	e, err := Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

// post sends request r1 for an answer of the given number of tokens. The caller
// closes the body.
func post(ctx context.Context, e *Engine, tokens int, header map[string]string) (*http.Response, error) {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":%d}`, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(HeaderRequest, "r1")
	request.Header.Set(HeaderProgram, "p1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

func loadReport(e *Engine) string {
	response, err := http.Get(e.URL() + "/load")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var streamHeader = map[string]string{"Accept": "text/event-stream"}

var _ = Describe("Engine over HTTP", func() {
	ctx := context.Background()

	It("responds in JSON to a request without a stream", func() {
		response, err := post(ctx, startEngine(nil), 5, nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		Expect(string(data)).To(And(ContainSubstring(AnswerText("r1", 0, 5)), ContainSubstring(`"completion_tokens":5`)))
	})

	It("refuses requests without the credential", func() {
		e := startEngine(func(c *Config) { c.Credential = "key" })
		response, err := post(ctx, e, 5, nil)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		response, err = post(ctx, e, 5, map[string]string{"Authorization": "Bearer key"})
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("applies switches sent over HTTP and refuses new requests while it is leaving", func() {
		e := startEngine(nil)
		response, err := http.Post(e.URL()+"/admin", "application/json", strings.NewReader(`{"leaving":true}`))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(loadReport(e)).To(ContainSubstring(`"leaving":true`))
		response, err = post(ctx, e, 5, nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(string(data)).To(ContainSubstring(`"reason":"leaving"`))
	})

	It("cancels the request of a client that disconnects", func() {
		e := startEngine(nil)
		requestContext, cancel := context.WithCancel(ctx)
		response, err := post(requestContext, e, 10000, streamHeader)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(loadReport(e)).To(ContainSubstring(`"running":1`))
		cancel()
		Eventually(func() string { return loadReport(e) }).Should(ContainSubstring(`"running":0`))
	})

	It("resumes a stream after the client lost its connection", func() {
		e := startEngine(func(c *Config) { c.ResumeWindow = time.Hour })
		requestContext, cancel := context.WithCancel(ctx)
		response, err := post(requestContext, e, 600, streamHeader)
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(response.Body).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring(`"offset":0`))
		cancel()
		response.Body.Close()
		response, err = post(ctx, e, 600, map[string]string{"Accept": "text/event-stream", HeaderOffset: "4"})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(And(ContainSubstring(`"offset":4`), ContainSubstring("[DONE]")))
		Expect(loadReport(e)).To(ContainSubstring(`"started":1`), "the request did not run a second time")
	})

	// Guards against an engine that responds or makes progress while it hangs
	// or while it is down after a crash.
	It("does not respond while it hangs and refuses connections while it is down", func() {
		e := startEngine(func(c *Config) { c.RestartDelay = 100 * time.Second })
		on, off := true, false
		Expect(e.ApplySwitches(ctx, Switches{Hang: &on})).To(Succeed())
		requestContext, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := post(requestContext, e, 1, nil)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(e.ApplySwitches(ctx, Switches{Hang: &off, CrashNow: true})).To(Succeed())
		Eventually(func() error {
			response, err := http.Get(e.URL() + "/load")
			if err == nil {
				response.Body.Close()
			}
			return err
		}, "2s", "2ms").Should(MatchError(ContainSubstring("refused")))
		Eventually(func() error {
			response, err := http.Get(e.URL() + "/load")
			if err == nil {
				response.Body.Close()
			}
			return err
		}).Should(Succeed())
		Expect(loadReport(e)).To(ContainSubstring("engine-2-"))
	})
})
