package capacity

// Point is a measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a line fitted to points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // coefficient of determination; 1 if all values are equal
}

// NewFit fits a line to points by least squares. The slope is 0 without two
// distinct sizes.
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

// At returns the fitted value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Series holds the values of one quantity at several system sizes.
type Series struct {
	Name   string  `json:"name"`
	Axis   string  `json:"axis"` // the quantity that Point.Size counts
	Unit   string  `json:"unit"` // unit of Point.Value
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// newSeries measures a quantity at each size.
func newSeries(name, axis, unit string, sizes []int, value func(size int) float64) Series {
	s := Series{Name: name, Axis: axis, Unit: unit}
	for _, n := range sizes {
		s.add(n, value(n))
	}
	return s.withFit()
}

func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

func (s Series) withFit() Series {
	s.Fit = NewFit(s.Points)
	return s
}
