package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/papayapath/papayapath/internal/lab/figures"
)

// Report holds the results of experiments.
type Report struct{ results []figures.Result }

// New returns a report that lists results in the order given.
func New(results []figures.Result) *Report { return &Report{results: results} }

// document is the JSON encoding of a report.
type document struct {
	Runs []run `json:"runs"`
}

// run is the JSON encoding of one result. Rates are in requests per second,
// times in seconds unless the name ends in ms.
type run struct {
	Deployment      string    `json:"deployment"`
	Variant         string    `json:"variant"`
	Seed            uint64    `json:"seed"`
	Limit           int       `json:"limit"`
	Requests        int       `json:"requests"`
	SteadyGoodput   float64   `json:"before"`
	Goodput         float64   `json:"goodput"`
	RecoveryGoodput float64   `json:"after"`
	LimitShare      float64   `json:"share"`
	Recovery        float64   `json:"recovery"`
	Recovered       bool      `json:"recovered"`
	Amplification   float64   `json:"amplification"`
	WastedShare     float64   `json:"wasted"`
	Duplicates      int       `json:"duplicates"`
	Partials        int       `json:"partials"`
	Foreign         int       `json:"foreign"`
	Falsehoods      int       `json:"falsehoods"`
	Inversions      int       `json:"inversions"`
	Steady          latencies `json:"steady"`
	Disturbance     latencies `json:"disturbance"`
}

// latencies are the latency quantiles of complete responses in one phase.
type latencies struct {
	Median float64 `json:"median_ms"`
	P99    float64 `json:"p99_ms"`
}

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	d := document{Runs: []run{}}
	for _, f := range r.results {
		d.Runs = append(d.Runs, newRun(f))
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(d)
}

func newRun(f figures.Result) run {
	return run{
		Deployment: f.Deployment, Variant: f.Variant, Seed: f.Seed, Limit: f.Limit,
		Requests: f.Requests, SteadyGoodput: f.SteadyGoodput, Goodput: f.Goodput, RecoveryGoodput: f.RecoveryGoodput,
		LimitShare: f.LimitShare, Recovery: f.Recovery, Recovered: f.Recovered,
		Amplification: f.Amplification, WastedShare: f.WastedShare,
		Duplicates: f.Verdict.Duplicates, Partials: f.Verdict.Partials, Foreign: f.Verdict.Foreign,
		Falsehoods: f.Verdict.Falsehoods, Inversions: f.Verdict.Inversions,
		Steady: latencies(f.Steady), Disturbance: latencies(f.Disturbance),
	}
}

const (
	columnPadding = 2 // spaces between two columns
	percent       = 100
)

// Table writes the report as a text table with a legend.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tvariant\tbefore/s\tgoodput/s\tlimit/s\tshare\trecovery\tamplification\twasted\tduplicates\tpartials\tfalsehoods\tinversions\t")
	for _, f := range r.results {
		v := f.Verdict
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%d\t%.0f%%\t%s\t%.1f\t%.0f%%\t%d\t%d\t%d\t%d\t\n",
			f.Deployment, f.Variant, f.SteadyGoodput, f.Goodput, f.Limit, f.LimitShare*percent, formatRecovery(f), f.Amplification, f.WastedShare*percent,
			v.Duplicates, v.Partials+v.Foreign, v.Falsehoods, v.Inversions)
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, legend)
	return err
}

const legend = `before         complete responses per second before the disturbance
goodput        complete responses per second during the disturbance; share is goodput / limit
limit          capacity of the slowed bottleneck in requests per second (slots / mean run time)
recovery       time until 95% of the requests are answered within the deadline again, held for 5 s
amplification  executions on backend servers per customer request; 4 without retries or failures
wasted         fraction of executions whose customer request got no complete response
partials       responses marked complete that are incomplete or belong to another request
`

// formatRecovery returns the recovery time, or its lower bound if goodput did not
// recover.
func formatRecovery(f figures.Result) string {
	if !f.Recovered {
		return fmt.Sprintf("not in %.1f s", f.Recovery)
	}
	return fmt.Sprintf("%.1f s", f.Recovery)
}
