package usersplatform

import (
	"context"
	"encoding/json"
	"fmt"
)

// SiteHost is the HTTP host name of all routes in the stand-in's configuration.
const SiteHost = "site.example"

// ResumableTurnsPath is the path of the route whose turns are kept and whose streams
// may be resumed.
const ResumableTurnsPath = "/resumable-turns/"

// FragileService is the service of the FragileBackends.
const FragileService = "fragile"

// FirstConfigVersion is the version of the configuration that Configure writes.
const FirstConfigVersion = 3

// Organisation is an entry of the configuration's list of organisations.
type Organisation struct {
	Name     string
	Keys     []string `json:"ApiKeys"`
	Priority int
	RatePerS float64
	Burst    float64
}

// Configure registers the backend server at the address and writes a
// configuration that routes the paths /turns/, ResumableTurnsPath and /calls/ to its
// service, the path /fragile/ to FragileService, StreamPath to StreamService and
// WorkPath to WorkService.
func (s *Store) Configure(ctx context.Context, b *Backend, address string) error {
	err := s.Put(ctx, "servers/"+b.ID, map[string]any{
		"Service": "llm", "Version": "v1", "Address": address, "Zone": "a", "Slots": 8, "State": "ready",
	})
	if err != nil {
		return err
	}
	return s.PutConfig(ctx, FirstConfigVersion, nil)
}

// configFormat is the configuration. Its arguments are the version, what is added to the
// routes that need no key, and the list of organisations.
const configFormat = `{"Version":%[1]d,"Routes":[
	{"Name":"turns","Host":"site.example","PathPrefix":"/turns/","Kind":"streaming","TimeoutMs":5000,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60},
	{"Name":"resumable-turns","Host":"site.example","PathPrefix":"/resumable-turns/","Kind":"streaming","TimeoutMs":5000,"Service":"llm","Attempts":1,"Retain":true,"RetentionS":60,"Resumable":true},
	{"Name":"calls","Host":"site.example","PathPrefix":"/calls/","Kind":"unsafe","TimeoutMs":5000,"Service":"llm"},
	{"Name":"streams","Host":"site.example","PathPrefix":"/streams/","Kind":"streaming","TimeoutMs":5000,"Service":"streams","Attempts":1,"Resumable":true%[2]s},
	{"Name":"work","Host":"site.example","PathPrefix":"/work/","Kind":"unsafe","TimeoutMs":6000,"Service":"work"%[2]s},
	{"Name":"fragile","Host":"site.example","PathPrefix":"/fragile/","Kind":"safe","TimeoutMs":1500,"Service":"fragile","Attempts":1%[2]s}],
	"Services":[{"Name":"llm","MaxConns":50,"Engine":{"Slots":8,"TokensPerEvent":5}},{"Name":"fragile","MaxConns":50},{"Name":"streams","MaxConns":50},{"Name":"work","MaxConns":100}],
	"Limits":{"MaxBodyBytes":100000}%[3]s}`

// PutConfig writes a version of the configuration. With organisations, the routes of
// Backend need a key and all others are public.
func (s *Store) PutConfig(ctx context.Context, version int64, organisations []Organisation) error {
	public, tenants := "", ""
	if len(organisations) > 0 {
		list, err := json.Marshal(organisations)
		if err != nil {
			return err
		}
		public, tenants = `,"Public":true`, `,"Tenants":`+string(list)
	}
	return s.Put(ctx, "op/config", json.RawMessage(fmt.Sprintf(configFormat, version, public, tenants)))
}
