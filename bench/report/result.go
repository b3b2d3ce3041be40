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
	legendSpace = 0.3 // share of the x range added on the right, so that the legend covers no line
)

// axes describes the plot of an experiment.
type axes struct {
	title, x, y string
	yFigure     string
	xFigure     string // empty to use the number at the end of the point's name
	fixedFigure string // if not empty, only points where this figure equals fixedValue are plotted
	fixedValue  float64
	logY, fit   bool // logarithmic y axis; least-squares line instead of a line through the points
}

// resultAxes returns the axes by the name of the experiment.
func resultAxes() map[string]axes {
	tail := axes{title: "Tail latency", x: "utilisation in %", y: "p99 in ms", yFigure: "p99_ms", logY: true}
	return map[string]axes{
		"tail":            tail,
		"tail_without":    tail,
		"tail_stragglers": tail,
		"spread": {title: "Time until a change is in force on the last host", x: "hosts", y: "maximum in ms",
			yFigure: "last_host_max_ms", xFigure: "hosts"},
		"cost": {title: "Cost of a query", x: "shards", y: "processor time in us",
			yFigure: "cpu_us_per_query", xFigure: "shards", fixedFigure: "hosts", fixedValue: 3, fit: true},
		"control": {title: "Cost of membership and configuration", x: "hosts", y: "processor time in us for a host and second",
			yFigure: "cpu_us_per_host_s", xFigure: "hosts", fit: true},
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

// WriteResult plots the medians of a result and writes the plot to a directory.
func WriteResult(dir string, r *expt.Result) error {
	a, ok := resultAxes()[r.Experiment]
	if !ok {
		return errors.Errorf("report: no plot for experiment %q", r.Experiment)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report: create directory")
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
		return errors.Errorf("report: no points of %s in the result of %s", a.yFigure, r.Experiment)
	}
	if a.logY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		// The axis ends at powers of ten, since only those have labels.
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

// points returns the points of one variant, given its figures by point.
func (a axes) points(figures map[string]map[string]expt.Spread) plotter.XYs {
	var out plotter.XYs
	for _, name := range expt.SortedPoints(figures) {
		y, ok := figures[name][a.yFigure]
		if !ok || a.fixedFigure != "" && figures[name][a.fixedFigure].Median != a.fixedValue {
			continue
		}
		x := figures[name][a.xFigure].Median
		if a.xFigure == "" {
			x, _ = strconv.ParseFloat(name[strings.LastIndexByte(name, '_')+1:], 64)
		}
		if a.logY && y.Median <= 0 {
			continue // can't be shown on a logarithmic axis
		}
		out = append(out, plotter.XY{X: x, Y: y.Median})
	}
	return out
}

// draw adds the points of variant i, and either the line through them or the fitted
// line.
func (a axes) draw(p *plot.Plot, name string, points plotter.XYs, i int) error {
	colors := lineColors()
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "report: points of %s", name)
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: colors[i%len(colors)], Radius: vg.Points(dotRadius), Shape: draw.CircleGlyph{}}
	if a.fit {
		points = fittedLine(points)
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

// fittedLine returns the ends of the least-squares line through points.
func fittedLine(points plotter.XYs) plotter.XYs {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	slope, intercept := expt.FitLine(xs, ys)
	first, last := xs[0], xs[len(xs)-1]
	return plotter.XYs{{X: first, Y: intercept + slope*first}, {X: last, Y: intercept + slope*last}}
}
