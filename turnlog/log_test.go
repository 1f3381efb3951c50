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

func open(folder string) (*turnlog.Log, []string) {
	var found []string
	l, err := turnlog.Open(folder, func(_ uint64, payload []byte) error {
		found = append(found, string(payload))
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	return l, found
}

func segments(folder string) []string {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	return names
}

var _ = Describe("Log", func() {
	It("finds what was appended before a restart, in order", func() {
		folder := GinkgoT().TempDir()
		l, _ := open(folder)
		Expect(l.Append([][]byte{[]byte("a"), []byte("b")})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("c")})).To(Succeed())
		again, found := open(folder)
		Expect(found).To(Equal([]string{"a", "b", "c"}))
		Expect(again.Identity()).To(Equal(l.Identity()))
	})

	It("has another identity on a disk that was emptied", func() {
		first, _ := open(GinkgoT().TempDir())
		second, _ := open(GinkgoT().TempDir())
		Expect(first.Identity()).NotTo(Equal(second.Identity()))
	})

	It("keeps what was synced before a torn end, and appends behind it nowhere", func() {
		folder := GinkgoT().TempDir()
		l, _ := open(folder)
		Expect(l.Append([][]byte{[]byte("kept")})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("torn record")})).To(Succeed())
		path := segments(folder)[0]
		info, err := os.Stat(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Truncate(path, info.Size()-3)).To(Succeed())
		after, found := open(folder)
		Expect(found).To(Equal([]string{"kept"}))
		Expect(after.Append([][]byte{[]byte("later")})).To(Succeed())
		_, found = open(folder)
		Expect(found).To(Equal([]string{"kept", "later"}))
	})

	It("reads no record whose bytes changed", func() {
		folder := GinkgoT().TempDir()
		l, _ := open(folder)
		Expect(l.Append([][]byte{[]byte("first"), []byte("second")})).To(Succeed())
		path := segments(folder)[0]
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		content[len(content)-1] ^= 1
		Expect(os.WriteFile(path, content, 0o644)).To(Succeed())
		_, found := open(folder)
		Expect(found).To(Equal([]string{"first"}))
	})

	It("takes an identity that was not written whole for an empty disk", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "identity"), []byte("SHORT"), 0o644)).To(Succeed())
		l, _ := open(folder)
		Expect(l.Identity()).To(HaveLen(26))
	})

	It("removes the oldest segment only", func() {
		folder := GinkgoT().TempDir()
		l, _ := open(folder)
		Expect(l.Append([][]byte{make([]byte, 9<<20)})).To(Succeed())
		Expect(l.Append([][]byte{[]byte("next segment")})).To(Succeed())
		_, more := l.Oldest()
		Expect(more).To(BeTrue())
		Expect(l.RemoveOldest()).To(Succeed())
		_, more = l.Oldest()
		Expect(more).To(BeFalse())
		_, found := open(folder)
		Expect(found).To(Equal([]string{"next segment"}))
	})
})
