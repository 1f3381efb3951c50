package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"dogwoodline.example/schedule"
)

// Problem is a setting with a value that is not allowed.
type Problem struct {
	Key     string
	Value   string
	Allowed string
}

// String returns the problem for people.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %s: allowed is %s", p.Key, p.Value, p.Allowed)
}

// maxIDBytes bounds names, which become parts of keys in the platform store.
const maxIDBytes = 64

type checker struct {
	problems []Problem
}

// Problems returns everything that is wrong with the settings.
func (s Settings) Problems() []Problem {
	var c checker
	c.name("node.id", s.Node.ID)
	c.name("node.host", s.Node.Host)
	c.name("node.availability_zone", s.Node.AvailabilityZone)
	c.name("node.region", s.Node.Region)
	between(&c, "node.drain_timeout_ms", s.Node.DrainTimeoutMS, 0, 3_600_000)
	c.address("listen.http", s.Listen.HTTP, false)
	c.address("listen.grpc", s.Listen.GRPC, false)
	c.address("listen.http_advertised", s.Listen.HTTPAdvertised, true)
	c.address("listen.grpc_advertised", s.Listen.GRPCAdvertised, true)
	if s.Listen.HTTP != "" && s.Listen.HTTP == s.Listen.GRPC {
		c.refuse("listen.grpc", s.Listen.GRPC, "an address other than listen.http")
	}
	c.baseURL("platform.address", s.Platform.Address)
	c.numbers(s)
	c.oneOf("schedule.policy", s.Schedule.Policy, schedule.Policies()...)
	c.tls(s.TLS)
	if key := s.Operator.Key; key != "" {
		c.operatorKey(key)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	return c.problems
}

func (c *checker) numbers(s Settings) {
	between(c, "platform.timeout_ms", s.Platform.TimeoutMS, 50, 30_000)
	between(c, "platform.lease_ttl_ms", s.Platform.LeaseTTLMS, 1_000, 60_000)
	between(c, "journal.journal_writes_per_second", s.Journal.WritesPerSecond, 1, 200)
	between(c, "journal.journal_tail_records", s.Journal.TailRecords, 100, 1_000_000)
	between(c, "journal.journal_tail_bytes", s.Journal.TailBytes, 1<<20, 1<<30)
	between(c, "placement.shards", s.Placement.Shards, 1, 65_536)
	between(c, "rings.commands", s.Rings.Commands, 16, 1<<20)
	between(c, "rings.journal", s.Rings.Journal, 16, 1<<20)
	between(c, "schedule.call_workers", s.Schedule.CallWorkers, 1, 16_384)
}

func (c *checker) refuse(key string, value any, allowed string) {
	text := fmt.Sprintf("%#v", value)
	c.problems = append(c.problems, Problem{Key: key, Value: text, Allowed: allowed})
}

func between[N cmp.Ordered](c *checker, key string, value, low, high N) {
	if value < low || value > high {
		c.refuse(key, value, fmt.Sprintf("%v to %v", low, high))
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, one := range allowed {
		if value == one {
			return
		}
	}
	c.refuse(key, value, strings.Join(allowed, ", "))
}

func (c *checker) name(key, value string) {
	const charset = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"
	if value == "" || len(value) > maxIDBytes || strings.Trim(value, charset) != "" {
		c.refuse(key, value, fmt.Sprintf("1 to %d letters, digits, _ or -", maxIDBytes))
	}
}

// address checks an IP number with a port. Others cannot connect to an
// unspecified address, so an advertised one must not be 0.0.0.0 or ::.
func (c *checker) address(key, value string, advertised bool) {
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || parsed.Port() == 0:
		c.refuse(key, value, "an IP number and a port from 1 to 65535")
	case advertised && parsed.Addr().IsUnspecified():
		c.refuse(key, value, "an IP number that other hosts can connect to")
	}
}

func (c *checker) baseURL(key, value string) {
	parsed, err := url.Parse(value)
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && strings.Trim(parsed.Path, "/") == "" {
		if _, err = netip.ParseAddrPort(parsed.Host); err == nil {
			return
		}
	}
	c.refuse(key, value, "http:// or https://, an IP number and a port")
}

func (c *checker) tls(t TLS) {
	files := []struct{ key, path string }{
		{"tls.certificate_file", t.CertificateFile}, {"tls.key_file", t.KeyFile}, {"tls.authority_file", t.AuthorityFile},
	}
	if t == (TLS{}) {
		return
	}
	for _, file := range files {
		if info, err := os.Stat(file.path); err != nil || !info.Mode().IsRegular() {
			c.refuse(file.key, file.path, "a readable file, or all three tls settings empty")
		}
	}
}

// operatorKey does not repeat the value, because problems are logged.
func (c *checker) operatorKey(key string) {
	if len(key) < 16 || len(key) > 256 || strings.ContainsAny(key, " \t\r\n") {
		c.problems = append(c.problems, Problem{
			Key: "operator.key", Value: "(not shown)", Allowed: "empty, or 16 to 256 bytes without spaces",
		})
	}
}
