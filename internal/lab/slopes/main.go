// Slopes fits a line through the figures of benchmarks that were run at several sizes. It reads the
// output of go test -bench, in which the last part of a benchmark's name is "what=number", and
// prints a table in Markdown: go run ./internal/lab/slopes FILE...
//
// Runs of one benchmark are taken by their median. The line is ordinary least squares; the residual is
// the root of the mean square of what lies off it, as a share of the mean figure; the power is the slope
// of the same points' logarithms, 1 for what grows as the size does and 2 for what grows as its square.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// series is one unit of one benchmark: by size, the figures of its runs.
type series struct {
	name, unit, parameter string
	runs                  map[float64][]float64
}

var benchmarkName = regexp.MustCompile(`^Benchmark(\S+)/(\w+)=(\d+)(-\d+)?$`)

func main() {
	var all []*series
	for _, path := range os.Args[1:] {
		f, err := os.Open(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "slopes:", err)
			os.Exit(1)
		}
		all = append(all, read(f)...)
		f.Close()
	}
	write(os.Stdout, all)
}

// read collects the series of one output, in its order.
func read(r io.Reader) (all []*series) {
	pkg := ""
	for sc := bufio.NewScanner(r); sc.Scan(); {
		f := strings.Fields(sc.Text())
		if len(f) == 2 && f[0] == "pkg:" {
			pkg = f[1][strings.LastIndex(f[1], "/")+1:]
		}
		if len(f) < 4 {
			continue
		}
		m := benchmarkName.FindStringSubmatch(f[0])
		if m == nil {
			continue
		}
		size, _ := strconv.ParseFloat(m[3], 64) // digits alone
		for i := 2; i+1 < len(f); i += 2 {
			x, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				break
			}
			name := pkg + " " + m[1]
			at := slices.IndexFunc(all, func(s *series) bool { return s.name == name && s.unit == f[i+1] && s.parameter == m[2] })
			if at < 0 {
				at, all = len(all), append(all, &series{name, f[i+1], m[2], map[float64][]float64{}})
			}
			all[at].runs[size] = append(all[at].runs[size], x)
		}
	}
	return all
}

// points are the sizes, in order, and the median figure at each.
func (s *series) points() (sizes, figures []float64) {
	for size := range s.runs {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	for _, size := range sizes {
		runs := slices.Clone(s.runs[size])
		slices.Sort(runs)
		figures = append(figures, (runs[(len(runs)-1)/2]+runs[len(runs)/2])/2)
	}
	return sizes, figures
}

// fit is the line through points, its residual and the power of growth.
func fit(x, y []float64) (intercept, slope, residual, power float64) {
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	var lx, ly []float64
	for i := range x {
		off := y[i] - intercept - slope*x[i]
		residual += off * off / float64(len(x))
		if y[i] > 0 {
			lx, ly = append(lx, math.Log(x[i])), append(ly, math.Log(y[i]))
		}
	}
	residual = math.Sqrt(residual) / stat.Mean(y, nil)
	_, power = stat.LinearRegression(lx, ly, nil, false)
	return intercept, slope, residual, power
}

func write(w io.Writer, all []*series) {
	fmt.Fprintln(w, "| benchmark | unit | per | medians by size | slope | at 0 | residual | power |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, s := range all {
		x, y := s.points()
		if len(x) < 3 || slices.Max(y) == 0 {
			continue
		}
		var medians []string
		for i := range x {
			medians = append(medians, fmt.Sprintf("%.0f: %.4g", x[i], y[i]))
		}
		intercept, slope, residual, power := fit(x, y)
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g | %.4g | %.1f %% | %.2f |\n", s.name, s.unit, s.parameter,
			strings.Join(medians, ", "), slope, intercept, 100*residual, power)
	}
}
