// Package mutate derives test inputs from seeds. The inputs depend on nothing
// but the seeds, so that a test gives the same verdict on every run. Go's own
// -fuzz mutates with a random seed; it is for contributors, not for CI.
//
// # Usage
//
//	for input := range mutate.Inputs(seeds, 2000) {
//		check(t, input)
//	}
package mutate

import (
	"iter"
	"math/rand/v2"
	"slices"
)

const (
	// maxSteps bounds the changes of one input: with more of them most inputs
	// fail at the first check of a parser.
	maxSteps = 4
	// maxCopies bounds the growth of one step, which repeats a piece.
	maxCopies = 64
	seed1     = 0x6f626172
	seed2     = 0x726f77
)

// Inputs yields each seed once and then count inputs mutated from them.
func Inputs(seeds [][]byte, count int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for _, s := range seeds {
			if !yield(slices.Clone(s)) {
				return
			}
		}
		rng := rand.New(rand.NewPCG(seed1, seed2))
		for range count {
			input := slices.Clone(seeds[rng.IntN(len(seeds))])
			for range 1 + rng.IntN(maxSteps) {
				input = step(rng, input, seeds[rng.IntN(len(seeds))])
			}
			if !yield(input) {
				return
			}
		}
	}
}

// step makes one change; other is the seed that a spliced piece comes from.
func step(rng *rand.Rand, b, other []byte) []byte {
	from, to := piece(rng, len(b))
	switch rng.IntN(5) {
	case 0:
		return slices.Delete(b, from, to)
	case 1:
		return slices.Insert(b, to, slices.Repeat(b[from:to], 1+rng.IntN(maxCopies))...)
	case 2:
		lo, hi := piece(rng, len(other))
		return slices.Replace(b, from, to, other[lo:hi]...)
	case 3:
		return slices.Insert(b, from, byte(rng.Uint32()))
	default:
		if from < len(b) {
			b[from] ^= 1 << rng.IntN(8)
		}
		return b
	}
}

// piece returns a random range; short ones are as likely as long ones.
func piece(rng *rand.Rand, n int) (from, to int) {
	from = rng.IntN(n + 1)
	length := rng.IntN(1 + rng.IntN(n-from+1))
	return from, from + length
}
