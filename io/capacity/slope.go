package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a figure measured at several sizes, with the straight line through them.
type Slope struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Per    string    `json:"per"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Base   float64   `json:"base"`
	Slope  float64   `json:"slope"`
	// Error is the largest distance of a value from the line, over the largest value.
	Error float64 `json:"error"`
}

func (s *Slope) add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Values = append(s.Values, value)
}

func (s *Slope) fit() {
	s.Base, s.Slope = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	largest := 0.0
	for i, v := range s.Values {
		s.Error = max(s.Error, math.Abs(v-s.Base-s.Slope*s.Sizes[i]))
		largest = max(largest, math.Abs(v))
	}
	if largest > 0 {
		s.Error /= largest
	}
}

// Text is the slope as one line for people.
func (s *Slope) Text() string {
	return fmt.Sprintf("%-44s %12.4g + %10.4g %s per %s (fit off by %.0f %%), at %v: %.4g", s.Name, s.Base, s.Slope, s.Unit, s.Per,
		100*s.Error, s.Sizes, s.Values)
}

// cpu is the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// held is the memory that is in use once all that can be freed is.
func held() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// each times one call of do, averaged over many.
func each(n int, do func(i int)) time.Duration {
	began := time.Now()
	for i := range n {
		do(i)
	}
	return time.Since(began) / time.Duration(n)
}
