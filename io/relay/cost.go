package relay

import (
	"net/http"
	"time"

	"oriolebarrow/core/cost"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/client"
)

// countEstimate counts the requests by whether they are estimated like their route.
func (r *Relay) countEstimate(e cost.Estimate) {
	switch e.Basis {
	case cost.BasisTarget, cost.BasisRoute:
	default:
		r.Meter.Count("relay_estimates_of_classes", 1)
	}
}

// observeCost records the time of a call that was answered. It must be called before the end
// of the call enters the statistics of the replica.
func (j *job) observeCost(now time.Time, replica *picker.Replica, res client.Result) {
	j.relay.costs.Observe(now, j.class, cost.Sample{
		Took:      res.Took,
		Slowness:  j.relay.Replicas.Slowness(now, replica),
		Weight:    1 / float64(len(j.subs)),
		RouteOnly: res.Reply.Status >= http.StatusBadRequest,
	})
}
