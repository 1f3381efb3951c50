package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/load"
)

var _ = Describe("load", func() {
	// Guards against skipped policies and output files that are not written.
	It("runs all policies on the model and writes table, JSON and report", func() {
		folder := GinkgoT().TempDir()
		jsonFile, reportFile := filepath.Join(folder, "r.json"), filepath.Join(folder, "r.html")
		var out, errOut bytes.Buffer
		code := run([]string{
			"load", "--policy", "all", "--duration", "20s", "--json", jsonFile, "--report", reportFile,
		}, &out, &errOut)
		Expect(errOut.String()).To(BeEmpty())
		Expect(code).To(Equal(exitDone))
		Expect(out.String()).To(ContainSubstring("steady recomputed"))
		data, err := os.ReadFile(jsonFile)
		Expect(err).NotTo(HaveOccurred())
		var results []load.Result
		Expect(json.Unmarshal(data, &results)).To(Succeed())
		Expect(results).To(HaveLen(4))
		Expect(results[0].Completed).To(BeNumerically(">", 0))
		page, err := os.ReadFile(reportFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring("<svg"))
	})

	DescribeTable("rejects flags with invalid values", func(flags ...string) {
		var out, errOut bytes.Buffer
		Expect(run(append([]string{"load"}, flags...), &out, &errOut)).To(Equal(exitUsage))
		Expect(errOut.String()).NotTo(BeEmpty())
	},
		Entry("policy", "--policy", "none"),
		Entry("target", "--target", "none"),
		Entry("scenario", "--scenario", "none"),
		Entry("duration", "--duration", "-1s"),
		Entry("time scale", "--target", "nodes", "--time-scale", "-1"),
	)

	// Guards against exit code 0 for a failed run, which would mislead scripts.
	It("fails if a run cannot finish", func() {
		var out, errOut bytes.Buffer
		Expect(run([]string{"load", "--target", "nodes", "--nodes", "0"}, &out, &errOut)).To(Equal(exitFailed))
		Expect(errOut.String()).NotTo(BeEmpty())
	})
})
