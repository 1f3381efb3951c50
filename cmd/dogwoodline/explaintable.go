package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"dogwoodline.example/explain"
)

// printExplainTable prints the table of all requests in logs.
func printExplainTable(out *console, logs []string, asJSON bool) error {
	if slices.Contains(logs, "-") {
		return errs.Combine(errUsage, errors.New("--table reads its logs twice, which standard input does not allow"))
	}
	builder := explain.NewTableBuilder()
	for _, name := range logs {
		if err := readFile(name, builder.Survey); err != nil {
			return errs.Combine(errUsage, err)
		}
	}
	for _, name := range logs {
		if err := readFile(name, builder.Read); err != nil {
			return errs.Combine(errUsage, err)
		}
	}
	table := builder.Table()
	if asJSON {
		encoder := json.NewEncoder(out.stdout)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(table)
	}
	printTable(out, endRows(table.Rows)...)
	out.printf("\n")
	printTable(out, refusalRows(table.Rows)...)
	out.printf("\n")
	printTable(out, callRows(table.Rows)...)
	if len(table.OtherReasons) > 0 {
		out.printf("\n")
		printTable(out, reasonRows(table.OtherReasons)...)
	}
	out.printf("\n%d lines counted, from %s to %s; %d organisations.\n", table.CountedLines, table.From.Format(time.RFC3339), table.To.Format(time.RFC3339), table.Organisations)
	if table.OmittedLines > 0 {
		out.printf("%d lines of all messages were left out of the logs when they were written, so counts are too small, and shares are estimates.\n", table.OmittedLines)
	}
	if table.Unreadable > 0 {
		out.printf("%d lines could not be read.\n", table.Unreadable)
	}
	return nil
}

// rowName returns the columns that name a row.
func rowName(r explain.Row) []string {
	if r.Organisation != "" {
		return []string{"organisation " + r.Organisation, "-"}
	}
	priority := "-"
	if r.Priority != nil {
		priority = fmt.Sprint(*r.Priority)
	}
	return []string{r.Route, priority}
}

// tableRows returns a header and the columns of each row.
func tableRows(rows []explain.Row, header string, columns func(explain.Row) []any) [][]string {
	lines := [][]string{append([]string{"ROUTE", "PRIORITY"}, strings.Fields(header)...)}
	for _, r := range rows {
		line := rowName(r)
		for _, value := range columns(r) {
			line = append(line, fmt.Sprint(value))
		}
		lines = append(lines, line)
	}
	return lines
}

func endRows(rows []explain.Row) [][]string {
	return tableRows(rows, "REQUESTS ANSWERED REFUSED FAILED CUT-OFF CLIENT-LEFT WAITED MEDIAN-MS P99-MS", func(r explain.Row) []any {
		return []any{r.Requests, r.Answered, r.Refused.Sum(), r.Failed, r.CutOff, r.ClientLeft, r.Waited.Count, r.Waited.MedianMs, r.Waited.P99Ms}
	})
}

func refusalRows(rows []explain.Row) [][]string {
	header := "OVER-QUOTA SERVERS-FULL NO-SLOT-IN-TIME STORES-FULL NAMED-LIMITS OTHER PROGRAMS-STARTED PROGRAMS-REFUSED RETRIES-OTHER RETRIES-SAME"
	return tableRows(rows, header, func(r explain.Row) []any {
		f := r.Refused
		return []any{f.OverQuota, f.ServersFull, f.NoSlotInTime, f.StoresNearlyFull, f.NamedLimits, f.Other, r.ProgramsStarted, r.ProgramsRefused, r.RetriesOther, r.RetriesSame}
	})
}

func reasonRows(reasons []explain.Reason) [][]string {
	lines := [][]string{{"OTHER REFUSALS", "STATUS", "REASON"}}
	for _, r := range reasons {
		lines = append(lines, []string{fmt.Sprint(r.Count), fmt.Sprint(r.Status), r.Reason})
	}
	return lines
}

func callRows(rows []explain.Row) [][]string {
	lines := [][]string{{"ROUTE", "PRIORITY", "KIND", "CALLS", "OWN-ZONE", "OTHER-ZONE", "SERVERS", "CHOICES", "BUSIEST/MEAN", "BUSIEST", "ZONES"}}
	for _, r := range rows {
		for _, c := range r.Calls {
			lines = append(lines, append(rowName(r), c.Kind, fmt.Sprint(c.Calls), fmt.Sprint(c.OwnZone), fmt.Sprint(c.OtherZone),
				fmt.Sprint(c.Servers), fmt.Sprint(c.Choices), fmt.Sprintf("%.2f", c.Busiest), c.BusiestID, zoneList(c.Zones)))
		}
	}
	return lines
}

// zoneList returns the calls of each zone, by its name.
func zoneList(zones map[string]int64) string {
	var list []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list = append(list, fmt.Sprintf("%s:%d", zone, zones[zone]))
	}
	return strings.Join(list, " ")
}
