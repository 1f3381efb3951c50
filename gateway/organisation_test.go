package gateway_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/gateway"
	"dogwoodline.example/route"
)

const (
	keyHeader          = "Test-Key"
	organisationHeader = "Test-Organisation"
)

// keyTable returns a configuration with a route and the keys of organisations a and b.
func keyTable(version int64, r route.Route, keysOfA ...string) *route.Table {
	r.Name, r.Host, r.Prefix, r.Timeout = "r", "example", "/r/", 5*time.Second
	r.Shares = []route.Share{{Service: "svc", Weight: 1}}
	table := route.NewTable(version, []route.Route{r}, []route.Service{{Name: "svc"}}, route.Limits{MaxBodyBytes: 1 << 20})
	table.SetOrganisations(route.NewOrganisationIndex([]*route.OrganisationEntry{
		route.NewOrganisationEntry(route.Organisation{Name: "a"}, keysOfA),
		route.NewOrganisationEntry(route.Organisation{Name: "b", Priority: 1}, []string{"key-b"}),
	}))
	return table
}

var _ = Describe("Requests of organisations", func() {
	plain := route.Route{Kind: route.Unsafe}
	var s *fixture
	var seen http.Header // of the last request that ran
	BeforeEach(func() {
		s = newFixture(plain, func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.WriteHeader(http.StatusOK)
		})
		s.gateway.SetTable(keyTable(2, plain, "key-1"))
	})
	status := func(id string, header ...string) int {
		GinkgoHelper()
		reply, err := s.send(context.Background(), "/r/x", append([]string{idHeader, id}, header...)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		return reply.StatusCode
	}

	// Guards against requests that run without a key of the configuration in force.
	It("run with a known key only", func() {
		Expect(status("1", keyHeader, "key-1")).To(Equal(http.StatusOK))
		Expect(seen.Get(organisationHeader)).To(Equal("a"))
		Expect(status("2", keyHeader, "key-2")).To(Equal(http.StatusUnauthorized))
		Expect(status("3")).To(Equal(http.StatusUnauthorized))
		Expect(seen.Get(idHeader)).To(Equal("1"))
	})
	// Guards against keys that stay in force, or come back with a configuration that
	// arrives late.
	It("run with the keys of the newest configuration", func() {
		s.gateway.SetTable(keyTable(3, plain, "key-2"))
		Expect(status("1", keyHeader, "key-1")).To(Equal(http.StatusUnauthorized))
		Expect(status("2", keyHeader, "key-2")).To(Equal(http.StatusOK))
		s.gateway.SetTable(keyTable(2, plain, "key-1"))
		Expect(status("3", keyHeader, "key-1")).To(Equal(http.StatusUnauthorized))
	})
	// Guards against 401, which ends a program for good, for a key that was added while the
	// front was frozen or cut off.
	It("are refused as not run for an unknown key while the configuration may be old", func() {
		s = newFixtureWith(slog.New(slog.DiscardHandler), gateway.Settings{CallWorkers: 8, MaxTableAge: 200 * time.Millisecond}, plain, s.ok)
		s.gateway.SetTable(keyTable(2, plain, "key-1"))
		Expect(status("1", keyHeader, "key-2")).To(Equal(http.StatusServiceUnavailable), "nothing shows yet that the table is the newest")
		s.gateway.ConfirmTable(time.Now())
		Expect(status("2", keyHeader, "key-2")).To(Equal(http.StatusUnauthorized))
		Eventually(func() int { return status("3", keyHeader, "key-2") }, "2s").Should(Equal(http.StatusServiceUnavailable))
		Expect(status("4", keyHeader, "key-1")).To(Equal(http.StatusOK))
		Expect(status("5")).To(Equal(http.StatusUnauthorized))
	})
	// Guards against refusals whose organisation an operator cannot find, and against keys in
	// logs and answers.
	It("are logged with their organisation and without their key", func() {
		logged, out := newLoggedFixture(plain, refuse)
		logged.gateway.SetTable(keyTable(2, plain, "key-1"))
		for id, key := range map[string]string{"known": "key-1", "unknown": "key-9"} {
			_, body, header := logged.post("/r/x", idHeader, id, keyHeader, key)
			Expect(fmt.Sprint(body, header)).NotTo(ContainSubstring(key))
		}
		Expect(out.String()).To(MatchRegexp(`ended without.*request=known.*organisation=a.*status=503`))
		Expect(out.String()).To(MatchRegexp(`ended without.*request=unknown.*status=401 reason="unknown key"`))
		Expect(out.String()).NotTo(ContainSubstring("key-"))
	})
	// Guards against public routes that ask for keys.
	It("need no key on a public route", func() {
		public := plain
		public.Public = true
		s.gateway.SetTable(keyTable(3, public, "key-1"))
		Expect(status("1")).To(Equal(http.StatusOK))
		Expect(status("2", keyHeader, "key-9")).To(Equal(http.StatusOK))
		Expect(seen).NotTo(HaveKey(organisationHeader))
	})
})
