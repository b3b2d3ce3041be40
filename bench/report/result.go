package report

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"oriolebarrow/bench/expt"
)

const (
	dotRadius   = 3
	legendSpace = 0.3 // of the width, right of the lines, so that the legend covers none
)

// axes say what is plotted from the result of an experiment.
type axes struct {
	title, x, y string
	figure      string // on the y axis
	size        string // figure on the x axis; empty for the number in the point's name
	fixed       string // only points where this figure has the value
	value       float64
	log, fit    bool
}

func resultAxes() map[string]axes {
	tail := axes{title: "Tail latency", x: "utilisation in %", y: "p99 in ms", figure: "p99_ms", log: true}
	return map[string]axes{
		"tail":            tail,
		"tail_without":    tail,
		"tail_stragglers": tail,
		"spread": {title: "Time until a change is in force on the last host", x: "hosts", y: "maximum in ms",
			figure: "last_host_max_ms", size: "hosts"},
		"cost": {title: "Cost of a query", x: "shards", y: "processor time in us",
			figure: "cpu_us_per_query", size: "shards", fixed: "hosts", value: 3, fit: true},
		"control": {title: "Cost of membership and configuration", x: "hosts", y: "processor time in us for a host and second",
			figure: "cpu_us_per_host_s", size: "hosts", fit: true},
	}
}

func lineColors() []color.Color {
	return []color.Color{
		lineColor,
		color.RGBA{R: 0xc0, G: 0x4a, B: 0x10, A: 0xff},
		color.RGBA{R: 0x2a, G: 0x80, B: 0x3c, A: 0xff},
		color.RGBA{R: 0x7a, G: 0x3a, B: 0x96, A: 0xff},
		color.RGBA{R: 0x60, G: 0x60, B: 0x60, A: 0xff},
	}
}

// WriteResult plots the medians of a result into a directory.
func WriteResult(dir string, r *expt.Result) error {
	a, ok := resultAxes()[r.Experiment]
	if !ok {
		return errors.Errorf("report: no plot for experiment %q", r.Experiment)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report: directory")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = a.title, a.x, a.y
	p.Add(plotter.NewGrid())
	plotted := 0
	for i, name := range r.Variants() {
		points := a.points(r.Figures[name])
		if len(points) == 0 {
			continue
		}
		if err := a.draw(p, name, points, i); err != nil {
			return err
		}
		plotted++
	}
	if plotted == 0 {
		return errors.Errorf("report: no points of %s in the result of %s", a.figure, r.Experiment)
	}
	if a.log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		// Only powers of ten are labelled.
		p.Y.Min = math.Pow(10, math.Floor(math.Log10(p.Y.Min)))
		p.Y.Max = math.Pow(10, math.Ceil(math.Log10(p.Y.Max)))
	} else {
		p.Y.Min = 0
	}
	p.X.Max += legendSpace * (p.X.Max - p.X.Min)
	p.Legend.Top = true
	path := filepath.Join(dir, r.Experiment+".svg")
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "report: save plot")
}

func (a axes) points(by map[string]map[string]expt.Spread) plotter.XYs {
	var out plotter.XYs
	for _, name := range expt.Sorted(by) {
		y, ok := by[name][a.figure]
		if !ok || a.fixed != "" && by[name][a.fixed].Median != a.value {
			continue
		}
		x := by[name][a.size].Median
		if a.size == "" {
			x, _ = strconv.ParseFloat(name[strings.LastIndexByte(name, '_')+1:], 64)
		}
		if a.log && y.Median <= 0 {
			continue // a logarithmic axis has no zero
		}
		out = append(out, plotter.XY{X: x, Y: y.Median})
	}
	return out
}

// draw adds the points, and either the line through them or the fitted line.
func (a axes) draw(p *plot.Plot, name string, points plotter.XYs, i int) error {
	colors := lineColors()
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "report: points of %s", name)
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: colors[i%len(colors)], Radius: vg.Points(dotRadius), Shape: draw.CircleGlyph{}}
	if a.fit {
		points = fitted(points)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "report: line of %s", name)
	}
	line.Color = colors[i%len(colors)]
	if i >= len(colors) {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}

// fitted returns the ends of the least-squares line through points.
func fitted(points plotter.XYs) plotter.XYs {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	slope, intercept := expt.Fit(xs, ys)
	first, last := xs[0], xs[len(xs)-1]
	return plotter.XYs{{X: first, Y: intercept + slope*first}, {X: last, Y: intercept + slope*last}}
}
