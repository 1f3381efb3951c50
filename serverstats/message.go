package serverstats

import (
	"math"

	"google.golang.org/protobuf/proto"

	pb "dogwoodline.example/serverstats/serverstatspb"
)

// hundredths is the unit of fractions in messages.
const hundredths = 100

func toHundredths(value float64) uint32 {
	return uint32(math.Round(min(math.MaxInt32/hundredths, max(0, value)) * hundredths))
}

func fromHundredths(value uint32) float64 { return float64(value) / hundredths }

func toCount(value int) uint32 { return uint32(min(math.MaxInt32, max(0, value))) }

// EncodeReports returns the message of a front in a zone.
func EncodeReports(zone string, reports []Report) []byte {
	out := &pb.Report{Zone: zone}
	for _, r := range reports {
		r.Limit()
		service := &pb.ServiceReport{Service: r.Service, Running: toCount(r.Running), Waiting: toCount(r.Waiting), Demand: toHundredths(r.Demand)}
		for _, s := range r.Servers {
			service.Servers = append(service.Servers, s.Key)
			service.Load = append(service.Load, toHundredths(s.Load))
			service.Ended = append(service.Ended, toCount(s.Ended))
			service.Failed = append(service.Failed, toCount(s.Failed))
			service.Slowness = append(service.Slowness, toHundredths(s.Slowness))
		}
		out.Services = append(out.Services, service)
	}
	return marshal(out)
}

// DecodeReports returns the reports of a message. It reports false if it is malformed.
func DecodeReports(payload []byte) (zone string, reports []Report, ok bool) {
	in := &pb.Report{}
	if proto.Unmarshal(payload, in) != nil {
		return "", nil, false
	}
	for _, s := range in.Services {
		r := Report{Service: s.Service, Running: int(s.Running), Waiting: int(s.Waiting), Demand: fromHundredths(s.Demand)}
		count := len(s.Servers)
		if len(s.Load) != count || len(s.Ended) != count || len(s.Failed) != count || len(s.Slowness) != count {
			return "", nil, false
		}
		for i, key := range s.Servers {
			r.Servers = append(r.Servers, Server{Key: key, Load: fromHundredths(s.Load[i]), Ended: int(s.Ended[i]), Failed: int(s.Failed[i]),
				Slowness: fromHundredths(s.Slowness[i])})
		}
		reports = append(reports, r)
	}
	return in.Zone, reports, true
}

// EncodeTables returns the message of a coordinator.
func EncodeTables(tables []Table) []byte {
	out := &pb.Table{}
	for _, t := range tables {
		service := &pb.ServiceTable{Service: t.Service, Fronts: toCount(t.Fronts), Running: toCount(t.Running), Waiting: toCount(t.Waiting),
			RestLoad: toHundredths(t.Rest.Load)}
		for key, s := range t.Servers {
			service.Servers = append(service.Servers, key)
			service.Load = append(service.Load, toHundredths(s.Load))
			service.Slowness = append(service.Slowness, toHundredths(s.Slowness))
			service.FailureRate = append(service.FailureRate, toHundredths(s.FailureRate))
		}
		for zone, demand := range t.ZoneDemand {
			service.Zones = append(service.Zones, &pb.ZoneDemand{Zone: zone, Demand: toHundredths(demand)})
		}
		out.Services = append(out.Services, service)
	}
	return marshal(out)
}

// DecodeTables returns the tables of a message. It reports false if it is malformed.
func DecodeTables(payload []byte) ([]Table, bool) {
	in := &pb.Table{}
	if proto.Unmarshal(payload, in) != nil {
		return nil, false
	}
	var tables []Table
	for _, s := range in.Services {
		count := len(s.Servers)
		if len(s.Load) != count || len(s.Slowness) != count || len(s.FailureRate) != count {
			return nil, false
		}
		t := Table{Service: s.Service, Fronts: int(s.Fronts), Running: int(s.Running), Waiting: int(s.Waiting),
			Rest: Known{Load: fromHundredths(s.RestLoad)}, Servers: map[uint32]Known{}, ZoneDemand: map[string]float64{}}
		for i, key := range s.Servers {
			t.Servers[key] = Known{Load: fromHundredths(s.Load[i]), Slowness: fromHundredths(s.Slowness[i]), FailureRate: fromHundredths(s.FailureRate[i])}
		}
		for _, z := range s.Zones {
			t.ZoneDemand[z.Zone] = fromHundredths(z.Demand)
		}
		tables = append(tables, t)
	}
	return tables, true
}

func marshal(message proto.Message) []byte {
	payload, err := proto.Marshal(message)
	if err != nil {
		panic("serverstats: cannot encode a message: " + err.Error())
	}
	return payload
}
