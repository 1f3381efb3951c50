package roles_test

import (
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/soak/roles"
)

func TestRoles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak roles")
}

var _ = Describe("Fronts and stores", func() {
	// Guards against lost conversations, budgets that are spent twice, requests
	// that run twice or after a refusal, and answers of another request, while
	// processes and links fail.
	It("keep the promises under faults", func(ctx context.Context) {
		binary := filepath.Join(GinkgoT().TempDir(), "dogwoodline")
		out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "../../cmd/dogwoodline").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		// Seed 8: a front that got SIGHUP in the instant of its start was gone. It
		// failed with the eleven first kinds of faults; the seed now decides others,
		// and the cause is kept out by handlersStand.
		for _, seed := range []uint64{1, 8} {
			report, err := roles.Run(ctx, roles.Config{
				Binary: binary, Fronts: 2, Stores: 4, Programs: 6, Duration: 10 * time.Second, Seed: seed, Net: 70,
				Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Write(GinkgoWriter)).To(Succeed())
			Expect(report.Violations).To(BeEmpty())
			// Runs of many seeds ended where a store wrote to a folder that was being removed.
			Expect(report.Folder).NotTo(BeADirectory())
			Expect(report.Answered).To(BeNumerically(">", 50))
		}
	}, NodeTimeout(3*time.Minute))
})
