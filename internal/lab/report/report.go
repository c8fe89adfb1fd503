package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/papayapath/papayapath/internal/lab/figures"
)

// Report is a set of figures to show.
type Report struct{ all []figures.Result }

// New returns a report on figures, which it shows in the order given.
func New(all []figures.Result) *Report { return &Report{all: all} }

// document is the JSON form.
type document struct {
	Runs []run `json:"runs"`
}

// run is one experiment in the JSON form. Rates are in requests a second,
// times in seconds unless a name ends in ms.
type run struct {
	Deployment      string  `json:"deployment"`
	Variant         string  `json:"variant"`
	Seed            uint64  `json:"seed"`
	Limit           int     `json:"limit"`
	Requests        int     `json:"requests"`
	SteadyGoodput   float64 `json:"before"`
	Goodput         float64 `json:"goodput"`
	RecoveryGoodput float64 `json:"after"`
	LimitShare      float64 `json:"share"`
	Recovery        float64 `json:"recovery"`
	Recovered       bool    `json:"recovered"`
	Amplification   float64 `json:"amplification"`
	WastedShare     float64 `json:"wasted"`
	Duplicates      int     `json:"duplicates"`
	Partials        int     `json:"partials"`
	Foreign         int     `json:"foreign"`
	Falsehoods      int     `json:"falsehoods"`
	Inversions      int     `json:"inversions"`
	Steady          delays  `json:"steady"`
	Disturbance     delays  `json:"disturbance"`
}

// delays are the delays of whole answers in one phase.
type delays struct {
	Median float64 `json:"median_ms"`
	P99    float64 `json:"p99_ms"`
}

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	d := document{Runs: []run{}}
	for _, f := range r.all {
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
		Steady: delays(f.Steady), Disturbance: delays(f.Disturbance),
	}
}

const (
	// padding is the space between two columns of the table.
	padding = 2
	percent = 100
)

// Table writes the report for a reader at a terminal.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tvariant\tbefore/s\tgoodput/s\tlimit/s\tshare\trecovery\tamplification\twasted\tduplicates\tpartials\tfalsehoods\tinversions\t")
	for _, f := range r.all {
		v := f.Verdict
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%d\t%.0f%%\t%s\t%.1f\t%.0f%%\t%d\t%d\t%d\t%d\t\n",
			f.Deployment, f.Variant, f.SteadyGoodput, f.Goodput, f.Limit, f.LimitShare*percent, recovery(f), f.Amplification, f.WastedShare*percent,
			v.Duplicates, v.Partials+v.Foreign, v.Falsehoods, v.Inversions)
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, legend)
	return err
}

// legend explains the table.
const legend = `before         whole answers a second before the disturbance
goodput        whole answers a second during it; share is goodput / limit
limit          requests a second that the slowed bottleneck can run (slots / mean run time)
recovery       until 95% of the requests are answered in time again, held for 5 s
amplification  runs on backend servers per customer request; 4 without retries or failures
wasted         share of the runs whose request never got its whole answer
partials       answers given out as whole that were not, or that belong to others
`

// recovery returns the recovery time, or the lower bound on it.
func recovery(f figures.Result) string {
	if !f.Recovered {
		return fmt.Sprintf("not in %.1f s", f.Recovery)
	}
	return fmt.Sprintf("%.1f s", f.Recovery)
}
