// Package expt runs experiments that compare the design of the product with
// baselines. Each experiment runs all its variants in one process, one after
// another, for several rounds, and reports the spread over the rounds.
//
// # Usage
//
//	code := expt.Run(ctx, []string{"tail", "-seed", "2"}, os.Stdout, os.Stderr)
package expt

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultRounds = 3
	roundSeedStep = 1000 // difference between the seeds of successive rounds
)

// Figures maps the names of figures to the values measured at one operating point.
type Figures map[string]float64

// Points maps the operating points of one run of a variant to their figures.
type Points map[string]Figures

// variant is the design, a baseline, or the design without one mechanism.
type variant struct {
	name string
	run  func(ctx context.Context, s settings) (Points, error)
}

// settings holds the arguments of one run of a variant.
type settings struct {
	seed  uint64
	quick bool
	log   *slog.Logger // receives the decision log of the hosts; nil discards it
}

// pick returns quick for a quick run and full for a full run.
func pick[T any](s settings, quick, full T) T {
	if s.quick {
		return quick
	}
	return full
}

// experiment compares variants. The first variant is the design.
type experiment struct {
	name       string
	about      string
	onlyByName bool          // run by "bench all" only if named with -only
	rounds     int           // default number of rounds; 0 means defaultRounds
	expected   time.Duration // duration of a full run with the default rounds on an idle machine
	variants   func(s settings) []variant
	// conclude adds values computed from all points, such as fitted slopes.
	conclude func(r *Result)
	targets  []target
	shown    []string // figures that "bench table" prints for docs/MEASUREMENTS.md
}

// Spread holds the minimum, the median and the maximum of a value over the rounds.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// Result is the result of one run of an experiment, printed as JSON.
type Result struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Rounds     int     `json:"rounds"`
	Quick      bool    `json:"quick"`
	Seconds    float64 `json:"seconds"`
	Design     string  `json:"design"`
	Origin     Origin  `json:"origin"`
	// Figures by variant, operating point and name.
	Figures map[string]map[string]map[string]Spread `json:"figures"`
	// Ratios of the design to each other variant, computed in each round and
	// then summarised over the rounds.
	Ratios map[string]map[string]map[string]Spread `json:"ratios"`
	// Slopes of figures over the points, by variant and name, for experiments
	// that fit them.
	Slopes map[string]map[string]Spread `json:"slopes,omitempty"`
	// Verdicts compare the figures with the stated targets.
	Verdicts []Verdict `json:"verdicts,omitempty"`

	raw map[string][]Points // by variant, one entry for each round
}

// run runs every variant once in each round, with the same seed. The first
// variant of a round rotates, so that none always runs first.
func (e *experiment) run(ctx context.Context, s settings, rounds int, progress io.Writer) (*Result, error) {
	started, origin := time.Now(), newOrigin()
	raw := make(map[string][]Points)
	variants := e.variants(s)
	for round := range rounds {
		in := s
		in.seed = s.seed + uint64(round)*roundSeedStep
		for i := range variants {
			v := variants[(i+round)%len(variants)]
			_, _ = fmt.Fprintf(progress, "%s: round %d of %d: %s\n", e.name, round+1, rounds, v.name)
			points, err := v.run(ctx, in)
			if err != nil {
				return nil, errors.Wrapf(err, "%s: round %d: %s", e.name, round+1, v.name)
			}
			raw[v.name] = append(raw[v.name], points)
		}
	}
	r := newResult(variants[0].name, raw)
	r.Experiment, r.Seed, r.Rounds, r.Quick = e.name, s.seed, rounds, s.quick
	r.Origin = origin
	r.Seconds = time.Since(started).Seconds()
	if e.conclude != nil {
		e.conclude(r)
	}
	r.Verdicts = verdicts(r, e.targets)
	return r, nil
}

func newResult(design string, raw map[string][]Points) *Result {
	r := &Result{
		Design:  design,
		Figures: make(map[string]map[string]map[string]Spread),
		Ratios:  make(map[string]map[string]map[string]Spread),
		raw:     raw,
	}
	for name, rounds := range raw {
		r.Figures[name] = spreads(rounds)
		if name != design {
			r.Ratios[name] = spreads(ratios(raw[design], rounds))
		}
	}
	return r
}

// ratios returns the ratio of the design to a baseline for each round. Figures
// that are missing or zero in the baseline are left out.
func ratios(design, baseline []Points) []Points {
	var out []Points
	for i := range min(len(design), len(baseline)) {
		round := make(Points)
		for point, figures := range design[i] {
			round[point] = make(Figures)
			for name, x := range figures {
				if y, ok := baseline[i][point][name]; ok && y != 0 {
					round[point][name] = x / y
				}
			}
		}
		out = append(out, round)
	}
	return out
}

// spreads returns the spread over the rounds by point and figure.
func spreads(rounds []Points) map[string]map[string]Spread {
	values := make(map[string]map[string][]float64)
	for _, round := range rounds {
		for point, figures := range round {
			if values[point] == nil {
				values[point] = make(map[string][]float64)
			}
			for name, x := range figures {
				values[point][name] = append(values[point][name], x)
			}
		}
	}
	out := make(map[string]map[string]Spread)
	for point, figures := range values {
		out[point] = make(map[string]Spread)
		for name, xs := range figures {
			out[point][name] = spread(xs)
		}
	}
	return out
}

func spread(xs []float64) Spread {
	xs = slices.Sorted(slices.Values(xs))
	mid := len(xs) / 2
	median := xs[mid]
	if len(xs)%2 == 0 {
		median = (xs[mid-1] + xs[mid]) / 2
	}
	return Spread{Min: round(xs[0]), Median: round(median), Max: round(xs[len(xs)-1])}
}

// round rounds x to six significant digits, more than the precision of any
// figure here. NaN and infinities become 0.
func round(x float64) float64 {
	if x == 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	scale := math.Pow(10, 5-math.Floor(math.Log10(math.Abs(x))))
	return math.Round(x*scale) / scale
}

func (r *Result) write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}
