package load

import (
	"math/rand/v2"
	"time"
)

// Mix is one kind of request and its share of the arrivals.
type Mix struct {
	Caller   string
	Service  string
	Weight   float64
	Deadline time.Duration
}

// Arrival is one scheduled request.
type Arrival struct {
	At   time.Duration // from the start of the load
	Kind int           // index into the mix
	Host int           // index into the hosts
}

// Schedule returns Poisson arrivals for a rate and a length, at most limit. The
// same seed gives the same schedule.
func Schedule(seed uint64, rate float64, length time.Duration, mix []Mix, hosts, limit int) []Arrival {
	if rate <= 0 || hosts <= 0 || len(mix) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, scheduleStream))
	var total float64
	for _, m := range mix {
		total += m.Weight
	}
	var out []Arrival
	at := time.Duration(0)
	for len(out) < limit {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			break
		}
		out = append(out, Arrival{At: at, Kind: draw(random, mix, total), Host: random.IntN(hosts)})
	}
	return out
}

func draw(random *rand.Rand, mix []Mix, total float64) int {
	x := random.Float64() * total
	for i, m := range mix {
		if x -= m.Weight; x < 0 {
			return i
		}
	}
	return len(mix) - 1
}
