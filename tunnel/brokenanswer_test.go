package tunnel_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"dogwoodline.example/tunnel"
	"dogwoodline.example/tunnel/tunnelpb"
)

// field is a header field, as it is sent.
type field = hpack.HeaderField

// grpcHead is the head of a sound gRPC response.
var grpcHead = []field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}

// frontStream is the response to the first call at a front whose frames a spec writes.
type frontStream struct {
	framer *http2.Framer
	conn   *net.TCPConn
	id     uint32
}

func (f *frontStream) head(endStream bool, fields ...field) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, one := range fields {
		_ = encoder.WriteField(one)
	}
	_ = f.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: f.id, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: endStream})
}

func (f *frontStream) message(inbound *tunnelpb.Inbound) {
	data, err := proto.Marshal(inbound)
	if err != nil {
		return
	}
	_ = f.framer.WriteData(f.id, false, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data))), data...))
}

// startFront starts a front that responds to each call with respond, and returns its address.
func startFront(respond func(*frontStream)) string {
	return serveBackend(func(conn net.Conn) {
		defer conn.Close()
		if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			switch frame := frame.(type) {
			case *http2.SettingsFrame:
				if !frame.IsAck() {
					_ = framer.WriteSettingsAck()
				}
			case *http2.HeadersFrame:
				respond(&frontStream{framer: framer, conn: conn.(*net.TCPConn), id: frame.StreamID})
			}
		}
	})
}

// Guards against broken answers of other fronts that are taken for a connection or its end. The stores, the feed of the
// stores and the exchange among fronts are read by the same library (issue 50).
var _ = Describe("A broken answer of another front", func() {
	dial := func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return newClient(address).Dial(ctx, "127.0.0.1:1")
	}
	connected := &tunnelpb.Inbound{Outcome: tunnelpb.Outcome_OUTCOME_CONNECTED}

	It("is told from a sound one, which this stand-in can send", func() {
		conn, err := dial(startFront(func(f *frontStream) {
			f.head(false, grpcHead...)
			f.message(connected)
			f.message(&tunnelpb.Inbound{Data: []byte("all")})
			f.head(true, field{Name: "grpc-status", Value: "0"})
		}))
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("all"))
	})

	DescribeTable("whose head is not sound opens no connection", func(fields ...field) {
		_, err := dial(startFront(func(f *frontStream) {
			f.head(false, fields...)
			f.message(connected)
		}))
		Expect(err).To(MatchError(tunnel.ErrNoPeer))
	},
		// The status of a gRPC response is in its trailer; grpc-go does not look at that of a head with this content type.
		Entry("status 000, not of gRPC", field{Name: ":status", Value: "000"}, field{Name: "content-type", Value: "text/plain"}),
		Entry("status 099, not of gRPC", field{Name: ":status", Value: "099"}, field{Name: "content-type", Value: "text/plain"}),
		Entry("a name with a blank", grpcHead[0], grpcHead[1], field{Name: "bad name", Value: "x"}),
		Entry("a name with a control byte", grpcHead[0], grpcHead[1], field{Name: "bad\x01", Value: "x"}),
	)

	DescribeTable("that is broken off does not end its connection in order", func(breakOff func(*frontStream)) {
		conn, err := dial(startFront(func(f *frontStream) {
			f.head(false, grpcHead...)
			f.message(connected)
			f.message(&tunnelpb.Inbound{Data: []byte("part")})
			time.Sleep(20 * time.Millisecond)
			breakOff(f)
		}))
		Expect(err).NotTo(HaveOccurred())
		written := writeAll(conn)
		_, err = io.ReadAll(conn)
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, io.EOF)).To(BeFalse())
		Expect(conn.Close()).To(Succeed())
		Eventually(written, "2s").Should(Receive(HaveOccurred()))
	},
		Entry("by a reset during the upload", func(f *frontStream) {
			_ = f.conn.SetLinger(0)
			_ = f.conn.Close()
		}),
		Entry("by the end of its connection during the upload", func(f *frontStream) { _ = f.conn.CloseWrite() }),
		Entry("by an end without a status", func(f *frontStream) { _ = f.framer.WriteData(f.id, true, nil) }),
		Entry("by a trailer with a blank in a name", func(f *frontStream) {
			f.head(true, field{Name: "grpc-status", Value: "0"}, field{Name: "bad name", Value: "x"})
		}),
	)
})
