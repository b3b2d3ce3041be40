// Package mutate derives test inputs from seed inputs. The inputs depend only on
// the seeds, so that a test gives the same result on every run. Go's own -fuzz
// mutates with a random seed; it is meant for contributors, not for CI.
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
	// maxMutations is the maximum number of changes to one input. With more of
	// them, most inputs fail at the first check of a parser.
	maxMutations = 4
	// maxCopies limits how much an input grows when a range of it is repeated.
	maxCopies = 64
	// seed1 and seed2 are fixed, so that every run yields the same inputs.
	seed1 = 0x6f626172
	seed2 = 0x726f77
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
			for range 1 + rng.IntN(maxMutations) {
				input = mutateOnce(rng, input, seeds[rng.IntN(len(seeds))])
			}
			if !yield(input) {
				return
			}
		}
	}
}

// mutateOnce makes one random change to b. If it replaces a range of b, the new bytes
// come from other. It may change b in place.
func mutateOnce(rng *rand.Rand, b, other []byte) []byte {
	from, to := randomRange(rng, len(b))
	switch rng.IntN(5) {
	case 0:
		return slices.Delete(b, from, to)
	case 1:
		return slices.Insert(b, to, slices.Repeat(b[from:to], 1+rng.IntN(maxCopies))...)
	case 2:
		lo, hi := randomRange(rng, len(other))
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

// randomRange returns a random range within n bytes. Short ranges are more likely
// than long ones.
func randomRange(rng *rand.Rand, n int) (from, to int) {
	from = rng.IntN(n + 1)
	length := rng.IntN(1 + rng.IntN(n-from+1))
	return from, from + length
}
