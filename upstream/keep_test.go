package upstream

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("keepFor", func() {
	// Guards against new connections where the backend server would have kept
	// the old one: each costs a handshake and a slot for a moment.
	It("keeps an idle connection for as long as the backend server does, less the way of a request", func() {
		Expect(keepFor(10 * time.Second)).To(Equal(10*time.Second - idleMargin))
		Expect(keepFor(time.Second)).To(BeNumerically("<", time.Second))
		Expect(keepFor(0)).To(Equal(idleUnknown))
	})
})
