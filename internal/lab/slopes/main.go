// Slopes fits a line through the results of benchmarks that were run at several sizes. It reads the output of
// go test -bench, in which the last part of a benchmark's name is "parameter=size", and prints a Markdown
// table: go run ./internal/lab/slopes FILE...
//
// Of several runs at one size, the median counts. The line is fitted by ordinary least squares. The residual
// is the root mean square of the distances from it, as a share of the mean result. The power is the slope of
// the line through the points' logarithms: 1 for linear growth, 2 for quadratic growth.
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

// series holds the results of one benchmark in one unit, by size.
type series struct {
	name, unit, parameter string
	runs                  map[float64][]float64
}

// benchmarkName matches a benchmark with a size: its name, parameter and size.
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

// read returns the series in the output of a benchmark run, in order of appearance.
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
		size, _ := strconv.ParseFloat(m[3], 64) // the pattern allows only digits
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

// points returns the sizes in ascending order and the median result at each.
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

// fit returns the value at 0 and the slope of the line through the points, its residual and the power.
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

// write prints the table. It leaves out series with fewer than three sizes, or with no result above 0.
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
