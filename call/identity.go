package call

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identity is a hash of the fields that later attempts at the same call are
// expected to have in common.
type Identity uint64

// Identities returns the identities of a call, the widest first. There are several
// because a client that repeats a call may keep its program or its address or its
// query, or none of them, and because only some clients' calls to a path may be
// harmful. An empty body is a body.
func (r *Request) Identities() []Identity {
	path, query, _ := strings.Cut(r.Target, "?")
	content := hashFields(nil, r.Method, r.Host, path)
	_, _ = content.Write(r.Body) // never fails
	target := hashFields(content, "query", query)
	return []Identity{
		Identity(content.Sum64()),
		Identity(target.Sum64()),
		Identity(hashFields(target, "program", r.Program, r.Session).Sum64()),
		Identity(hashFields(target, "client", r.ClientHost).Sum64()),
	}
}

// hashFields returns a hash that continues from another one, which it leaves as it
// is, with the given fields.
func hashFields(from *xxhash.Digest, fields ...string) *xxhash.Digest {
	digest := xxhash.New()
	if from != nil {
		*digest = *from
	}
	for _, field := range fields {
		_, _ = digest.WriteString("\x00" + field + "\x00") // never fails
	}
	return digest
}
