package coordination

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "dogwoodline.example/coordination/coordinationpb"
)

// Report implements coordinationpb.CoordinationServer.
func (e *Exchange) Report(ctx context.Context, in *pb.ReportRequest) (*pb.ReportReply, error) {
	reply := make(chan *pb.ReportReply, 1)
	if e.messages.TryPush(message{report: &incoming{ctx: ctx, request: in, reply: reply}}) != nil {
		return nil, status.Error(codes.ResourceExhausted, "too many fronts report")
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// call sends reports until ctx ends.
func (e *Exchange) call(ctx context.Context) error {
	for {
		o, err := e.calls.Pop(ctx)
		if err != nil {
			return err
		}
		r := result{link: o.link}
		r.reply, r.err = callOnce(ctx, o)
		if err := e.messages.Push(ctx, message{result: &r}); err != nil {
			return err
		}
	}
}

func callOnce(ctx context.Context, o outgoing) (*pb.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	start := time.Now()
	reply, err := o.client.Report(ctx, o.request)
	if err != nil {
		return nil, Error.New("no answer after %s: %v", time.Since(start).Round(time.Millisecond), err)
	}
	return reply, nil
}
