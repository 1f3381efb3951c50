package service_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/emulator/service"
)

func TestService(t *testing.T) {
	SetDefaultEventuallyTimeout(10 * time.Second)
	RegisterFailHandler(Fail)
	RunSpecs(t, "service")
}

// send sends a request and returns the status and body of the response. If there
// is no response, the status is zero and the text is the error.
func send(timeout time.Duration, method, url string) (int, string) {
	client := http.Client{Timeout: timeout}
	request, err := http.NewRequest(method, url, strings.NewReader(`{"amount":5}`))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(service.HeaderRequest, "r1")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// answerTimeout is much longer than any response takes.
const answerTimeout = 10 * time.Second

func ptr[T any](value T) *T { return &value }

var _ = Describe("The service", func() {
	var s *service.Service
	set := func(switches service.Switches) {
		GinkgoHelper()
		Expect(s.ApplySwitches(context.Background(), switches)).To(Succeed())
	}
	effects := func() int {
		_, body := send(answerTimeout, http.MethodGet, s.URL()+"/effects")
		return strings.Count(body, `"request_id":"r1"`)
	}
	post := func() int {
		status, _ := send(answerTimeout, http.MethodPost, s.URL()+"/do/post_invoice")
		return status
	}

	BeforeEach(func() {
		var err error
		s, err = service.Start(context.Background(), service.Config{Lookup: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { s.Close() })
	})

	// Guards against a ledger that hides duplicate effects.
	It("records each effect of a request that is sent twice", func() {
		Expect(post()).To(Equal(http.StatusOK))
		Expect(post()).To(Equal(http.StatusOK))
		Expect(effects()).To(Equal(2))
	})

	// Guards against a hang that loses requests. A real tool that hangs still
	// finishes its requests later.
	It("executes held requests after a hang although their client has disconnected", func() {
		set(service.Switches{Hang: ptr(true)})
		status, _ := send(100*time.Millisecond, http.MethodPost, s.URL()+"/do/post_invoice")
		Expect(status).To(BeZero())
		Expect(effects()).To(BeZero())
		set(service.Switches{Hang: ptr(false)})
		Eventually(effects).Should(Equal(1))
	})

	DescribeTable("crashes once, before or after the effect", func(switches service.Switches, ran int) {
		set(switches)
		Expect(post()).To(BeZero())
		Eventually(effects).Should(Equal(ran))
		Eventually(post).Should(Equal(http.StatusOK))
		Expect(effects()).To(Equal(ran + 1))
	},
		Entry("before it", service.Switches{CrashBefore: ptr(1)}, 0),
		Entry("after it", service.Switches{CrashAfter: ptr(1)}, 1),
	)

	It("looks up requests unless lookup is disabled", func() {
		status, _ := send(answerTimeout, http.MethodGet, s.URL()+"/requests/r1")
		Expect(status).To(Equal(http.StatusNotFound))
		post()
		status, body := send(answerTimeout, http.MethodGet, s.URL()+"/requests/r1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"state":"done"`))
		set(service.Switches{Lookup: ptr(false)})
		status, _ = send(answerTimeout, http.MethodGet, s.URL()+"/requests/r1")
		Expect(status).To(Equal(http.StatusNotImplemented))
	})
})
