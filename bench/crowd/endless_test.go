//go:build crowd

package crowd_test

import (
	"net"
	"testing"

	"oriolebarrow/bench/crowd"
	"oriolebarrow/standin/server"
)

// TestEndlessOrders guards against a host that ends because it keeps the bytes of a replica that
// sends a head or a body without end.
func TestEndlessOrders(t *testing.T) {
	for name, path := range map[string]string{"head": crowd.HeadOrderPath, "body": crowd.BodyOrderPath} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			send := exchange(queryLine(path) + "Content-Length: 0\r\n\r\n")
			misuse(t, h, h.CallerAddress(), clients, func(_ int, c net.Conn) { send(t.Context(), nil, 0, c) })
		})
	}
}

// TestEndlessParts guards against hosts that end because of queries for which one of two replicas
// of each shard sends a head or a body without end.
func TestEndlessParts(t *testing.T) {
	for name, path := range map[string]string{"head": crowd.HeadQueryPath, "body": crowd.BodyQueryPath} {
		t.Run(name, func(t *testing.T) {
			misuseFleet(t, startFleet(t), exchange(queryLine(path)+"Content-Length: 0\r\n\r\n"), nil)
		})
	}
}

// TestEndlessAnswers guards against hosts of the product's own interface that end because a quarter of
// the answers of the backend servers are heads or bodies without end.
func TestEndlessAnswers(t *testing.T) {
	for name, change := range map[string]func(*server.Faults){
		"head": func(f *server.Faults) { f.EndlessHead = 0.25 },
		"body": func(f *server.Faults) { f.EndlessBody = 0.25 },
	} {
		t.Run(name, func(t *testing.T) {
			f := startServeFleet(t, 0)
			f.SetFaults(change)
			misuseFleet(t, f, exchange(serveRequest("/v1/query", "{"+serveNames()+`,"body":{}}`)), nil)
		})
	}
}
