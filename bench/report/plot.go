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

func save(p *plot.Plot, path string, points plotter.XYs, faults []load.Sample) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "report: plot %s", p.Title.Text)
	}
	line.Color = lineColor
	p.Add(line, plotter.NewGrid())
	for _, f := range faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: seconds(f.AtUS), Y: p.Y.Min}, {X: seconds(f.AtUS), Y: p.Y.Max}})
		if err != nil {
			return errors.Wrap(err, "report: fault")
		}
		mark.Color = faultColor
		mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "report: save plot")
}

// plotLatency shows the share of requests above each latency, since the tail
// is invisible in a plain cumulative curve.
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
	return save(p, path, points, nil)
}

func plotCoverage(path string, buckets []bucket, faults []load.Sample) error {
	p := plot.New()
	p.Title.Text = "Coverage by scheduled time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "shards answered / shards"
	p.Y.Min, p.Y.Max = 0, 1
	var points plotter.XYs
	for i, b := range buckets {
		if b.total > 0 {
			points = append(points, plotter.XY{X: middle(i), Y: float64(b.answered) / float64(b.total)})
		}
	}
	return save(p, path, points, faults)
}

func plotExtraLoad(path string, buckets []bucket, faults []load.Sample) error {
	p := plot.New()
	p.Title.Text = "Extra load"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "backend calls / shards needed"
	p.Y.Min, p.Y.Max = 0, 2
	var points plotter.XYs
	for i, b := range buckets {
		if b.counted && b.total > 0 {
			points = append(points, plotter.XY{X: middle(i), Y: float64(b.calls) / float64(b.total)})
		}
	}
	return save(p, path, points, faults)
}

func middle(i int) float64 { return (float64(i) + 0.5) * bucketLength.Seconds() }
