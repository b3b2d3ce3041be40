package expt

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// links measures the memory of idle links between hosts. Both ends of a link are
// in this process and count.
func links() experiment {
	return experiment{
		name:     "links",
		expected: 5 * time.Second,
		shown:    []string{"memory_bytes"},
		about:    "memory of a link between hosts, both ends, by number of links",
		variants: func(settings) []variant {
			return []variant{{name: string(design), run: func(ctx context.Context, s settings) (Points, error) {
				out := make(Points)
				for _, n := range pick(s, []int{10, 50}, []int{50, 100, 200, 400}) {
					figures, err := linkPoint(ctx, n)
					if err != nil {
						return nil, err
					}
					out[fmt.Sprintf("links_%d", n)] = figures
				}
				return out, nil
			}}}
		},
		conclude: func(r *Result) {
			var fitted []Points
			for _, points := range r.raw[r.Design] {
				fitted = append(fitted, Points{"slope": {"memory_bytes_per_link": slope(points, "links", "memory_bytes", "ends", 2)}})
			}
			r.Slopes = map[string]map[string]Spread{r.Design: spreads(fitted)["slope"]}
		},
	}
}

// noSnapshots replies to every request with an empty list of snapshots.
type noSnapshots struct{}

// Handle implements peer.Handler.
func (noSnapshots) Handle(_ context.Context, _ *wire.Frame, reply peer.Reply) {
	_ = reply(true, &wire.Frame{Body: &wire.Frame_SnapshotsReply{SnapshotsReply: &wire.SnapshotsReply{}}})
}

// acceptCounter counts accepted connections.
type acceptCounter struct {
	net.Listener
	count *atomic.Int64
}

// Accept implements net.Listener.
func (l acceptCounter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return c, err
}

// linkPoint measures the memory of n links.
func linkPoint(ctx context.Context, n int) (Figures, error) {
	ctx, stop := context.WithCancel(ctx)
	l, err := net.Listen("tcp", hostIP(0)+":0")
	if err != nil {
		stop()
		return nil, errors.Wrap(err, "expt: listen for links")
	}
	server, err := peer.NewServer(noSnapshots{})
	if err != nil {
		stop()
		_ = l.Close()
		return nil, err
	}
	var accepted atomic.Int64
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, acceptCounter{l, &accepted}) }()
	client := peer.NewClient("bench", 1, new(net.Dialer).DialContext)
	defer func() {
		client.Close()
		stop()
		<-served
	}()
	before := heapInUse()
	for i := range n {
		// The client opens one link for each host id, even if the addresses are equal.
		h := core.NewHost(core.HostID(fmt.Sprintf("host-%d", i)), dataCentre, l.Addr().String())
		if _, err := client.Snapshots(ctx, h, serviceName); err != nil {
			return nil, errors.Wrapf(err, "expt: link %d", i)
		}
	}
	return Figures{"links": float64(accepted.Load()), "ends": 2, "memory_bytes": heapInUse() - before}, nil
}
