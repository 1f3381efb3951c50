// Package slopes measures how the cost of the system grows with its size, fits
// a straight line to each cost and tells how far the target lies from the
// largest size that was measured. docs/CAPACITY.md is worked out from it.
package slopes

import (
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("slopes")

// Point holds the repeated measurements at one size.
type Point struct {
	X float64   `json:"x"`
	Y []float64 `json:"y"`
}

// Mean returns the mean of the repeats.
func (p Point) Mean() float64 {
	sum := 0.0
	for _, y := range p.Y {
		sum += y
	}
	return sum / float64(len(p.Y))
}

// Spread returns the greatest repeat less the smallest, as a share of the mean.
func (p Point) Spread() float64 {
	if p.Mean() == 0 {
		return 0
	}
	return (slices.Max(p.Y) - slices.Min(p.Y)) / math.Abs(p.Mean())
}

// Line is a fitted straight line.
type Line struct {
	// Base is the value at size 0, Slope the growth per unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the root of the mean square distance of the measurements
	// from the line, as a share of their mean.
	Residual float64 `json:"residual"`
}

// At returns the line's value at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the least-squares line through all repeats of the points. With a
// single size the slope is 0.
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
