package soak_test

import (
	"context"
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// buildBinary builds the dogwoodline binary, which the node processes run, from
// this source tree.
func buildBinary(tags string) string {
	path := filepath.Join(GinkgoT().TempDir(), "dogwoodline")
	command := exec.Command("go", "build", "-buildvcs=false", "-tags", tags, "-o", path, "../cmd/dogwoodline")
	out, err := command.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return path
}

var _ = Describe("Run", func() {
	// Guards against node processes that lose work or do it twice when a node is
	// killed, when a node is suspended for longer than its lease, and during an
	// outage of the platform. The bounds are the targets of the design page.
	It("finds no violation under a kill, a freeze and an outage", func(ctx context.Context) {
		report, err := soak.Run(ctx, soak.Config{
			Binary: buildBinary(""), Nodes: 3, Engines: 2, Programs: 8, Duration: time.Second, Seed: 1,
			ScriptedSteps: [][]soak.FaultKind{{soak.KillNode}, {soak.FreezeNode}, {soak.PlatformOutage}}, Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
		})
		Expect(err).NotTo(HaveOccurred())
		report.Write(GinkgoWriter)
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Faults).To(Equal(map[string]int{"kill": 1, "freeze": 1, "outage": 1}))
		Expect(report.Recovery.Count).To(BeNumerically(">", 0))
		Expect(report.Effects).To(BeNumerically(">", 50))
	}, NodeTimeout(2*time.Minute))

	// Guards against specs that do not detect a posting that is sent before its
	// intent is durable. The build tag plantedfault plants this fault, and with
	// it the spec of module node must fail because a posting takes effect twice.
	It("detects the fault that the build tag plantedfault plants", func(ctx context.Context) {
		command := exec.CommandContext(ctx, "go", "test", "-tags", "plantedfault", "-count=1", ".",
			"-ginkgo.no-color", "-ginkgo.focus", "never run a posting twice")
		command.Dir = "../node"
		out, err := command.CombinedOutput()
		Expect(err).To(HaveOccurred(), string(out))
		Expect(string(out)).To(And(ContainSubstring("effects of the posting"), ContainSubstring(":r1\": 2")))
	}, NodeTimeout(2*time.Minute))

	It("rejects unknown kinds of faults", func(ctx context.Context) {
		_, err := soak.Run(ctx, soak.Config{Faults: []soak.FaultKind{"flood"}})
		Expect(err).To(MatchError(ContainSubstring("flood")))
	})
})
