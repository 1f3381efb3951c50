package gateway

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// readEvents returns the events of a stream and the error that ends it.
func readEvents(stream string) (events []event, err error) {
	reader := newEventReader(strings.NewReader(stream), func(int) bool { return true })
	for {
		e, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

var _ = Describe("Events", func() {
	// Guards against an event that is split in two, or resumed from a wrong id,
	// because a line of it is as long as the read buffer.
	DescribeTable("are whole whatever the length of their lines",
		func(length int) {
			long := "data: " + strings.Repeat("x", length-len("data: "))
			got, err := readEvents("id: 1\n" + long + "id: 9\ndata: y\n\nid: 2\ndata: z\n\n")
			Expect(err).To(Equal(io.EOF))
			Expect(got).To(HaveLen(2))
			Expect(got[0].id).To(Equal("1"))
			Expect(string(eventData(got[0].raw))).To(HaveSuffix("id: 9\ny"))
			Expect(got[1].id).To(Equal("2"))
		},
		Entry("shorter than the buffer", 100),
		Entry("one byte short of the buffer", 2047),
		Entry("as long as the buffer", 2048),
		Entry("longer than the buffer", 5000),
	)

	It("end with an error when one is too long, after a bounded number of bytes", func() {
		_, err := readEvents("data: " + strings.Repeat("x", maxEventBytes) + "\n\n")
		Expect(err).To(MatchError(errEventTooLong))
	})
})
