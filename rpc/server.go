package rpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dogwoodline.example/config"
	"dogwoodline.example/kvstore"
	"dogwoodline.example/program"
	"dogwoodline.example/rpc/peerpb"
)

// maxMessageBytes limits a message between nodes. The largest message is the
// whole configuration, which a starting node pulls: about 20 MB for 39,000
// tenants. A program's history of 590,000 tokens is about 3 MB.
const maxMessageBytes = 64 << 20

const (
	// connectionTimeout is the time for the handshake of a connection.
	connectionTimeout = 10 * time.Second
	// maxHeaderBytes bounds the metadata of a call, of which nodes send a few hundred bytes.
	maxHeaderBytes = 64 << 10
)

// Server accepts the connections of other nodes.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that passes requests to handler. Without
// credentials connections are not encrypted.
func NewServer(handler Handler, tls credentials.TransportCredentials) *Server {
	if tls == nil {
		tls = insecure.NewCredentials()
	}
	server := grpc.NewServer(grpc.Creds(tls), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(connectionTimeout), grpc.MaxHeaderListSize(maxHeaderBytes))
	peerpb.RegisterPeerServer(server, &service{handler: handler})
	return &Server{grpc: server}
}

// Serve accepts connections until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	return Error.Wrap(s.grpc.Serve(listener))
}

// Stop refuses new requests, waits until the running ones have ended, but no
// longer than wait, and closes all connections.
func (s *Server) Stop(wait time.Duration) {
	timer := time.AfterFunc(wait, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// service implements the gRPC service Peer by calling the handler.
type service struct {
	peerpb.UnimplementedPeerServer
	handler Handler
}

func (s *service) Ping(ctx context.Context, _ *peerpb.PingRequest) (*peerpb.PingResponse, error) {
	response := s.handler.Ping(ctx)
	return &peerpb.PingResponse{Incarnation: response.Incarnation, StoreSilentMs: response.StoreSilence.Milliseconds()}, nil
}

func (s *service) Forward(request *peerpb.ForwardRequest, stream peerpb.Peer_ForwardServer) error {
	forwarded := ForwardRequest{
		Method:   Method(request.GetMethod()),
		Tenant:   request.GetTenant(),
		Program:  request.GetProgram(),
		Request:  request.GetRequest(),
		Body:     request.GetBody(),
		Stream:   request.GetStream(),
		Deadline: time.Duration(request.GetDeadlineMs()) * time.Millisecond,
	}
	reply := s.handler.Forward(stream.Context(), forwarded, func(chunk program.Chunk) error {
		return stream.Send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: &peerpb.Chunk{
			Attempt: int64(chunk.Attempt), Offset: int64(chunk.Offset), Text: chunk.Text,
		}}})
	})
	return stream.Send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Reply{Reply: encodeReply(reply)}})
}

func (s *service) PushConfig(ctx context.Context, message *peerpb.ConfigChanges) (*peerpb.ConfigAck, error) {
	changes, err := decodeChanges(message.GetChanges())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.handler.PushConfig(ctx, changes)
	return &peerpb.ConfigAck{}, nil
}

func (s *service) PullConfig(ctx context.Context, request *peerpb.ConfigPull) (*peerpb.ConfigAnswer, error) {
	response := s.handler.PullConfig(ctx, config.PullRequest{
		Complete: kvstore.Version(request.GetComplete()), Digest: request.GetDigest(),
	})
	return &peerpb.ConfigAnswer{
		Ready: response.Ready, Changes: encodeChanges(response.Changes), Complete: int64(response.Complete), Digest: response.Digest,
	}, nil
}

func (s *service) NoteCrashes(ctx context.Context, crashes *peerpb.Crashes) (*peerpb.CrashesAck, error) {
	received := make([]program.Crash, 0, len(crashes.GetCrashes()))
	for _, c := range crashes.GetCrashes() {
		received = append(received, program.Crash{Digest: c.GetDigest(), Count: int(c.GetCount())})
	}
	s.handler.NoteCrashes(ctx, received)
	return &peerpb.CrashesAck{}, nil
}

func (s *service) Schedule(stream peerpb.Peer_ScheduleServer) error {
	return s.handler.Schedule(stream)
}
