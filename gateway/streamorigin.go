package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodline.example/fleet"
	"dogwoodline.example/route"
	"dogwoodline.example/turnstore"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// originKeyPrefix begins the keys of the facts about streams. The ID of the
	// attempt that began the stream follows.
	originKeyPrefix = "stream/"
	// turnOriginKeyPrefix takes its place for turns that are kept. Fronts of earlier
	// releases do not find these: they would store such a turn in part.
	turnOriginKeyPrefix = "turn-stream/"
	// originRetention is how long the origin of a stream is kept beyond the time
	// that its first client waits. It covers the difference between the clocks of
	// hosts, and clients that take a stream up late.
	originRetention = 10 * time.Second
	// originTimeout bounds how long the first event of a stream waits for its origin
	// to be stored.
	originTimeout = time.Second
	// originRetryDelay is the pause before an origin that was not stored is sent
	// again.
	originRetryDelay = 20 * time.Millisecond
	// retryAfterUnknownStream is the Retry-After of a client that takes up a stream
	// whose origin is not known. No front will know it later.
	retryAfterUnknownStream = 100 * time.Millisecond
)

// streamOrigin says which backend servers may send the rest of a stream: those of
// the service and software version that began it. What two versions write does not
// fit together, and backend servers do not check it.
type streamOrigin struct{ service, version string }

func originOf(b fleet.Backend) streamOrigin {
	return streamOrigin{service: b.Service, version: b.SoftwareVersion}
}

// originKey returns the key of the fact about the stream that an attempt begins.
func originKey(r *route.Route, attempt string) string {
	if r.RetainTurns {
		return turnOriginKeyPrefix + attempt
	}
	return originKeyPrefix + attempt
}

// originFact returns the fact that another front needs to resume the stream that the
// call begins. A later fact of the same attempt has a higher version.
func originFact(j *job, origin streamOrigin, version uint64) turnstore.Fact {
	value := &turnpb.StreamOrigin{Service: origin.service, SoftwareVersion: origin.version, Organisation: j.request.Organisation}
	if j.pieces != nil {
		value.Attempt = j.pieces.attempt
	}
	return turnstore.Fact{Key: originKey(j.route, j.request.ID), Version: version, Value: encodeOrigin(value), Expires: j.deadline.Add(originRetention)}
}

func encodeOrigin(origin *turnpb.StreamOrigin) []byte {
	value, err := proto.Marshal(origin)
	if err != nil {
		panic("gateway: cannot encode the origin of a stream: " + err.Error())
	}
	return value
}

// decodeOrigin returns the origin that a fact states. It reports false if the
// origin is not known.
func decodeOrigin(fact turnstore.Fact) (*turnpb.StreamOrigin, bool) {
	origin := &turnpb.StreamOrigin{}
	if fact.Version == 0 || proto.Unmarshal(fact.Value, origin) != nil || origin.Service == "" {
		return nil, false
	}
	return origin, true
}

// originRecord is the origin of a stream that is being stored, or was.
type originRecord struct {
	origin  streamOrigin
	version uint64 // of the fact
	done    <-chan turnstore.Result
	stored  bool
}

// recordOrigin starts to store the origin of the stream that the attempt may begin.
// It does so when the call is sent, so that the first event seldom has to wait.
func (c *callWorker) recordOrigin(a attempt) {
	j := a.job
	origin := originOf(a.backend)
	if !j.route.Resumable || j.origin != nil || j.originRecord.version > 0 && j.originRecord.origin == origin {
		return
	}
	j.originRecord = originRecord{origin: origin, version: j.originRecord.version + 1}
	j.originRecord.done = c.storeOrigin(j)
}

func (c *callWorker) storeOrigin(j *job) <-chan turnstore.Result {
	fact := originFact(j, j.originRecord.origin, j.originRecord.version)
	return c.turnStore.Start(turnstore.Operation{Records: []*turnpb.Record{fact.Record()}})
}

// bindToOrigin makes the rest of the stream stay at its software version. It is
// called before the first event is forwarded, and waits until the origin is stored,
// so that a front that takes the stream up finds it. If the origin cannot be
// stored, the stream begins all the same, because whoever takes it up is refused;
// but not if the stores may know another origin of this attempt, which would send
// the rest of the stream there.
func (c *callWorker) bindToOrigin(a attempt) bool {
	j := a.job
	if !j.route.Resumable || j.origin != nil {
		return true
	}
	record := &j.originRecord
	limit := time.NewTimer(originTimeout)
	defer limit.Stop()
	for !record.stored {
		select {
		case result := <-record.done:
			record.stored = result.Verdict == turnstore.Stored
			switch {
			case record.stored:
			case !sleep(j.ctx, originRetryDelay):
				return false
			default:
				record.done = c.storeOrigin(j)
			}
		case <-limit.C:
			c.log.Warn("gateway: origin of stream not stored", "request", j.request.ID, "backend", a.backend.ID,
				"software", record.origin.version, "fact_version", record.version)
			if record.version > 1 {
				return false
			}
			j.origin = &record.origin
			return true
		case <-j.ctx.Done():
			return false
		}
	}
	j.origin = &record.origin
	return true
}
