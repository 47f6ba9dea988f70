// Package capacity measures how the processor time, memory and traffic of each
// duty of an instance grow with the size of the configuration, the load or the
// fleet, and computes what they come to at the design size.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// An Axis is a series of measurements over one size, such as the number of
// teams.
type Axis struct {
	// Name names what was measured, and SizeName names the size that was varied.
	Name     string `json:"name"`
	SizeName string `json:"size"`
	// Unit is the unit of the values.
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// A Fit is the line fitted to the points of an axis by least squares.
type Fit struct {
	// Base is the value at size 0, and Slope the increase per unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the root mean square of the distances from the line,
	// relative to the mean of the values.
	Residual float64 `json:"residual"`
}

// A Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// usage holds the processor time that the process has used since its start and
// the bytes of heap and stack in use.
type usage struct {
	cpu  time.Duration
	heap uint64
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Base + f.Slope*size
}

// measureAxis measures a value at each size and returns the axis.
func measureAxis(name, size, unit string, sizes []int, value func(size int) float64) Axis {
	axis := Axis{Name: name, SizeName: size, Unit: unit}
	for _, n := range sizes {
		axis.Points = append(axis.Points, Point{float64(n), value(n)})
	}
	axis.Fit = fitLine(axis.Points)
	return axis
}

// fitLine fits a line by least squares. If all points have the same size, the
// line is constant at their mean value.
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

// nanosPerCall returns the mean duration of a call, in nanoseconds. It calls
// the function in ever longer series until one takes long enough.
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

// heapGrowth returns the bytes of memory that the value from build keeps in
// use.
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

// readUsage collects garbage and returns the usage of the process. It collects
// twice, so that objects with finalizers and pooled objects are freed as well.
func readUsage() usage {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{cpu: cpuTime(), heap: memory.HeapAlloc + memory.StackInuse}
}

// cpuTime returns the user and system time that the process has used.
func cpuTime() time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return 0
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
