package slopes

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Fit", func() {
	// Guards against a fit that gives repeats or outlying sizes the wrong weight.
	It("finds the least-squares line of noisy points", func() {
		line := Fit([]Point{{X: 0, Y: []float64{1, 1}}, {X: 1, Y: []float64{4, 2}}, {X: 2, Y: []float64{5, 5}}, {X: 3, Y: []float64{7, 7}}})
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Base).To(BeNumerically("~", 1, 1e-9))
		Expect(line.Residual).To(BeNumerically("~", 0.5/4, 1e-9)) // two of eight measurements deviate by 1; the mean is 4
	})

	// Guards against a division by zero when only one size was measured, or when
	// all measurements are zero or there are none.
	It("has no slope for a single size", func() {
		Expect(Fit([]Point{{X: 5, Y: []float64{2, 4}}})).To(Equal(Line{Base: 3, Residual: 1.0 / 3}))
		Expect(Fit([]Point{{X: 1, Y: []float64{0}}, {X: 2, Y: []float64{0}}})).To(Equal(Line{}))
		Expect(Fit(nil)).To(Equal(Line{}))
	})
})

var _ = Describe("sweep", func() {
	// Guards against repeats that are assigned to another size or series, and
	// against a factor that is not relative to the largest size.
	It("keeps the repeats of each size and extrapolates from the largest", func() {
		calls := 0
		found, err := sweep{size: "n", target: 40, sizes: []int{1, 2, 4, 8}, series: []series{{"a", "u"}, {"b", "u"}},
			measure: func(n int) ([]float64, error) { calls++; return []float64{float64(3 * n), 7}, nil }}.run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(calls).To(Equal(4 * Repeats))
		Expect(found).To(HaveLen(2))
		Expect(found[0].Points).To(HaveLen(4))
		Expect(found[0].Points[3]).To(Equal(Point{X: 8, Y: []float64{24, 24, 24}}))
		Expect(found[0].AtTarget).To(BeNumerically("~", 120, 1e-6))
		Expect(found[0].Factor).To(Equal(5.0))
		Expect(found[1].Line.Slope).To(BeNumerically("~", 0, 1e-9))
	})

	// Guards against a sweep that keeps measuring after it was cancelled.
	It("stops when its context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := sweep{sizes: []int{1}, series: []series{{"a", "u"}}, measure: func(int) ([]float64, error) { return []float64{1}, nil }}.run(ctx)
		Expect(err).To(MatchError(context.Canceled))
	})
})

var _ = Describe("counter", func() {
	// Guards against traffic that is counted in only one direction, or twice.
	It("counts the bytes of both directions once", func() {
		var c counter
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := c.wrap(plain)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			received := make([]byte, 5)
			if _, err := io.ReadFull(conn, received); err == nil {
				_, _ = conn.Write([]byte("answer!"))
			}
		}()
		conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("answer!"))
		Expect(c.bytes.Load()).To(Equal(int64(12)))
		Expect(c.connections.Load()).To(Equal(int64(1)))
	})
})

var _ = Describe("tableDriver", func() {
	// Guards against a measurement of programs whose calls did not complete: it
	// would show almost no memory for their history.
	It("completes every call and records it", func() {
		driver := newTableDriver(true)
		driver.add(1, defaultTurns, 100)
		programs, calls := driver.table.Counts()
		Expect(programs).To(Equal(1))
		Expect(calls).To(BeZero())
		Expect(driver.records).To(HaveLen(1 + 2*defaultTurns)) // start of the program, then intent and result of each call
		found, err := replay(context.Background(), 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(found[1]).To(BeNumerically(">", 10*defaultTurns*2*turnBytes))
	})
})
