// Package slopes measures how the costs of the system grow with its size. It fits
// a straight line to each cost, extrapolates it to the target size of the design
// and reports how far that is beyond the largest measured size.
// docs/CAPACITY.md is derived from the results.
package slopes

import (
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slopes")

// Point holds the repeated measurements Y at the size X.
type Point struct {
	X float64   `json:"x"`
	Y []float64 `json:"y"`
}

// Mean returns the mean of the repeated measurements.
func (p Point) Mean() float64 {
	sum := 0.0
	for _, y := range p.Y {
		sum += y
	}
	return sum / float64(len(p.Y))
}

// Spread returns the difference between the greatest and the smallest repeat, as
// a share of the mean.
func (p Point) Spread() float64 {
	if p.Mean() == 0 {
		return 0
	}
	return (slices.Max(p.Y) - slices.Min(p.Y)) / math.Abs(p.Mean())
}

// Line is a fitted straight line.
type Line struct {
	// Base is the value at size 0 and Slope the growth per unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the root mean square deviation of the measurements from the
	// line, as a share of their mean.
	Residual float64 `json:"residual"`
}

// At returns the line's value at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the least-squares line through all repeats of the points. The slope
// is 0 if there is only one size.
func Fit(points []Point) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		for _, y := range p.Y {
			n++
			sumX += p.X
			sumY += y
			sumXX += p.X * p.X
			sumXY += p.X * y
		}
	}
	if n == 0 {
		return Line{}
	}
	var l Line
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		l.Slope = (n*sumXY - sumX*sumY) / spread
	}
	l.Base = (sumY - l.Slope*sumX) / n
	squares := 0.0
	for _, p := range points {
		for _, y := range p.Y {
			squares += (y - l.At(p.X)) * (y - l.At(p.X))
		}
	}
	if sumY != 0 {
		l.Residual = math.Sqrt(squares/n) / math.Abs(sumY/n)
	}
	return l
}
