package turnstore

import (
	"context"
	"time"

	"dogwoodline.example/ring"
	"dogwoodline.example/turnstore/turnpb"
)

const (
	// maxReportBatch is how many crashes one operation stores at most.
	maxReportBatch = 64
	// reportTimeout bounds one attempt to store crashes, and reportRetryDelay is the
	// pause before the next one.
	reportTimeout    = time.Second
	reportRetryDelay = 200 * time.Millisecond
)

// ReportCrash tells other front servers, through the stores, that a call ended a
// backend server. The stores keep the report until it expires. It reports false if
// the queue is full.
func (c *Client) ReportCrash(crash Crash) bool { return c.toReport.TryPush(crash) == nil }

// Crashes returns the queue of crashes that front servers have reported,
// including this one.
func (c *Client) Crashes() *ring.Ring[Crash] { return c.crashes }

// Announced returns the queue of the facts that front servers have announced,
// including this one. A fact may come several times, and an older version later.
func (c *Client) Announced() *ring.Ring[Fact] { return c.announced }

// runCrashReporter is the goroutine that stores crashes, in the order of their
// reports, each until a majority of the stores has it.
func (c *Client) runCrashReporter(ctx context.Context) error {
	var batch []Crash
	for {
		batch = c.toReport.PopBatch(batch[:0], maxReportBatch)
		if len(batch) == 0 {
			select {
			case <-c.toReport.Ready():
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		records := make([]*turnpb.Record, 0, len(batch))
		for _, crash := range batch {
			records = append(records, encodeCrash(crash))
		}
		if err := c.storeCrashes(ctx, records, batch[len(batch)-1].Expires); err != nil {
			return err
		}
	}
}

// storeCrashes stores records until a majority has them or they expire.
func (c *Client) storeCrashes(ctx context.Context, records []*turnpb.Record, expires time.Time) error {
	for time.Now().Before(expires) {
		tryCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		result := c.Do(tryCtx, Operation{Records: records})
		cancel()
		if result.Verdict == Stored {
			return nil
		}
		select {
		case <-time.After(reportRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	c.log.Warn("turnstore: crash reports not stored before they expired", "reports", len(records))
	return nil
}
