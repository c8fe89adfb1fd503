package report

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/pkg/importance"
)

const (
	plotWidth   = 14 * vg.Centimeter
	plotHeight  = 7 * vg.Centimeter
	plotPadding = 3 * vg.Millimeter
)

var disturbanceColor = color.Gray{Y: 225}

// PNG writes plots of goodput, latency and refusals over time: one column per
// deployment, with one row of refusals per variant.
func (r *Report) PNG(w io.Writer) error {
	rows, err := r.plots()
	if err != nil {
		return err
	}
	columns := 0
	for _, row := range rows {
		columns = max(columns, len(row))
	}
	canvas := vgimg.New(vg.Length(columns)*plotWidth, vg.Length(len(rows))*plotHeight)
	tiles := draw.Tiles{
		Rows: len(rows), Cols: columns,
		PadX: plotPadding, PadY: plotPadding, PadTop: plotPadding, PadBottom: plotPadding, PadLeft: plotPadding, PadRight: plotPadding,
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		for j, c := range row {
			if rows[i][j] != nil {
				rows[i][j].Draw(c)
			}
		}
	}
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return err
}

// plots returns the plots in rows of equal length. Missing plots are nil.
func (r *Report) plots() ([][]*plot.Plot, error) {
	var rows [][]*plot.Plot
	add := func(column, row int, p *plot.Plot) {
		for len(rows) <= row {
			rows = append(rows, make([]*plot.Plot, len(r.deployments())))
		}
		rows[row][column] = p
	}
	for column, name := range r.deployments() {
		results := r.resultsOf(name)
		goodput, err := goodputPlot(name, results)
		if err != nil {
			return nil, err
		}
		add(column, 0, goodput)
		latencies, err := latencyPlot(name, results)
		if err != nil {
			return nil, err
		}
		add(column, 1, latencies)
		for i, f := range results {
			refusals, err := refusalPlot(f)
			if err != nil {
				return nil, err
			}
			add(column, 2+i, refusals)
		}
	}
	return rows, nil
}

// deployments returns the names of the deployments in the order of the report.
func (r *Report) deployments() []string {
	var names []string
	seen := make(map[string]bool)
	for _, f := range r.results {
		if !seen[f.Deployment] {
			names = append(names, f.Deployment)
		}
		seen[f.Deployment] = true
	}
	return names
}

// resultsOf returns the results of a deployment.
func (r *Report) resultsOf(name string) []figures.Result {
	var matching []figures.Result
	for _, f := range r.results {
		if f.Deployment == name {
			matching = append(matching, f)
		}
	}
	return matching
}

// curve is a line of a plot, sampled at figures.SampleInterval.
type curve struct {
	name   string
	points []float64
}

func goodputPlot(name string, results []figures.Result) (*plot.Plot, error) {
	var curves []curve
	for _, f := range results {
		curves = append(curves, curve{f.Variant, movingAverage(f.Series.Goodput)})
	}
	return newPlot(name+": complete responses per second", "1/s", results[0], curves)
}

func latencyPlot(name string, results []figures.Result) (*plot.Plot, error) {
	var curves []curve
	for _, f := range results {
		curves = append(curves, curve{f.Variant, f.Series.P99})
	}
	return newPlot(name+": latency of complete responses, 99th percentile", "ms", results[0], curves)
}

func refusalPlot(f figures.Result) (*plot.Plot, error) {
	var curves []curve
	for level, points := range f.Series.Refusals {
		curves = append(curves, curve{importance.Level(level).String(), movingAverage(points)})
	}
	return newPlot(f.Deployment+", "+f.Variant+": refusals for overload per second", "1/s", f, curves)
}

// newPlot returns a plot of curves over time with the disturbance shaded.
func newPlot(title, unit string, f figures.Result, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	top := 1.0
	for _, c := range curves {
		for _, y := range c.points {
			top = max(top, y)
		}
	}
	if err := shadeDisturbance(p, f.Series.DisturbanceStart, f.Series.DisturbanceEnd, top); err != nil {
		return nil, err
	}
	for i, c := range curves {
		line, err := plotter.NewLine(points(c.points))
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	return p, nil
}

// shadeDisturbance shades the interval of the disturbance up to the value top.
func shadeDisturbance(p *plot.Plot, from, to, top float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	area.Color = disturbanceColor
	area.Width = 0
	p.Add(area)
	p.Legend.Add("disturbance", area)
	return nil
}

func points(values []float64) plotter.XYs {
	xys := make(plotter.XYs, len(values))
	for i, v := range values {
		xys[i] = plotter.XY{X: float64(i) * figures.SampleInterval.Seconds(), Y: v}
	}
	return xys
}

// smoothingWindow is the number of points in the moving average of a rate.
const smoothingWindow = 5

// movingAverage averages each value with those before it, because the variance
// of random arrivals hides the trend in single points.
func movingAverage(values []float64) []float64 {
	averages := make([]float64, len(values))
	sum := 0.0
	for i, v := range values {
		sum += v
		if i >= smoothingWindow {
			sum -= values[i-smoothingWindow]
		}
		averages[i] = sum / float64(min(i+1, smoothingWindow))
	}
	return averages
}
