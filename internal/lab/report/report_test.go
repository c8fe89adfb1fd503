package report_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/report"
)

func newResult(deployment, variant string, recovered bool) figures.Result {
	f := figures.Result{
		Deployment: deployment, Variant: variant, Limit: 200, Goodput: 190, LimitShare: 0.95,
		Recovery: 1.5, Recovered: recovered, Amplification: 4, WastedShare: 0.25,
		Verdict: checker.Verdict{Duplicates: 1, Partials: 2, Foreign: 3, Falsehoods: 4, Inversions: 5},
		Series:  figures.Series{Goodput: make([]float64, 20), P99: make([]float64, 20), DisturbanceStart: 0.5, DisturbanceEnd: 1},
	}
	for i := range f.Series.Refusals {
		f.Series.Refusals[i] = make([]float64, 20)
	}
	return f
}

// Guards against JSON output that lacks a metric of section 11 of the design.
func TestJSON(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, report.New([]figures.Result{newResult("regie", "naive", true)}).JSON(&b))
	var d struct{ Runs []map[string]any }
	require.NoError(t, json.Unmarshal(b.Bytes(), &d))
	require.Len(t, d.Runs, 1)
	for name, want := range map[string]any{
		"deployment": "regie", "variant": "naive", "goodput": 190.0, "share": 0.95, "recovery": 1.5,
		"amplification": 4.0, "wasted": 0.25, "duplicates": 1.0, "partials": 2.0, "falsehoods": 4.0, "inversions": 5.0,
	} {
		require.Equal(t, want, d.Runs[0][name], name)
	}
}

// Guards against a table that shows the lower bound of an unfinished recovery as
// a measured recovery time.
func TestTable(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, report.New([]figures.Result{
		newResult("regie", "naive", false), newResult("regie", "other", true),
	}).Table(&b))
	require.Regexp(t, `regie +naive +0 +190 +200 +95% +not in 1\.5 s +4\.0 +25% +1 +5 +4 +5`, b.String())
	require.Regexp(t, `regie +other +0 +190 +200 +95% +1\.5 s`, b.String())
}

// Guards against plots that fail to render or lack a part: one column per
// deployment, and rows for goodput, latency and the refusals of each variant.
func TestPNG(t *testing.T) {
	size := func(results ...figures.Result) (width, height int) {
		var b bytes.Buffer
		require.NoError(t, report.New(results).PNG(&b))
		img, err := png.Decode(&b)
		require.NoError(t, err)
		return img.Bounds().Dx(), img.Bounds().Dy()
	}
	width, height := size(newResult("regie", "naive", true))
	twoColumns, fourRows := size(newResult("regie", "naive", true), newResult("regie", "other", true), newResult("nilegear", "naive", true))
	require.InDelta(t, 2*width, twoColumns, 2)
	require.InDelta(t, 4*height/3, fourRows, 2)
}
