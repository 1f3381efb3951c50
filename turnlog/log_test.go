package turnlog_test

import (
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
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
	l, err := turnlog.Open(folder, func(_ turnlog.Position, payload []byte) error {
		records = append(records, string(payload))
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	return l, records
}

// appendTo appends records and returns their positions.
func appendTo(l *turnlog.Log, records ...string) []turnlog.Position {
	GinkgoHelper()
	var payloads [][]byte
	for _, record := range records {
		payloads = append(payloads, []byte(record))
	}
	positions, err := l.Append(payloads)
	Expect(err).NotTo(HaveOccurred())
	return slices.Clone(positions)
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
		appendTo(l, "a", "b")
		appendTo(l, "c")
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
		appendTo(l, "kept")
		appendTo(l, "torn record")
		path := segmentFiles(folder)[0]
		info, err := os.Stat(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.Truncate(path, info.Size()-3)).To(Succeed())
		reopened, records := openLog(folder)
		Expect(records).To(Equal([]string{"kept"}))
		appendTo(reopened, "later")
		_, records = openLog(folder)
		Expect(records).To(Equal([]string{"kept", "later"}))
	})

	It("replays no record whose bytes changed", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		appendTo(l, "first", "second")
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
		appendTo(l, string(make([]byte, 9<<20)))
		appendTo(l, "next segment")
		_, _, removable := l.OldestSegment()
		Expect(removable).To(BeTrue())
		Expect(l.RemoveOldestSegment()).To(Succeed())
		_, _, removable = l.OldestSegment()
		Expect(removable).To(BeFalse())
		_, records := openLog(folder)
		Expect(records).To(Equal([]string{"next segment"}))
	})

	// Guards against a conversation that is read back with the content of another record.
	It("reads each record at the position where it was appended, also after a restart", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		positions := append(appendTo(l, "a", "", "third"), appendTo(l, string(make([]byte, 9<<20)))...)
		positions = append(positions, appendTo(l, "in the next segment")...)
		Expect(positions[4].Segment).NotTo(Equal(positions[0].Segment))
		var replayed []turnlog.Position
		reopened, err := turnlog.Open(folder, func(at turnlog.Position, _ []byte) error {
			replayed = append(replayed, at)
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(reopened.Close)
		Expect(replayed).To(Equal(positions))
		Expect(reopened.Size()).To(Equal(l.Size()))
		for i, want := range map[int]string{0: "a", 1: "", 2: "third", 4: "in the next segment"} {
			payload, err := reopened.Read(positions[i])
			Expect(err).NotTo(HaveOccurred())
			Expect(string(payload)).To(Equal(want))
		}
	})

	// Guards against damaged bytes that are taken for a turn, and against a store that ends
	// or waits because a segment is gone.
	It("returns an error for a record that is damaged or removed", func() {
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		at := appendTo(l, "first", string(make([]byte, 9<<20)))
		appendTo(l, "next segment")
		content, err := os.ReadFile(segmentFiles(folder)[0])
		Expect(err).NotTo(HaveOccurred())
		content[len(content)-1] ^= 1
		Expect(os.WriteFile(segmentFiles(folder)[0], content, 0o644)).To(Succeed())
		_, err = l.Read(at[1])
		Expect(err).To(MatchError(turnlog.ErrNotReadable))
		Expect(l.RemoveOldestSegment()).To(Succeed())
		_, err = l.Read(at[0])
		Expect(err).To(MatchError(turnlog.ErrNotReadable))
	})

	// Guards against a full disk that fills up further with each write that fails, and
	// against records behind the partial one that it leaves.
	It("leaves nothing behind of writes that do not fit", func() {
		signal.Ignore(syscall.SIGXFSZ)
		DeferCleanup(signal.Reset, syscall.SIGXFSZ)
		var before syscall.Rlimit
		Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before)).To(Succeed())
		limit := func(bytes uint64) {
			GinkgoHelper()
			Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: bytes, Max: before.Max})).To(Succeed())
		}
		folder := GinkgoT().TempDir()
		l, _ := openLog(folder)
		appendTo(l, "kept")
		limit(5000)
		var failed []error
		for range 10 {
			_, err := l.Append([][]byte{make([]byte, 10_000)})
			failed = append(failed, err)
		}
		limit(before.Cur)
		Expect(failed).To(HaveEach(HaveOccurred()))
		Expect(len(segmentFiles(folder))).To(BeNumerically("<=", 2))
		Expect(l.Size()).To(BeEquivalentTo(len("kept") + 8))
		appendTo(l, "later")
		_, records := openLog(folder)
		Expect(records).To(Equal([]string{"kept", "later"}))
	})
})
