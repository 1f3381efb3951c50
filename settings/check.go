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

// String returns the problem as it is shown to the operator.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %s: allowed is %s", p.Key, p.Value, p.Allowed)
}

// maxNameBytes limits names, because they become parts of keys in the platform
// store.
const maxNameBytes = 64

// checker collects the problems that its methods find.
type checker struct {
	problems []Problem
}

// Problems checks all settings and returns every one with a value that is not
// allowed.
func (s Settings) Problems() []Problem {
	var c checker
	c.name("node.id", s.Node.ID)
	c.name("node.host", s.Node.Host)
	c.name("node.availability_zone", s.Node.AvailabilityZone)
	c.name("node.region", s.Node.Region)
	checkRange(&c, "node.drain_timeout_ms", s.Node.DrainTimeoutMS, 0, 3_600_000)
	c.address("listen.http", s.Listen.HTTP, false)
	c.address("listen.grpc", s.Listen.GRPC, false)
	c.address("listen.http_advertised", s.Listen.HTTPAdvertised, true)
	c.address("listen.grpc_advertised", s.Listen.GRPCAdvertised, true)
	if s.Listen.HTTP != "" && s.Listen.HTTP == s.Listen.GRPC {
		c.reject("listen.grpc", s.Listen.GRPC, "an address other than listen.http")
	}
	c.baseURL("platform.address", s.Platform.Address)
	c.ranges(s)
	c.limits(s.Limits)
	c.oneOf("schedule.policy", s.Schedule.Policy, schedule.Policies()...)
	c.tls(s.TLS)
	if key := s.Operator.Key; key != "" {
		c.operatorKey(key)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	return c.problems
}

// ranges checks the numbers that have a lowest and a highest allowed value.
func (c *checker) ranges(s Settings) {
	checkRange(c, "platform.timeout_ms", s.Platform.TimeoutMS, 50, 30_000)
	checkRange(c, "platform.lease_ttl_ms", s.Platform.LeaseTTLMS, 1_000, 60_000)
	checkRange(c, "journal.journal_writes_per_second", s.Journal.WritesPerSecond, 1, 200)
	checkRange(c, "journal.journal_tail_records", s.Journal.TailRecords, 100, 1_000_000)
	checkRange(c, "journal.journal_tail_bytes", s.Journal.TailBytes, 1<<20, 1<<30)
	checkRange(c, "placement.shards", s.Placement.Shards, 1, 65_536)
	checkRange(c, "rings.commands", s.Rings.Commands, 16, 1<<20)
	checkRange(c, "rings.journal", s.Rings.Journal, 16, 1<<20)
	checkRange(c, "schedule.call_workers", s.Schedule.CallWorkers, 1, 16_384)
}

// limits checks the limits of the process that are set. With less memory or fewer
// descriptors than the lowest values, the node could not serve.
func (c *checker) limits(l Limits) {
	if l.MemoryMB != 0 {
		checkRange(c, "limits.memory_mb", l.MemoryMB, 48, 1<<20)
	}
	if l.Descriptors != 0 {
		checkRange(c, "limits.descriptors", l.Descriptors, 64, 1<<20)
	}
}

// reject adds a problem. allowed describes the values that are allowed.
func (c *checker) reject(key string, value any, allowed string) {
	text := fmt.Sprintf("%#v", value)
	c.problems = append(c.problems, Problem{Key: key, Value: text, Allowed: allowed})
}

// checkRange checks that low <= value <= high.
func checkRange[N cmp.Ordered](c *checker, key string, value, low, high N) {
	if value < low || value > high {
		c.reject(key, value, fmt.Sprintf("%v to %v", low, high))
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, choice := range allowed {
		if value == choice {
			return
		}
	}
	c.reject(key, value, strings.Join(allowed, ", "))
}

// name checks a name that becomes part of a key in the platform store, so it may
// hold no separator such as a slash.
func (c *checker) name(key, value string) {
	const charset = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"
	if value == "" || len(value) > maxNameBytes || strings.Trim(value, charset) != "" {
		c.reject(key, value, fmt.Sprintf("1 to %d letters, digits, _ or -", maxNameBytes))
	}
}

// address checks an IP address with a port. Other hosts cannot connect to an
// unspecified address, so an advertised one must not be 0.0.0.0 or ::.
func (c *checker) address(key, value string, advertised bool) {
	parsed, err := netip.ParseAddrPort(value)
	switch {
	case err != nil || parsed.Port() == 0:
		c.reject(key, value, "an IP address and a port from 1 to 65535")
	case advertised && parsed.Addr().IsUnspecified():
		c.reject(key, value, "an IP address that other hosts can connect to")
	}
}

// baseURL checks an HTTP or HTTPS URL without a path whose host is an IP address
// with a port.
func (c *checker) baseURL(key, value string) {
	parsed, err := url.Parse(value)
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && strings.Trim(parsed.Path, "/") == "" {
		if _, err = netip.ParseAddrPort(parsed.Host); err == nil {
			return
		}
	}
	c.reject(key, value, "http:// or https://, an IP address and a port")
}

// tls checks that either none of the TLS files is set or all of them exist.
func (c *checker) tls(t TLS) {
	files := []struct{ key, path string }{
		{"tls.certificate_file", t.CertificateFile}, {"tls.key_file", t.KeyFile}, {"tls.authority_file", t.AuthorityFile},
	}
	if t == (TLS{}) {
		return
	}
	for _, file := range files {
		if info, err := os.Stat(file.path); err != nil || !info.Mode().IsRegular() {
			c.reject(file.key, file.path, "a readable file, or all three tls settings empty")
		}
	}
}

// operatorKey checks the operators' key. The problem does not hold the value,
// because problems are logged.
func (c *checker) operatorKey(key string) {
	if len(key) < 16 || len(key) > 256 || strings.ContainsAny(key, " \t\r\n") {
		c.problems = append(c.problems, Problem{
			Key: "operator.key", Value: "(not shown)", Allowed: "empty, or 16 to 256 bytes without spaces",
		})
	}
}
