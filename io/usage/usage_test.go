package usage_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/io/usage"
)

// meter keeps the counters that were counted.
type meter struct {
	core.NoMeter
	mu     sync.Mutex
	counts map[string]int64
}

func (m *meter) Count(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

func locate(address string) core.DataCentre {
	return map[string]core.DataCentre{"10.0.0.1:80": "here", "10.0.0.2:80": "there"}[address]
}

// TestConnections guards against bytes that are counted for the wrong data centre, or in one
// direction only.
func TestConnections(t *testing.T) {
	m := &meter{counts: make(map[string]int64)}
	c := usage.New(m, "here", locate)
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		near, far := net.Pipe()
		dial := c.Dial(usage.Tasks, func(context.Context, string, string) (net.Conn, error) { return near, nil })
		conn, err := dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = io.ReadFull(far, make([]byte, 3))
			_, _ = far.Write([]byte("four"))
		}()
		if _, err := conn.Write([]byte("abc")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
	}
	want := map[string]int64{"network_tasks_same_dc_bytes": 7, "network_tasks_other_dc_bytes": 7, "network_tasks_unknown_dc_bytes": 7}
	if diff := cmp.Diff(want, m.counts); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}
