// Package capacity measures how the cost of each duty grows and works out what
// it comes to at the size to design for.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// An Axis is a series of measurements along one size.
type Axis struct {
	// Name says what was measured, Size what it grows with.
	Name string `json:"name"`
	Size string `json:"size"`
	// Unit is the unit of the figures.
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// A Fit is the straight line through the points of an axis by least squares.
type Fit struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the root mean square of the distances from the line,
	// relative to the mean of the figures.
	Residual float64 `json:"residual"`
}

// A Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// usage is what the process has used so far.
type usage struct {
	cpu  time.Duration
	heap uint64
}

// At returns the figure that the line has for a size.
func (f Fit) At(size float64) float64 {
	return f.Base + f.Slope*size
}

// measureAxis returns the axis for the values at several sizes.
func measureAxis(name, size, unit string, sizes []int, value func(size int) float64) Axis {
	axis := Axis{Name: name, Size: size, Unit: unit}
	for _, n := range sizes {
		axis.Points = append(axis.Points, Point{float64(n), value(n)})
	}
	axis.Fit = fitLine(axis.Points)
	return axis
}

func fitLine(points []Point) Fit {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		n++
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	determinant := n*sumXX - sumX*sumX
	if determinant == 0 {
		return Fit{Base: sumY / max(n, 1)}
	}
	fit := Fit{Slope: (n*sumXY - sumX*sumY) / determinant}
	fit.Base = (sumY - fit.Slope*sumX) / n
	squares := 0.0
	for _, p := range points {
		squares += math.Pow(p.Value-fit.At(p.Size), 2)
	}
	if sumY != 0 {
		fit.Residual = math.Sqrt(squares/n) / math.Abs(sumY/n)
	}
	return fit
}

// nanosPerCall runs a function for a while and returns its mean time.
func nanosPerCall(call func()) float64 {
	const minDuration = 150 * time.Millisecond
	call()
	for calls := 16; ; calls *= 4 {
		start := time.Now()
		for range calls {
			call()
		}
		if elapsed := time.Since(start); elapsed >= minDuration {
			return float64(elapsed.Nanoseconds()) / float64(calls)
		}
	}
}

// heapGrowth returns the bytes that what the function makes keeps in use.
func heapGrowth(build func() any) float64 {
	heapBefore := readUsage().heap
	kept := build()
	heapAfter := readUsage().heap
	runtime.KeepAlive(kept)
	if heapAfter < heapBefore {
		return 0
	}
	return float64(heapAfter - heapBefore)
}

func readUsage() usage {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{cpu: cpuTime(), heap: memory.HeapAlloc + memory.StackInuse}
}

func cpuTime() time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return 0
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
