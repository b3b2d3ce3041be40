package load

import (
	"math/rand/v2"
	"time"
)

// RequestKind describes one kind of request. Its share of the arrivals is proportional
// to Weight.
type RequestKind struct {
	Caller   string
	Service  string
	Weight   float64
	Deadline time.Duration
}

// Arrival is one scheduled request.
type Arrival struct {
	At   time.Duration // from the start of the load
	Kind int           // index into the kinds
	Host int           // index into the hosts
}

// Schedule returns the first arrivals, at most limit, of a Poisson process with the given rate
// per second and length. Equal arguments give equal schedules.
func Schedule(seed uint64, rate float64, length time.Duration, kinds []RequestKind, hosts, limit int) []Arrival {
	if rate <= 0 || hosts <= 0 || len(kinds) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var total float64
	for _, k := range kinds {
		total += k.Weight
	}
	var out []Arrival
	at := time.Duration(0)
	for len(out) < limit {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			break
		}
		out = append(out, Arrival{At: at, Kind: pickKind(random, kinds, total), Host: random.IntN(hosts)})
	}
	return out
}

// pickKind returns a random index into kinds, according to the weights.
func pickKind(random *rand.Rand, kinds []RequestKind, total float64) int {
	x := random.Float64() * total
	for i, k := range kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}
