package main

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The explain command", func() {
	It("exits with 0 if the logs state the cause, with 1 if they do not, and with 2 if a log cannot be read", func() {
		log := filepath.Join(GinkgoT().TempDir(), "front.log")
		line := `{"time":"2026-10-17T21:37:01Z","msg":"gateway: answered","host":"f1","request":"r1","status":200}`
		Expect(os.WriteFile(log, []byte(line+"\n"), 0o600)).To(Succeed())
		var out, problems bytes.Buffer
		Expect(run([]string{"explain", "r1", log}, &out, &problems)).To(Equal(exitDone))
		Expect(out.String()).To(ContainSubstring("r1: The answer of backend server"))
		Expect(run([]string{"explain", "r2", log}, &out, &problems)).To(Equal(exitFailed))
		Expect(run([]string{"explain", "r1", log + ".missing"}, &out, &problems)).To(Equal(exitUsage))
	})
})
