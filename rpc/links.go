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
	// Incarnation identifies the incarnation. It is empty for the temporary link
	// of PingAt.
	Incarnation string

	conn   *grpc.ClientConn
	client peerpb.PeerClient
	ctx    context.Context // ends when the link is closed, as when the node is no longer a member
	cancel context.CancelFunc
}

// Links holds the connections to all other members. Update and Close must be
// called by one goroutine only; the other methods are safe for concurrent use.
type Links struct {
	credentials   credentials.TransportCredentials
	byIncarnation atomic.Pointer[map[string]*Link]
}

// NewLinks returns an empty set of links. If the credentials are nil, the
// connections are not encrypted.
func NewLinks(transport credentials.TransportCredentials) *Links {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	l := &Links{credentials: transport}
	l.byIncarnation.Store(&map[string]*Link{})
	return l
}

// Update opens and closes links so that there is one for each of the given
// addresses, a map from the incarnations of the other members to their gRPC
// addresses. Requests that wait on a closed link end at once, so that no caller
// is blocked by an interrupted or half-open connection. After an error the set of
// links is unchanged.
func (l *Links) Update(addresses map[string]string) error {
	old := *l.byIncarnation.Load()
	updated := make(map[string]*Link, len(addresses))
	for incarnation, address := range addresses {
		if known, ok := old[incarnation]; ok {
			updated[incarnation] = known
			continue
		}
		link, err := l.dial(incarnation, address)
		if err != nil {
			return err
		}
		updated[incarnation] = link
	}
	l.byIncarnation.Store(&updated)
	for incarnation, link := range old {
		if _, ok := updated[incarnation]; !ok {
			link.close()
		}
	}
	return nil
}

// dial creates a link. It does not connect: gRPC does so at the first request.
func (l *Links) dial(incarnation, address string) (*Link, error) {
	// Reconnect within a second to a node that is reachable again, so that a
	// takeover or a restart is not followed by a long interruption.
	reconnect := backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(l.credentials),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{Incarnation: incarnation, conn: conn, client: peerpb.NewPeerClient(conn), ctx: ctx, cancel: cancel}, nil
}

// Get returns the link to an incarnation, or ErrNoLink if there is none.
func (l *Links) Get(incarnation string) (*Link, error) {
	link, ok := (*l.byIncarnation.Load())[incarnation]
	if !ok {
		return nil, ErrNoLink
	}
	return link, nil
}

// All returns the links to all other members.
func (l *Links) All() []*Link {
	byIncarnation := *l.byIncarnation.Load()
	all := make([]*Link, 0, len(byIncarnation))
	for _, link := range byIncarnation {
		all = append(all, link)
	}
	return all
}

// Close closes all links.
func (l *Links) Close() {
	_ = l.Update(nil) // fails only if it opens a link
}

func (k *Link) close() {
	k.cancel()
	_ = k.conn.Close()
}

// boundToLink returns a context that ends when ctx ends or the link is closed, and
// a function that releases the resources of the context.
func (k *Link) boundToLink(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(k.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// Ping asks the node which incarnation it is, and how long ago the platform store
// last answered it.
func (k *Link) Ping(ctx context.Context) (PingResponse, error) {
	ctx, done := k.boundToLink(ctx)
	defer done()
	response, err := k.client.Ping(ctx, &peerpb.PingRequest{})
	if err != nil {
		return PingResponse{}, Error.Wrap(err)
	}
	return PingResponse{
		Incarnation:  response.GetIncarnation(),
		StoreSilence: time.Duration(response.GetStoreSilentMs()) * time.Millisecond,
	}, nil
}

// PingAt pings the node at an address over a new connection, which is closed
// afterwards.
func (l *Links) PingAt(ctx context.Context, address string) (PingResponse, error) {
	link, err := l.dial("", address)
	if err != nil {
		return PingResponse{}, err
	}
	defer link.close()
	return link.Ping(ctx)
}

// Forward forwards a request to the owner of the program and returns its reply.
// It calls chunk with each part of a streamed answer, in order. After an error the
// owner may or may not have received the request; repeating it with the same
// request ID is safe.
func (k *Link) Forward(ctx context.Context, request ForwardRequest, chunk func(program.Chunk) error) (program.Reply, error) {
	ctx, done := k.boundToLink(ctx)
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

// PushConfig sends accepted changes of resources to the node.
func (k *Link) PushConfig(ctx context.Context, changes []resource.Change) error {
	ctx, done := k.boundToLink(ctx)
	defer done()
	_, err := k.client.PushConfig(ctx, &peerpb.ConfigChanges{Changes: encodeChanges(changes)})
	return Error.Wrap(err)
}

// PullConfig requests from the node the changes that the local node may lack.
func (k *Link) PullConfig(ctx context.Context, request config.PullRequest) (config.PullResponse, error) {
	ctx, done := k.boundToLink(ctx)
	defer done()
	response, err := k.client.PullConfig(ctx, &peerpb.ConfigPull{Complete: int64(request.Complete), Digest: request.Digest})
	if err != nil {
		return config.PullResponse{}, Error.Wrap(err)
	}
	changes, err := decodeChanges(response.GetChanges())
	if err != nil {
		return config.PullResponse{}, err
	}
	return config.PullResponse{
		Ready: response.GetReady(), Changes: changes,
		Complete: kvstore.Version(response.GetComplete()), Digest: response.GetDigest(),
	}, nil
}

// NoteCrashes tells the node how many backend servers each of some requests is
// presumed to have crashed.
func (k *Link) NoteCrashes(ctx context.Context, crashes []program.Crash) error {
	ctx, done := k.boundToLink(ctx)
	defer done()
	message := &peerpb.Crashes{}
	for _, c := range crashes {
		message.Crashes = append(message.Crashes, &peerpb.Crash{Digest: c.Digest, Count: int32(c.Count)})
	}
	_, err := k.client.NoteCrashes(ctx, message)
	return Error.Wrap(err)
}
