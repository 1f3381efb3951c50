package load

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// WriteHTML writes a report that loads no other resources. It has one plot of
// the quantiles per scenario, the comparison with the performance targets, and a
// table of all runs.
func WriteHTML(w io.Writer, title string, results []Result) error {
	data := struct {
		Title   string
		Plots   []template.HTML
		Targets []ObjectiveResult
		Results []Result
	}{Title: title, Targets: CompareObjectives(results), Results: results}
	for _, scenario := range scenarioNames(results) {
		data.Plots = append(data.Plots, template.HTML(plot(scenario, results)))
	}
	return Error.Wrap(reportTemplate.Execute(w, data))
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .6em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.missed{color:#b00}svg{margin:0 2em 1em 0}</style>
<h1>{{.Title}}</h1>
{{range .Plots}}{{.}}{{end}}
<h2>Targets</h2><table><tr><th>measure<th>policy<th>seed<th>value<th>target</tr>
{{range .Targets}}<tr{{if not .Met}} class="missed"{{end}}><td>{{.Measure}}<td>{{.Policy}}<td>{{.Seed}}<td>{{printf "%.3f" .Value}}<td>{{printf "%.2f" .Limit}}</tr>
{{end}}</table>
<h2>Runs</h2><table><tr><th>scenario<th>policy<th>nodes<th>seed<th>programs<th>refused<th>failed<th>p50 ms<th>p95 ms<th>p99 ms<th>goodput<th>recomputed tokens<th>hedges<th>time scale</tr>
{{range .Results}}<tr><td>{{.Scenario}}<td>{{.Policy}}<td>{{.Nodes}}<td>{{.Seed}}<td>{{.Programs}}<td>{{.Refused}}<td>{{.Failed}}<td>{{printf "%.0f" .P50MS}}<td>{{printf "%.0f" .P95MS}}<td>{{printf "%.0f" .P99MS}}<td>{{printf "%.2f" .Goodput}}<td>{{.RecomputedTokens}}<td>{{.Hedges}}<td>{{printf "%.4f" .TimeScale}}</tr>
{{end}}</table>
`))

// scenarioNames returns the names of the scenarios in the order of their first
// result.
func scenarioNames(results []Result) []string {
	var names []string
	seen := map[string]bool{}
	for i := range results {
		if name := results[i].Scenario; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}

const (
	plotWidth  = 460 // of the longest bar; the labels are to the left of it
	rowHeight  = 18
	labelWidth = 170
)

// plot returns an SVG drawing with one row per run of the scenario, which shows
// the p50, p95 and p99 as bars over each other.
func plot(scenario string, results []Result) string {
	var rows []Result
	maxP99MS := 1.0
	for i := range results {
		if results[i].Scenario == scenario {
			rows = append(rows, results[i])
			maxP99MS = max(maxP99MS, results[i].P99MS)
		}
	}
	var b strings.Builder
	height := rowHeight * (len(rows) + 2)
	fmt.Fprintf(&b, `<svg width="%d" height="%d" font-size="11" font-family="sans-serif">`, plotWidth+labelWidth, height)
	fmt.Fprintf(&b, `<text x="0" y="13" font-weight="bold">%s: p50, p95, p99 up to %.1f s</text>`, template.HTMLEscapeString(scenario), maxP99MS/1000)
	for i := range rows {
		r, y := &rows[i], rowHeight*(i+1)+6
		fmt.Fprintf(&b, `<text x="0" y="%d">%s, %d</text>`, y+10, template.HTMLEscapeString(r.Policy), r.Seed)
		for _, bar := range []struct {
			ms    float64
			color string
		}{{r.P99MS, "#cde"}, {r.P95MS, "#8ac"}, {r.P50MS, "#247"}} {
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%.1f" height="12" fill="%s"/>`, labelWidth, y, bar.ms/maxP99MS*plotWidth, bar.color)
		}
	}
	b.WriteString(`</svg>`)
	return b.String()
}
