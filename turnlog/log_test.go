package turnlog_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dogwoodline.example/turnlog"
)

func TestTurnlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "turnlog")
}

func openLog(folder string) (*turnlog.Log, []string) {
	var records []string
	l, err := turnlog.Open(folder, func(_ uint64, payload []byte) error {
		records = append(records, string(payload))
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	return l, records
}

func segmentFiles(folder string) []string {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	return names
}

var _ = Describe("Log", func() {
	It("replays what was appended before a restart, in order", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		Expect(l.Append([][]byte{[]byte("a"), []byte("b")})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("c")})).To(Succeed())
		reopened, records := openLog(folder)
		Expect(records).To(Equal([]string{"a", "b", "c"}))
		Expect(reopened.Identity()).To(Equal(l.Identity()))
	})

	It("gives an empty disk a new identity", func() {
		first, _ := openLog(GinkgoT().TempDir())
		second, _ := openLog(GinkgoT().TempDir())
		Expect(first.Identity()).NotTo(Equal(second.Identity()))
	})

	It("keeps the records before a partial one, and starts a new segment after it", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		Expect(l.Append([][]byte{[]byte("kept")})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("torn record")})).To(Succeed())
		path := segmentFiles(folder)[0]
		info, err := os.Stat(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Truncate(path, info.Size()-3)).To(Succeed())
		reopened, records := openLog(folder)
		Expect(records).To(Equal([]string{"kept"}))
		Expect(reopened.Append([][]byte{[]byte("later")})).To(Succeed())
		_, records = openLog(folder)
		Expect(records).To(Equal([]string{"kept", "later"}))
	})

	It("replays no record whose bytes changed", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		Expect(l.Append([][]byte{[]byte("first"), []byte("second")})).To(Succeed())
		path := segmentFiles(folder)[0]
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		content[len(content)-1] ^= 1
		Expect(os.WriteFile(path, content, 0o644)).To(Succeed())
		_, records := openLog(folder)
		Expect(records).To(Equal([]string{"first"}))
	})

	It("replaces an identity that was written only partially", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "identity"), []byte("SHORT"), 0o644)).To(Succeed())
		l, _ := openLog(folder)
		Expect(l.Identity()).To(HaveLen(26))
	})

	It("removes the oldest segment and keeps the current one", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		Expect(l.Append([][]byte{make([]byte, 9<<20)})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("next segment")})).To(Succeed())
		_, removable := l.OldestSegment()
		Expect(removable).To(BeTrue())
		Expect(l.RemoveOldestSegment()).To(Succeed())
		_, removable = l.OldestSegment()
		Expect(removable).To(BeFalse())
		_, records := openLog(folder)
		Expect(records).To(Equal([]string{"next segment"}))
	})
})
