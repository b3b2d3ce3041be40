package expt

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/io/memnet"
)

const (
	controlSections = 299 // and the one that changes
	controlGroups   = 28  // of two replicas in a section: about 1 MB in all
	controlIdle     = 2 * time.Second
	// controlEvery is 12 times the rate of the design size; figures at the
	// design rate are computed from the costs of one change.
	controlEvery  = time.Second
	designEvery   = 12 * time.Second
	controlSettle = time.Second
	// controlServices give the section that changes the mean size of all.
	controlServices = 300
)

// control measures what membership and configuration cost. It counts the whole
// process, the in-memory network and platform included. A watch that times out
// after 10 s sends the document again; the windows are shorter than that.
//
// Hosts start with the document in force and share its sections, since hundreds
// of hosts in one process would parse it for minutes. The point "document"
// states what the first parse costs; its memory is added to that of each host.
func control() experiment {
	return experiment{
		name:     "control",
		expected: 70 * time.Second,
		targets:  controlTargets(),
		shown:    []string{"cpu_us_per_host_s", "memory_bytes_per_host", "bytes_per_host_s"},
		about:    "processor time, memory and bytes a host for membership and configuration, by number of hosts",
		rounds:   1,
		variants: func(settings) []variant {
			return memberVariants(func(ctx context.Context, s settings, p core.Placer) (Points, error) {
				doc, err := parseDocument()
				if err != nil {
					return nil, err
				}
				out := Points{"document": doc.figures}
				for _, hosts := range pick(s, []int{9, 30}, []int{9, 30, 100, 300}) {
					figures, err := controlPoint(ctx, s, p, doc, hosts)
					if err != nil {
						return nil, err
					}
					out[fmt.Sprintf("hosts_%d", hosts)] = figures
				}
				return out, nil
			})
		},
		conclude: func(r *Result) {
			r.Slopes = make(map[string]map[string]Spread)
			for name, rounds := range r.raw {
				r.Slopes[name] = spreads(controlSlopes(rounds))["slope"]
			}
		},
	}
}

// document returns sections that don't change, about 1 MB.
func document() string {
	var b strings.Builder
	for n := range controlSections {
		fmt.Fprintf(&b, "kind: backend\nname: service_%d\nteam: t\nedition: 1\nslots: 2\nconnections: 25\ngroups:\n", n)
		for g := range controlGroups {
			fmt.Fprintf(&b, "  - - {address: \"10.%d.%d.1:8080\", data_centre: dc-%d}\n", n%256, g, g%memberCentres)
			fmt.Fprintf(&b, "    - {address: \"10.%d.%d.2:8080\", data_centre: dc-%d}\n", n%256, g, (g+1)%memberCentres)
		}
		b.WriteString("---\n")
	}
	return b.String()
}

// parsed is a document in force, and what its first parse costs.
type parsed struct {
	text     string
	versions []config.Version
	figures  Figures
}

func parseDocument() (parsed, error) {
	d := parsed{text: document()}
	heap, ledger := heapInUse(), config.NewLedger()
	before := processorTime()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: []byte(d.text + "kind: end\n")}); err != nil {
		return d, err
	}
	used := processorTime() - before
	d.figures = Figures{
		"parse_cpu_us": float64(used.Microseconds()),
		"memory_bytes": heapInUse() - heap,
		"bytes":        float64(len(d.text)),
	}
	d.versions = ledger.Versions()
	return d, nil
}

// apply puts the document in force on a host that doesn't run yet.
func (d parsed) apply(h *memnet.Host) {
	for _, v := range d.versions {
		h.Ledger.Merge(v)
	}
}

func processorTime() time.Duration {
	var self syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &self)
	return time.Duration(self.Utime.Nano() + self.Stime.Nano())
}

func controlPoint(ctx context.Context, s settings, p core.Placer, doc parsed, hosts int) (Figures, error) {
	heap := heapInUse()
	m := newMembers(p, doc.text)
	defer m.stop()
	m.services = controlServices
	m.cluster.Prepare = doc.apply
	m.publish()
	if err := m.start(hosts); err != nil {
		return nil, err
	}
	if err := m.waitSettled(ctx); err != nil {
		return nil, err
	}
	pause(ctx, controlSettle)
	out := Figures{
		"hosts":                 float64(hosts),
		"sections":              controlSections + 1,
		"memory_bytes_per_host": (heapInUse()-heap)/float64(hosts) + doc.figures["memory_bytes"],
	}
	before := m.used()
	pause(ctx, controlIdle)
	idle := before.until(m.used())
	n := pick(s, 2, 3)
	before = m.used()
	for range n {
		m.publish()
		pause(ctx, controlEvery)
	}
	if err := m.waitSettled(ctx); err != nil {
		return nil, err
	}
	out.addUse(idle, before.until(m.used()), float64(hosts), float64(n))
	return out, nil
}

// addUse adds the costs of the idle time and of the changes. The costs of a
// change are what the idle rate doesn't explain.
func (f Figures) addUse(idle, busy controlUse, hosts, changes float64) {
	idle.addBytes()
	busy.addBytes()
	for name, x := range idle.figures {
		rate := x / idle.seconds
		change := max(0, busy.figures[name]-rate*busy.seconds) / changes
		f[name+"_idle_per_host_s"] = rate / hosts
		f[name+"_per_host_change"] = change / hosts
		f[name+"_per_host_s"] = (rate + change/designEvery.Seconds()) / hosts
	}
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the first one leaves what sync.Pool and finalizers hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// controlUse is what the process and the hosts have used, or used in a time.
type controlUse struct {
	at      time.Time
	seconds float64
	figures Figures
}

// used sums up over all hosts. Bytes between hosts are gossip packets and
// exchanges without the framing of UDP, drpc and TCP.
func (m *members) used() controlUse {
	out := controlUse{at: time.Now(), figures: Figures{
		"cpu_us":         float64(processorTime().Microseconds()),
		"platform_bytes": float64(m.cluster.Platform.Bytes()),
		"platform_reads": float64(m.cluster.Platform.Reads()),
	}}
	for _, h := range m.hosts {
		out.figures["gossip_bytes"] += float64(h.Agent.Stats().SentBytes)
		out.figures["exchange_bytes"] += float64(h.PulledBytes())
		out.figures["exchanges"] += float64(h.Agent.Stats().Pulls)
	}
	return out
}

func (u controlUse) until(later controlUse) controlUse {
	out := controlUse{seconds: later.at.Sub(u.at).Seconds(), figures: Figures{}}
	for name, x := range later.figures {
		out.figures[name] = x - u.figures[name]
	}
	return out
}

// addBytes adds all bytes that hosts send to each other or get from the platform.
func (u controlUse) addBytes() {
	u.figures["bytes"] = u.figures["gossip_bytes"] + u.figures["exchange_bytes"] + u.figures["platform_bytes"]
}

// controlSlopes fits the cost of one host over the number of hosts.
func controlSlopes(rounds []Points) []Points {
	var out []Points
	for _, points := range rounds {
		fitted := Figures{"memory_bytes_per_host": slope(points, "hosts", "memory_bytes_per_host", "sections", controlSections+1)}
		for _, name := range []string{"cpu_us", "bytes", "gossip_bytes", "exchange_bytes", "platform_bytes", "platform_reads"} {
			fitted[name+"_per_host_s"] = slope(points, "hosts", name+"_per_host_s", "sections", controlSections+1)
		}
		out = append(out, Points{"slope": fitted})
	}
	return out
}
