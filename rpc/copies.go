package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dogwoodline.example/copies"
	"dogwoodline.example/fencedlog"
	"dogwoodline.example/rpc/peerpb"
)

var _ fencedlog.HolderClient = (*Links)(nil)

// Hold implements fencedlog.HolderClient.
func (l *Links) Hold(ctx context.Context, holder, incarnation string, c fencedlog.Copy) error {
	link, err := l.Get(holder)
	if err != nil {
		return err
	}
	ctx, done := link.boundToLink(ctx)
	defer done()
	answer, err := link.client.HoldCopies(ctx, &peerpb.HoldRequest{Holder: holder, Incarnation: incarnation, Copy: encodeCopy(c)})
	if err != nil {
		return holderError(err)
	}
	switch copies.Verdict(answer.GetVerdict()) {
	case copies.Held:
		return nil
	case copies.Fenced:
		return fencedlog.ErrCopiesFenced
	case copies.Full, copies.Gap:
	}
	return Error.New("holder refused the copy: %s", answer.GetVerdict())
}

// Drop implements fencedlog.HolderClient.
func (l *Links) Drop(ctx context.Context, holder, incarnation string, commit uint64) error {
	link, err := l.Get(holder)
	if err != nil {
		return err
	}
	ctx, done := link.boundToLink(ctx)
	defer done()
	_, err = link.client.DropCopies(ctx, &peerpb.DropRequest{Holder: holder, Incarnation: incarnation, Commit: commit})
	return holderError(err)
}

// CollectAt requests the copies of the incarnation's journal from the holder at an
// address. It opens a new connection, because the holder may no longer be a
// member. It returns ErrNotHolder, or another error if the copies were not
// received completely.
func (l *Links) CollectAt(ctx context.Context, address, holder, incarnation string) ([]fencedlog.Copy, error) {
	link, err := l.dial(holder, address)
	if err != nil {
		return nil, err
	}
	defer link.close()
	stream, err := link.client.CollectCopies(ctx, &peerpb.CollectRequest{Holder: holder, Incarnation: incarnation})
	if err != nil {
		return nil, holderError(err)
	}
	var collected []fencedlog.Copy
	for {
		message, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return collected, nil
		case err != nil:
			return nil, holderError(err)
		}
		collected = append(collected, decodeCopy(message))
	}
}

// holderError converts a gRPC status of a holder into an error of this package.
func holderError(err error) error {
	if status.Code(err) == codes.NotFound {
		return fmt.Errorf("%w: %w", ErrNotHolder, err)
	}
	return Error.Wrap(err)
}

// holderStatus is the inverse of holderError.
func holderStatus(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotHolder):
		return status.Error(codes.NotFound, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}

func encodeCopy(c fencedlog.Copy) *peerpb.JournalCopy {
	return &peerpb.JournalCopy{Number: c.Number, Oldest: c.Oldest, Commit: c.Commit, Records: int32(c.Records), Body: c.Body}
}

func decodeCopy(c *peerpb.JournalCopy) fencedlog.Copy {
	return fencedlog.Copy{
		Number: c.GetNumber(), Oldest: c.GetOldest(), Commit: c.GetCommit(), Records: int(c.GetRecords()), Body: c.GetBody(),
	}
}

func (s *service) HoldCopies(ctx context.Context, request *peerpb.HoldRequest) (*peerpb.HoldAnswer, error) {
	verdict, err := s.handler.HoldCopies(ctx, request.GetHolder(), request.GetIncarnation(), decodeCopy(request.GetCopy()))
	return &peerpb.HoldAnswer{Verdict: peerpb.Verdict(verdict)}, holderStatus(err)
}

func (s *service) CollectCopies(request *peerpb.CollectRequest, stream peerpb.Peer_CollectCopiesServer) error {
	held, err := s.handler.CollectCopies(stream.Context(), request.GetHolder(), request.GetIncarnation())
	if err != nil {
		return holderStatus(err)
	}
	for _, c := range held {
		if err := stream.Send(encodeCopy(c)); err != nil {
			return err
		}
	}
	return nil
}

func (s *service) DropCopies(ctx context.Context, request *peerpb.DropRequest) (*peerpb.DropAck, error) {
	err := s.handler.DropCopies(ctx, request.GetHolder(), request.GetIncarnation(), request.GetCommit())
	return &peerpb.DropAck{}, holderStatus(err)
}
