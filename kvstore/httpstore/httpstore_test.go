package httpstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/kvstore"
	"dogwoodline.example/kvstore/httpstore"
)

func TestHTTPStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpstore")
}

// Guards against a write that took effect and is reported as not applied: the
// caller would send it again.
var _ = DescribeTable("a response that leaves open whether the call took effect",
	func(handler http.HandlerFunc) {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		client, err := httpstore.New(httpstore.Settings{URL: server.URL})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(context.Background(), "k", []byte("v"), kvstore.Absent, 0)
		Expect(err).To(MatchError(kvstore.ErrAmbiguous))
		Expect(client.Renew(context.Background(), 1)).To(MatchError(kvstore.ErrAmbiguous))
		_, err = client.Get(context.Background(), "k")
		Expect(err).To(MatchError(kvstore.ErrUnavailable))
	},
	Entry("server error without a code", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
	}),
	Entry("server error with an unknown code", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(`{"code":"new"}`))
	}),
	Entry("truncated response", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"version":`))
	}),
	Entry("success with a body that is not JSON", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>"))
	}),
)
