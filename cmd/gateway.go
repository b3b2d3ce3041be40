package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/io/edge"
	"oriolebarrow/io/telem"
	"oriolebarrow/platform"
)

const (
	// keepAliveIdle and keepAliveCount find a silent connection to the store
	// within about three seconds.
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	storeDial      = 500 * time.Millisecond
	// fileCheck is how often the settings file is looked at: it may change
	// without a signal.
	fileCheck = 2 * time.Second
	// storeHeadBytes bounds the head of an answer of the store; usual ones have a few
	// hundred bytes.
	storeHeadBytes = 16 << 10
	// heldShare divides the memory of a host for answers of replicas that are being read.
	heldShare = 8
)

// gateway runs one host on the platform: it passes callers' requests on to the
// replicas that the platform's store publishes.
func gateway(ctx context.Context, e env, args []string) int {
	reload, release := hangups()
	defer release()
	fs := flag.NewFlagSet("gateway", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	port := fs.Int("metrics-port", 0, "port of the metrics at the host's address; 0 for none")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if *port < 0 || *port > 1<<16-1 {
		return reject(e, fs, "-metrics-port: want a port or 0, got %d", *port)
	}
	lowest, err := telem.ParseLevel(*level)
	if err != nil {
		return reject(e, fs, "-log-level: want debug, info, warn or error, got %q", *level)
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		return reject(e, fs, "-settings %q: %v", *path, err)
	}
	metrics := telem.NewRegistry()
	handler := telem.NewHandler(e.out, telem.Options{Format: "json", Level: lowest, Metrics: metrics})
	defer closeLog(handler)
	log := slog.New(handler)
	store := platform.NewStore(settings.StoreAddress, storeClient(), log)
	host, err := edge.New(edge.Options{
		Host:          settings.Host,
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		ReadyAddress:  settings.ReadyAddress,
		Names:         platform.Names(),
		Extra:         settings.Extra,
		Grace:         settings.Grace,
		PeerAddress:   settings.PeerAddress,
		PeerSeeds:     settings.PeerSeeds,
		TaskPort:      settings.FreePorts[0],
		Meter:         metrics,
		HeldBytes:     settings.MemoryBytes / heldShare,
	}, store, log)
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow gateway: %v\n", err)
		return ExitFault
	}
	register(metrics, host)
	if *port > 0 {
		stop, err := serveMetrics(net.JoinHostPort(settings.IP, strconv.Itoa(*port)), metrics, log)
		if err != nil {
			_, _ = fmt.Fprintf(e.err, "oriolebarrow gateway: %v\n", err)
			return ExitFault
		}
		defer stop()
	}
	go reloads(ctx, *path, reload, host, log)
	if err := host.Run(ctx); err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow gateway: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// register adds what the host knows to the metrics.
func register(metrics *telem.Registry, host *edge.Edge) {
	metrics.Gauge("gateway_ready", func() int64 {
		if host.Status().Ready {
			return 1
		}
		return 0
	})
	metrics.Gauge("gateway_routing_version", func() int64 { return int64(host.Status().Version) })
	metrics.Gauge("gateway_directory_age_ms", func() int64 { return host.Status().DirectoryAge.Milliseconds() })
	metrics.Gauge("gateway_hosts", func() int64 { return int64(host.Status().Hosts) })
	metrics.Gauge("gateway_replicas", func() int64 { return int64(host.Status().Replicas) })
	metrics.Gauge("gateway_connections", func() int64 { return int64(host.Status().Connections) })
}

// serveMetrics serves the metrics until stop is called.
func serveMetrics(address string, metrics *telem.Registry, log *slog.Logger) (stop func(), err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("telem: metrics are not served", "address", address, "cause", err)
		}
	}()
	return func() { _ = server.Close() }, nil // readers get no answer while the host ends
}

// reloads applies the settings file again on SIGHUP and when the file changes.
// Settings that cannot be used change nothing.
func reloads(ctx context.Context, path string, hup <-chan os.Signal, host *edge.Edge, log *slog.Logger) {
	ticker := time.NewTicker(fileCheck)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if now := modified(path); now.Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("node: settings not reloaded", "path", path, "cause", err)
			continue
		}
		host.Reload(edge.Reloadable{Extra: settings.Extra, Grace: settings.Grace})
	}
}

// modified returns when a file changed last, or the zero time when that cannot be
// read; ReadSettings then reports why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func storeClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: storeDial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: storeHeadBytes,
	}}
}
