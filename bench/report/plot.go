package report

import (
	"image/color"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oriolebarrow/bench/load"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var (
	lineColor  = color.RGBA{R: 0x1f, G: 0x4e, B: 0x9c, A: 0xff}
	faultColor = color.RGBA{R: 0xb0, G: 0x20, B: 0x20, A: 0xff}
)

// savePlot adds the line through points and a dashed vertical line for each fault,
// and writes the plot to path.
func savePlot(p *plot.Plot, path string, points plotter.XYs, faults []load.Sample) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "report: plot %s", p.Title.Text)
	}
	line.Color = lineColor
	p.Add(line, plotter.NewGrid())
	for _, f := range faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: seconds(f.AtUS), Y: p.Y.Min}, {X: seconds(f.AtUS), Y: p.Y.Max}})
		if err != nil {
			return errors.Wrap(err, "report: plot fault")
		}
		mark.Color = faultColor
		mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "report: save plot")
}

// plotLatency plots the share of requests above each latency on logarithmic axes,
// since the tail is invisible in a plain cumulative curve.
func plotLatency(path string, latency *hdrhistogram.Histogram) error {
	p := plot.New()
	p.Title.Text = "Latency from the scheduled time"
	p.X.Label.Text = "latency in ms"
	p.Y.Label.Text = "share of requests above"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var points plotter.XYs
	for _, b := range latency.CumulativeDistribution() {
		above := 1 - b.Quantile/100
		if above > 0 && b.ValueAt > 0 {
			points = append(points, plotter.XY{X: float64(b.ValueAt) / 1000, Y: above})
		}
	}
	return savePlot(p, path, points, nil)
}

func plotCoverage(path string, buckets []bucket, faults []load.Sample) error {
	p := newSharePlot("Coverage by scheduled time", "shards answered / shards", 1)
	return savePlot(p, path, ratioPoints(buckets, func(b bucket) (int64, bool) { return int64(b.answered), true }), faults)
}

func plotExtraLoad(path string, buckets []bucket, faults []load.Sample) error {
	p := newSharePlot("Extra load", "backend calls / shards needed", 2)
	return savePlot(p, path, ratioPoints(buckets, func(b bucket) (int64, bool) { return b.calls, b.counted }), faults)
}

// newSharePlot returns a plot over time with a fixed range of values.
func newSharePlot(title, label string, maxY float64) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = label
	p.Y.Min, p.Y.Max = 0, maxY
	return p
}

// ratioPoints returns the ratio of a count to the number of shards for each bucket.
// Buckets without shards, or for which count returns false, are left out.
func ratioPoints(buckets []bucket, count func(bucket) (int64, bool)) plotter.XYs {
	var points plotter.XYs
	for i, b := range buckets {
		if n, ok := count(b); ok && b.total > 0 {
			points = append(points, plotter.XY{X: bucketMiddle(i), Y: float64(n) / float64(b.total)})
		}
	}
	return points
}

// bucketMiddle returns the time in the middle of bucket i, in seconds.
func bucketMiddle(i int) float64 { return (float64(i) + 0.5) * bucketLength.Seconds() }
