package roles_test

import (
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/soak/roles"
)

var _ = Describe("Fronts in planned stops", func() {
	// Guards against requests that a front has read, and often a backend server has run,
	// whose connection ends without an answer around SIGTERM (LOST, issue 32). The clients
	// never pause and half of them keep an old list of fronts, so that the load of a
	// stopping front lasts until it ends, and some calls take longer than that.
	It("answer each request that they have read, under a load that never pauses", func(ctx context.Context) {
		binary := filepath.Join(GinkgoT().TempDir(), "dogwoodline")
		out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "../../cmd/dogwoodline").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		result, err := roles.RunStops(ctx, roles.StopsConfig{
			Binary: binary, Seed: 1, SecondOctet: 71, Fronts: 3, Clients: 110, Stops: 3, Signals: true, Stall: true,
			Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Write(GinkgoWriter)).To(Succeed())
		Expect(result.Violations).To(BeEmpty())
		Expect(result.Answered).To(BeNumerically(">", 500), "the load goes on")
		Expect(result.Unknown).To(BeNumerically(">", 0), "some calls take longer than the stop")
	}, NodeTimeout(90*time.Second))
})
