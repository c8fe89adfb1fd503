package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Table writes the report as a text table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "started %s, took %v, %d cores\n\n", r.Started.Format(time.RFC3339), r.Elapsed.Round(time.Second), r.Cores)
	fmt.Fprintln(t, "quantity\tunit\tby\tsize:value\tslope\tintercept\tR²")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g:%.4g", p.Size, p.Value))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n",
			s.Name, s.Unit, s.Axis, strings.Join(points, " "), s.Fit.Slope, s.Fit.Intercept, s.Fit.R2)
	}
	fmt.Fprintln(t)
	for _, s := range r.MessageSizes {
		fmt.Fprintf(t, "%s\tB\t\t%d\n", s.Name, s.Bytes)
	}
	if r.Added != nil {
		fmt.Fprintf(t, "\nadded delay over %d calls: median %.3f ms, 99 in 100 within %.3f ms\n",
			r.Added.Calls, r.Added.Median, r.Added.P99)
	}
	return t.Flush()
}
