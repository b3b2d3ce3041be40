// Command standin runs stand-ins for the platform and for backend servers in one
// process, for the demo, tests and experiments. It is not part of the product.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/standin/plat"
	"oriolebarrow/standin/server"
)

// settings holds the values of the flags.
type settings struct {
	document    string
	platform    string
	control     string
	hosts       string
	hostsLag    time.Duration
	meanService time.Duration
	slowShare   float64
	seed        uint64
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var s settings
	flag.StringVar(&s.document, "document", "", "configuration document; its replicas are started here")
	flag.StringVar(&s.platform, "platform", "127.0.0.1:20000", "address of the platform's services")
	flag.StringVar(&s.control, "control", "127.0.0.1:20001", "address of the control interface")
	flag.StringVar(&s.hosts, "hosts", "", "host list: id=data_centre=address, separated by commas")
	flag.DurationVar(&s.hostsLag, "hosts-lag", time.Second, "delay of changes to the host list")
	flag.DurationVar(&s.meanService, "service-time", 10*time.Millisecond, "mean service time of a call")
	flag.Float64Var(&s.slowShare, "slow", 0.01, "share of calls that take ten times as long")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of the service times")
	flag.Parse()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s settings) error {
	document, err := os.ReadFile(s.document)
	if err != nil {
		return err
	}
	platform := plat.New(s.hostsLag)
	platform.Publish(1, document)
	platform.SetHosts(parseHosts(s.hosts))
	fleet := server.NewFleet(server.Options{MeanService: s.meanService, SlowShare: s.slowShare, Seed: s.seed})
	if err := startServers(fleet, document); err != nil {
		return err
	}
	defer fleet.Close()
	mux := http.NewServeMux()
	fleet.Register(mux)
	platform.Register(mux)
	control := &http.Server{Addr: s.control, Handler: mux, ReadHeaderTimeout: time.Second}
	public := &http.Server{Addr: s.platform, Handler: platform, ReadHeaderTimeout: time.Second}
	ended := make(chan error, 2)
	for _, h := range []*http.Server{control, public} {
		l, err := net.Listen("tcp", h.Addr)
		if err != nil {
			return err
		}
		go func() { ended <- h.Serve(l) }()
	}
	fmt.Println("standin: ready")
	select {
	case <-ctx.Done():
		_ = control.Close()
		_ = public.Close()
		return nil
	case err := <-ended:
		return err
	}
}

// startServers starts a server for each replica in the document.
func startServers(fleet *server.Fleet, document []byte) error {
	parts, err := config.Split(document)
	if err != nil {
		return err
	}
	for _, p := range parts {
		section, faults := config.Parse(p)
		if len(faults) > 0 {
			return faults[0]
		}
		if section.Key().Kind != config.KindBackend {
			continue
		}
		if err := fleet.Start(section.Service()); err != nil {
			return err
		}
	}
	return nil
}

// parseHosts parses a list of id=data_centre=address and skips malformed items.
func parseHosts(list string) []core.HostEntry {
	var out []core.HostEntry
	for _, item := range strings.Split(list, ",") {
		f := strings.Split(item, "=")
		if len(f) != 3 {
			continue
		}
		out = append(out, core.HostEntry{Host: core.NewHost(core.HostID(f[0]), core.DataCentre(f[1]), f[2])})
	}
	return out
}
