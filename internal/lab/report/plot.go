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
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// padShare is the space around plots.
	padShare = 3 * vg.Millimeter
)

// shade marks the time of the disturbance.
var shade = color.Gray{Y: 225}

// PNG writes plots of goodput, delays and refusals over time: one column for
// each deployment, with one row of refusals for each variant.
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
		PadX: padShare, PadY: padShare, PadTop: padShare, PadBottom: padShare, PadLeft: padShare, PadRight: padShare,
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

// plots returns the plots in rows. All rows have the same length.
func (r *Report) plots() ([][]*plot.Plot, error) {
	var rows [][]*plot.Plot
	add := func(column, row int, p *plot.Plot) {
		for len(rows) <= row {
			rows = append(rows, make([]*plot.Plot, len(r.deployments())))
		}
		rows[row][column] = p
	}
	for column, name := range r.deployments() {
		some := r.of(name)
		goodput, err := goodputPlot(name, some)
		if err != nil {
			return nil, err
		}
		add(column, 0, goodput)
		delays, err := delayPlot(name, some)
		if err != nil {
			return nil, err
		}
		add(column, 1, delays)
		for i, f := range some {
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
	for _, f := range r.all {
		if !seen[f.Deployment] {
			names = append(names, f.Deployment)
		}
		seen[f.Deployment] = true
	}
	return names
}

// of returns the figures of a deployment.
func (r *Report) of(name string) []figures.Result {
	var some []figures.Result
	for _, f := range r.all {
		if f.Deployment == name {
			some = append(some, f)
		}
	}
	return some
}

// curve is one line of a plot, with points of figures.Step.
type curve struct {
	name   string
	points []float64
}

func goodputPlot(name string, all []figures.Result) (*plot.Plot, error) {
	var curves []curve
	for _, f := range all {
		curves = append(curves, curve{f.Variant, smooth(f.Series.Goodput)})
	}
	return newPlot(name+": whole answers a second", "1/s", all[0], curves)
}

func delayPlot(name string, all []figures.Result) (*plot.Plot, error) {
	var curves []curve
	for _, f := range all {
		curves = append(curves, curve{f.Variant, f.Series.P99})
	}
	return newPlot(name+": delay of whole answers, 99th percentile", "ms", all[0], curves)
}

func refusalPlot(f figures.Result) (*plot.Plot, error) {
	var curves []curve
	for level, points := range f.Series.Refusals {
		curves = append(curves, curve{importance.Level(level).String(), smooth(points)})
	}
	return newPlot(f.Deployment+", "+f.Variant+": refusals for overload a second", "1/s", f, curves)
}

// newPlot draws curves over the time of an experiment.
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
	if err := mark(p, f.Series.DisturbanceStart, f.Series.DisturbanceEnd, top); err != nil {
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

// mark shades the time of the disturbance.
func mark(p *plot.Plot, from, to, top float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	area.Color = shade
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

// smoothing is the number of points that a plotted rate is averaged over.
const smoothing = 5

// smooth returns the moving average of the last points, because single points
// of a random arrival process hide the trend.
func smooth(values []float64) []float64 {
	out := make([]float64, len(values))
	sum := 0.0
	for i, v := range values {
		sum += v
		if i >= smoothing {
			sum -= values[i-smoothing]
		}
		out[i] = sum / float64(min(i+1, smoothing))
	}
	return out
}
