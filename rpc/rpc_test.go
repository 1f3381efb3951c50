package rpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/credentials"

	"dogwoodline.example/config"
	"dogwoodline.example/copies"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/outcome"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/rpc"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

// fakeNode is a handler that answers a forwarded request with two parts and a
// reply, and returns pushed changes when they are pulled.
type fakeNode struct {
	request rpc.ForwardRequest
	changes []resource.Change
}

func (*fakeNode) Ping(context.Context) rpc.PingResponse {
	return rpc.PingResponse{Incarnation: "n1", StoreSilence: 1500 * time.Millisecond}
}

func (f *fakeNode) Forward(ctx context.Context, request rpc.ForwardRequest, chunk func(program.Chunk) error) program.Reply {
	f.request = request
	if request.Program == "hangs" {
		<-ctx.Done()
	}
	_ = chunk(program.Chunk{Attempt: 2, Offset: 0, Text: "ab"})
	_ = chunk(program.Chunk{Attempt: 2, Offset: 2, Text: "c"})
	return program.Reply{Outcome: outcome.Outcome{Code: outcome.Completed}, Answer: []byte("abc"), Recorded: true, Attempt: 2, Spent: 7}
}

func (f *fakeNode) PushConfig(_ context.Context, changes []resource.Change) { f.changes = changes }

func (f *fakeNode) PullConfig(_ context.Context, request config.PullRequest) config.PullResponse {
	return config.PullResponse{Ready: true, Changes: f.changes, Complete: request.Complete + 1, Digest: request.Digest}
}

func (*fakeNode) NoteCrashes(context.Context, []program.Crash) {}

func (*fakeNode) HoldCopies(context.Context, string, string, fencedlog.Copy) (copies.Verdict, error) {
	return copies.Held, nil
}

func (*fakeNode) CollectCopies(context.Context, string, string) ([]fencedlog.Copy, error) {
	return nil, nil
}

func (*fakeNode) DropCopies(context.Context, string, string, uint64) error { return nil }

func (*fakeNode) Schedule(rpc.ScheduleServer) error { return nil }

// serve starts a server with the handler and returns the server's address.
func serve(handler rpc.Handler, tls credentials.TransportCredentials) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer(handler, tls)
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() { server.Stop(time.Second) })
	return listener.Addr().String()
}

// linkTo returns links with a link to the server at the address, and that link.
func linkTo(address string, tls credentials.TransportCredentials) (*rpc.Links, *rpc.Link) {
	links := rpc.NewLinks(tls)
	Expect(links.Update(map[string]string{"n1": address})).To(Succeed())
	DeferCleanup(links.Close)
	link, err := links.Get("n1")
	Expect(err).NotTo(HaveOccurred())
	return links, link
}

var _ = Describe("Links", func() {
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
	})

	It("transfer a forwarded call, its parts in order and its reply unchanged", func() {
		node := &fakeNode{}
		_, link := linkTo(serve(node, nil), nil)
		text := ""
		reply, err := link.Forward(ctx, rpc.ForwardRequest{Method: rpc.Call, Tenant: "t", Program: "p", Request: []byte("{}"),
			Body: []byte{0, 1}, Stream: true, Deadline: 3 * time.Second},
			func(c program.Chunk) error { text += c.Text; return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("abc"))
		Expect(reply.Recorded).To(BeTrue())
		Expect(reply.Spent).To(BeEquivalentTo(7))
		Expect(node.request.Body).To(Equal([]byte{0, 1}))
		Expect(node.request.Deadline).To(Equal(3 * time.Second))
	})

	It("end a waiting request when its node is no longer a member", func() {
		links, link := linkTo(serve(&fakeNode{}, nil), nil)
		ended := make(chan error, 1)
		go func() {
			_, err := link.Forward(ctx, rpc.ForwardRequest{Method: rpc.Call, Program: "hangs"}, nil)
			ended <- err
		}()
		Consistently(ended, "100ms").ShouldNot(Receive())
		Expect(links.Update(nil)).To(Succeed())
		Eventually(ended, "2s").Should(Receive(HaveOccurred()))
		_, err := links.Get("n1")
		Expect(err).To(MatchError(rpc.ErrNoLink))
	})

	It("transfer configuration changes with their versions and deletions", func() {
		node := &fakeNode{}
		_, link := linkTo(serve(node, nil), nil)
		changes := []resource.Change{
			{ID: resource.ID{Kind: resource.KindPool, Name: "m"}, Version: 4, Spec: &resource.Pool{Model: "m", Role: resource.RoleBoth}},
			{ID: resource.ID{Kind: resource.KindPool, Name: "old"}, Version: 5, Deleted: true},
		}
		Expect(link.PushConfig(ctx, changes)).To(Succeed())
		response, err := link.PullConfig(ctx, config.PullRequest{Complete: 5, Digest: 1 << 63})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Changes).To(Equal(changes))
		Expect(response.Complete).To(BeEquivalentTo(6))
		Expect(response.Digest).To(BeEquivalentTo(uint64(1) << 63))
	})

	It("reject a client without a certificate of the certificate authority", func() {
		server, client, anonymous := certificates()
		address := serve(&fakeNode{}, server)
		_, authorized := linkTo(address, client)
		response, err := authorized.Ping(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Incarnation).To(Equal("n1"))
		Expect(response.StoreSilence).To(Equal(1500 * time.Millisecond))
		_, unauthorized := linkTo(address, anonymous)
		_, err = unauthorized.Ping(ctx)
		Expect(err).To(HaveOccurred())
		_, unencrypted := linkTo(address, nil)
		_, err = unencrypted.Ping(ctx)
		Expect(err).To(HaveOccurred())
	})
})

// certificates returns credentials for a server, for a client with a certificate
// of the same certificate authority, and for a client without a certificate.
func certificates() (server, client, anonymous credentials.TransportCredentials) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	server = credentials.NewTLS(&tls.Config{Certificates: own, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13})
	client = credentials.NewTLS(&tls.Config{Certificates: own, RootCAs: pool, MinVersion: tls.VersionTLS13})
	anonymous = credentials.NewTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13})
	return server, client, anonymous
}
