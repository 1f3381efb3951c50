package limiter

import (
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodline.example/quota"
	"dogwoodline.example/quota/quotapb"
)

func encodeReport(r quota.Report) []byte {
	message := &quotapb.Report{Epoch: r.Epoch, Number: r.Number, Delegated: r.Delegated, Share: r.Share}
	for _, u := range r.Uses {
		message.Uses = append(message.Uses, &quotapb.Use{
			Organisation: u.Organisation, Spent: u.Spent, Returned: u.Returned, GivenBack: u.GivenBack, Wanted: u.Wanted, Waiting: u.Waiting, Final: u.Final,
			Starting: u.Starting, Started: u.Started,
		})
	}
	return encode(message)
}

// decodeReport decodes the report of another front. Amounts below zero, which no front
// sends, would create tokens; the report is then not valid.
func decodeReport(payload []byte) (quota.Report, bool) {
	var message quotapb.Report
	if proto.Unmarshal(payload, &message) != nil || !(message.Share >= 0 && message.Share <= 1) {
		return quota.Report{}, false
	}
	report := quota.Report{Epoch: message.Epoch, Number: message.Number, Delegated: message.Delegated, Share: message.Share}
	for _, u := range message.Uses {
		if min(u.Spent, u.Returned, u.GivenBack, u.Wanted, u.Waiting, u.Starting, u.Started) < 0 {
			return quota.Report{}, false
		}
		report.Uses = append(report.Uses, quota.Use{
			Organisation: u.Organisation, Spent: u.Spent, Returned: u.Returned, GivenBack: u.GivenBack, Wanted: u.Wanted, Waiting: u.Waiting, Final: u.Final,
			Starting: u.Starting, Started: u.Started,
		})
	}
	return report, true
}

func encodeReply(r quota.Reply) []byte {
	message := &quotapb.Reply{Number: r.Number}
	for _, g := range r.Grants {
		message.Grants = append(message.Grants, &quotapb.Grant{
			Organisation: g.Organisation, Tokens: g.Tokens, NextUs: g.Next.Microseconds(), Rate: float32(g.Rate), Unknown: g.Unknown,
			Starts: g.Starts, NextStartUs: g.NextStart.Microseconds(),
		})
	}
	return encode(message)
}

func decodeReply(payload []byte) (quota.Reply, bool) {
	var message quotapb.Reply
	if proto.Unmarshal(payload, &message) != nil {
		return quota.Reply{}, false
	}
	reply := quota.Reply{Number: message.Number}
	for _, g := range message.Grants {
		reply.Grants = append(reply.Grants, quota.Grant{
			Organisation: g.Organisation, Tokens: max(0, g.Tokens), Next: time.Duration(max(0, g.NextUs)) * time.Microsecond,
			Rate: max(0, float64(g.Rate)), Unknown: g.Unknown,
			Starts: max(0, g.Starts), NextStart: time.Duration(max(0, g.NextStartUs)) * time.Microsecond,
		})
	}
	return reply, true
}

func encode(message proto.Message) []byte {
	payload, err := proto.Marshal(message)
	if err != nil {
		panic("quota: cannot encode a message: " + err.Error())
	}
	return payload
}
