package rpc

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"dogwoodline.example/config"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/program"
	"dogwoodline.example/resource"
	"dogwoodline.example/rpc/peerpb"
)

// Link is the connection to one incarnation of another node.
type Link struct {
	// Incarnation names the node's incarnation.
	Incarnation string

	conn   *grpc.ClientConn
	client peerpb.PeerClient
	ctx    context.Context // ends when the node is no longer a member
	cancel context.CancelFunc
}

// Links holds the connections to all members. One duty calls Update; any
// goroutine may use the links.
type Links struct {
	tls  credentials.TransportCredentials
	view atomic.Pointer[map[string]*Link]
}

// NewLinks returns an empty set of links. Without credentials connections are
// not encrypted.
func NewLinks(tls credentials.TransportCredentials) *Links {
	if tls == nil {
		tls = insecure.NewCredentials()
	}
	l := &Links{tls: tls}
	l.view.Store(&map[string]*Link{})
	return l
}

// Update makes the links match the members, given as gRPC address by
// incarnation. Requests that wait on a link that goes away end at once, so
// that a cut or half-open connection holds no caller.
func (l *Links) Update(addresses map[string]string) error {
	old := *l.view.Load()
	fresh := make(map[string]*Link, len(addresses))
	for incarnation, address := range addresses {
		if known, ok := old[incarnation]; ok {
			fresh[incarnation] = known
			continue
		}
		link, err := l.dial(incarnation, address)
		if err != nil {
			return err
		}
		fresh[incarnation] = link
	}
	l.view.Store(&fresh)
	for incarnation, link := range old {
		if _, ok := fresh[incarnation]; !ok {
			link.close()
		}
	}
	return nil
}

func (l *Links) dial(incarnation, address string) (*Link, error) {
	// A node that comes back is reached again within a second, so that a
	// takeover or a restart is not followed by a long pause.
	retry := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(l.tls),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{Incarnation: incarnation, conn: conn, client: peerpb.NewPeerClient(conn), ctx: ctx, cancel: cancel}, nil
}

// To returns the link to an incarnation, or ErrNoLink.
func (l *Links) To(incarnation string) (*Link, error) {
	link, ok := (*l.view.Load())[incarnation]
	if !ok {
		return nil, ErrNoLink
	}
	return link, nil
}

// All returns the links to all other members.
func (l *Links) All() []*Link {
	view := *l.view.Load()
	all := make([]*Link, 0, len(view))
	for _, link := range view {
		all = append(all, link)
	}
	return all
}

// Close ends all links.
func (l *Links) Close() {
	_ = l.Update(nil)
}

func (k *Link) close() {
	k.cancel()
	_ = k.conn.Close()
}

// joined returns a context that also ends with the link.
func (k *Link) joined(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(k.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// Ping asks the node how it is.
func (k *Link) Ping(ctx context.Context) (PingAnswer, error) {
	ctx, done := k.joined(ctx)
	defer done()
	answer, err := k.client.Ping(ctx, &peerpb.PingRequest{})
	if err != nil {
		return PingAnswer{}, Error.Wrap(err)
	}
	return PingAnswer{
		Incarnation: answer.GetIncarnation(),
		StoreSilent: time.Duration(answer.GetStoreSilentMs()) * time.Millisecond,
	}, nil
}

// PingAt asks the node at an address how it is, over a connection of its own.
func (l *Links) PingAt(ctx context.Context, address string) (PingAnswer, error) {
	link, err := l.dial("", address)
	if err != nil {
		return PingAnswer{}, err
	}
	defer link.close()
	return link.Ping(ctx)
}

// Forward passes a request on and returns the owner's reply. An error means
// that the owner may or may not have taken the request; repeating it with the
// same request id is safe.
func (k *Link) Forward(ctx context.Context, request Forwarded, chunk func(program.Chunk) error) (program.Reply, error) {
	ctx, done := k.joined(ctx)
	defer done()
	stream, err := k.client.Forward(ctx, &peerpb.ForwardRequest{
		Method: peerpb.Method(request.Method), Tenant: request.Tenant, Program: request.Program,
		Request: request.Request, Body: request.Body, Stream: request.Stream,
		DeadlineMs: request.Deadline.Milliseconds(),
	})
	if err != nil {
		return program.Reply{}, Error.Wrap(err)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return program.Reply{}, Error.Wrap(err)
		}
		if part := event.GetChunk(); part != nil {
			err := chunk(program.Chunk{Attempt: int(part.GetAttempt()), Offset: int(part.GetOffset()), Text: part.GetText()})
			if err != nil {
				return program.Reply{}, Error.Wrap(err)
			}
			continue
		}
		return decodeReply(event.GetReply())
	}
}

// PushConfig hands accepted changes of resources to the node.
func (k *Link) PushConfig(ctx context.Context, changes []resource.Change) error {
	ctx, done := k.joined(ctx)
	defer done()
	_, err := k.client.PushConfig(ctx, &peerpb.ConfigChanges{Changes: encodeChanges(changes)})
	return Error.Wrap(err)
}

// PullConfig asks the node for the changes that this one lacks.
func (k *Link) PullConfig(ctx context.Context, request config.PullRequest) (config.PullResponse, error) {
	ctx, done := k.joined(ctx)
	defer done()
	answer, err := k.client.PullConfig(ctx, &peerpb.ConfigPull{Complete: int64(request.Complete), Digest: request.Digest})
	if err != nil {
		return config.PullResponse{}, Error.Wrap(err)
	}
	changes, err := decodeChanges(answer.GetChanges())
	if err != nil {
		return config.PullResponse{}, err
	}
	return config.PullResponse{
		Ready: answer.GetReady(), Changes: changes,
		Complete: kvstore.Version(answer.GetComplete()), Digest: answer.GetDigest(),
	}, nil
}

// NoteCrashes hands on which requests crashed backend servers.
func (k *Link) NoteCrashes(ctx context.Context, crashes []program.Crash) error {
	ctx, done := k.joined(ctx)
	defer done()
	message := &peerpb.Crashes{}
	for _, c := range crashes {
		message.Crashes = append(message.Crashes, &peerpb.Crash{Digest: c.Digest, Count: int32(c.Count)})
	}
	_, err := k.client.NoteCrashes(ctx, message)
	return Error.Wrap(err)
}
