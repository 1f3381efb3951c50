// Package quota keeps one quota of each organisation across all fronts. Each front owns
// a share of every quota. It delegates its shares to coordinators, which lease tokens to
// fronts by their demand, or spends them alone while no coordinator answers. The package
// does no I/O; the time is an argument.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Partitions is the number of parts into which organisations are divided by hash. A
	// partition belongs to one coordinator at a time.
	Partitions = 64

	// frontLease is how long a front uses tokens, from when it sent the last report that
	// was answered. It lasts for two reports that are late.
	frontLease = 700 * time.Millisecond
	// coordinatorLease is how long a coordinator counts the tokens and the share of a
	// front, from when its last report arrived. It is longer than frontLease by more than
	// clocks differ in that time.
	coordinatorLease = 900 * time.Millisecond
	// reclaimDelay is the time after the last report that delegated a share until the front
	// may use the share again: the longest time of a call, coordinatorLease, and a tenth.
	reclaimDelay = 1300 * time.Millisecond
	// startDelay is how long a front spends no share alone after its start. Its predecessor
	// may have delegated the same share, and lists of fronts differ while all start.
	startDelay = 2 * time.Second

	// unspentShare is the part of what a window allows beyond rate and burst that may lie
	// about unspent, and initialShare the part with which a pool begins. The rest is for
	// clocks that drift and for shares that change hands.
	unspentShare = 0.6
	initialShare = 0.1
	// minStockShare and maxStockShare bound the part of the capacity that may be leased in
	// advance. Between them, reservedTokens stay for fronts that have a request waiting: with
	// three quarters in advance, 72 fronts held most of what a small organisation had, and 7 in
	// 100 of its requests were refused elsewhere. With half for all, 420 fronts had to ask for 0.64
	// of the requests of large organisations, and not for 0.49.
	minStockShare, maxStockShare = 0.4, 0.75
	reservedTokens               = 18
)

// Bounds are the same for all organisations: in any Window, requests may exceed the rate
// and the burst by the fraction Overage, and by Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit bounds the requests of an organisation over all fronts. A RatePerSecond of 0
// means no limit.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// allowance returns what a window allows beyond the rate and the burst.
func (b Bounds) allowance(l Limit) float64 {
	return b.Overage*l.RatePerSecond*b.Window.Seconds() + b.Slack
}

// capacity returns how many tokens of an organisation may be unspent at all processes
// together. With less than one, no request could ever be admitted.
func (b Bounds) capacity(l Limit) float64 { return max(1, l.Burst+unspentShare*b.allowance(l)) }

// maxStock returns how many of the tokens within a capacity may be leased in advance.
func maxStock(capacity float64) float64 {
	return max(minStockShare*capacity, min(maxStockShare*capacity, capacity-reservedTokens))
}

// organisationKey identifies an organisation in messages.
func organisationKey(name string) uint64 { return xxhash.Sum64String(name) }

// partitionOf returns the partition of an organisation.
func partitionOf(key uint64) int { return int(key % Partitions) }

// tolerance is the part of a token by which the sum of many small amounts may be short
// of it.
const tolerance = 1e-6

// whole returns the number of whole tokens in an amount.
func whole(amount float64) int64 { return int64(math.Floor(max(0, amount) + tolerance)) }
