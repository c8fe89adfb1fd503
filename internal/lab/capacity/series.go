package capacity

// Point is a measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the straight line of least squares through points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // share of the variance that the line explains; 1 if the values don't vary
}

// NewFit returns the line of least squares. Without two different sizes the
// slope is 0.
func NewFit(points []Point) Fit {
	n := float64(len(points))
	if n == 0 {
		return Fit{}
	}
	var x, y float64
	for _, p := range points {
		x += p.Size / n
		y += p.Value / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		xx += (p.Size - x) * (p.Size - x)
		xy += (p.Size - x) * (p.Value - y)
		yy += (p.Value - y) * (p.Value - y)
	}
	f := Fit{Intercept: y, R2: 1}
	if xx > 0 {
		f.Slope = xy / xx
		f.Intercept = y - f.Slope*x
	}
	if xx > 0 && yy > 0 {
		f.R2 = xy * xy / (xx * yy)
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Series holds the values of one quantity at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Axis   string  `json:"axis"` // what the sizes count
	Unit   string  `json:"unit"` // unit of the values
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// newSeries measures a quantity at each size.
func newSeries(name, axis, unit string, sizes []int, value func(size int) float64) Series {
	s := Series{Name: name, Axis: axis, Unit: unit}
	for _, n := range sizes {
		s.add(n, value(n))
	}
	return s.fitted()
}

func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

func (s Series) fitted() Series {
	s.Fit = NewFit(s.Points)
	return s
}
