package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/io/conns"
	"oriolebarrow/io/edge"
	"oriolebarrow/io/telem"
	"oriolebarrow/platform"
)

const (
	// keepAliveIdle and keepAliveCount detect a dead connection to the store within
	// about three seconds.
	keepAliveIdle    = time.Second
	keepAliveCount   = 2
	storeDialTimeout = 500 * time.Millisecond
	// settingsCheckInterval is the time between checks of the settings file, which
	// may change without a signal.
	settingsCheckInterval = 2 * time.Second
	// maxStoreHeaderBytes bounds the headers of an answer of the store; usual ones have
	// a few hundred bytes.
	maxStoreHeaderBytes = 16 << 10
	// replyMemoryDivisor is the host's memory divided by the part of it that answers of
	// replicas may use while they are read.
	replyMemoryDivisor = 8
	// collectorShare of the host's memory is the soft limit of the garbage collector. Up to
	// it, the heap may double between two collections; the rest is for what it does not count.
	collectorShare = 0.6
)

// gateway runs one host on the platform. The host sends callers' requests to the
// replicas that the platform's store lists.
func gateway(ctx context.Context, std streams, args []string) int {
	hangup, release := reloadSignals()
	defer release()
	fs := flag.NewFlagSet("gateway", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	port := fs.Int("metrics-port", 0, "port of the metrics at the host's address; 0 for none")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if *port < 0 || *port > 1<<16-1 {
		return usageError(std, fs, "-metrics-port: want a port or 0, got %d", *port)
	}
	lowest, err := telem.ParseLevel(*level)
	if err != nil {
		return usageError(std, fs, "-log-level: want debug, info, warn or error, got %q", *level)
	}
	settings, err := platform.ReadSettings(*path)
	if err != nil {
		return usageError(std, fs, "-settings %q: %v", *path, err)
	}
	metrics := telem.NewRegistry()
	handler := telem.NewHandler(std.out, telem.Options{Format: "json", Level: lowest, Metrics: metrics})
	defer closeLog(handler)
	log := slog.New(handler)
	setCollectorLimit(settings.MemoryBytes)
	limits := conns.NewLimits(settings.MemoryBytes, descriptors(settings.MaxFDs), metrics, log)
	store := platform.NewStore(settings.StoreAddress, storeClient(), log)
	host, err := edge.New(edge.Options{
		Host:          settings.Host,
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		ReadyAddress:  settings.ReadyAddress,
		Names:         platform.Names(),
		Extra:         settings.Extra,
		Warm:          settings.Warm,
		DataCentres:   settings.DataCentres,
		Grace:         settings.Grace,
		PeerAddress:   settings.PeerAddress,
		Compete:       settings.Compete,
		PeerSeeds:     settings.PeerSeeds,
		TaskPort:      settings.FreePorts[0],
		Meter:         metrics,
		BufferBytes:   settings.MemoryBytes / replyMemoryDivisor,
		Clients:       limits,
	}, store, log)
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow gateway: %v\n", err)
		return ExitFault
	}
	registerGauges(metrics, host)
	metrics.Gauge("clients_held_bytes", limits.Budget.Used)
	if *port > 0 {
		stop, err := serveMetrics(net.JoinHostPort(settings.IP, strconv.Itoa(*port)), metrics, host.WhereHandler(), limits, log)
		if err != nil {
			_, _ = fmt.Fprintf(std.err, "oriolebarrow gateway: %v\n", err)
			return ExitFault
		}
		defer stop()
	}
	go reloadSettings(ctx, *path, hangup, host, log)
	if err := host.Run(ctx); err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow gateway: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// registerGauges registers gauges for the state of the host.
func registerGauges(metrics *telem.Registry, host *edge.Edge) {
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
	metrics.Gauge("gateway_evacuated_data_centres", func() int64 { return int64(len(host.Status().Evacuated)) })
	metrics.Gauge("gateway_directory_era", func() int64 { return int64(host.Status().Era) })
}

// serveMetrics serves the metrics and the command where at an address until stop is called.
func serveMetrics(address string, metrics *telem.Registry, where http.Handler, limits *conns.Limits, log *slog.Logger) (stop func(), err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	mux.Handle("/v1/where", where)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		if err := limits.ServeSmall(ctx, "metrics", server, l); err != nil {
			log.Error("telem: metrics are not served", "address", address, "cause", err)
		}
	}()
	return stop, nil
}

// setCollectorLimit sets the soft limit of the garbage collector, if the memory of the machine
// is known.
func setCollectorLimit(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(memory)))
	}
}

// descriptors returns the number of descriptors that the process may open: that of the
// settings, if it states one, but at most the limit of the system. 0 means unknown.
func descriptors(stated int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(limit.Cur))
	}
	return int(limit.Cur)
}

// reloadSettings reads the settings file again at each SIGHUP and change of the file and
// applies the settings that may change while the host runs. A file with a fault is
// logged and not applied.
func reloadSettings(ctx context.Context, path string, hangup <-chan os.Signal, host *edge.Edge, log *slog.Logger) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastMod := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if now := modTime(path); now.Equal(lastMod) {
				continue
			}
		}
		lastMod = modTime(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("node: settings not reloaded", "path", path, "cause", err)
			continue
		}
		host.Reload(edge.Reloadable{Extra: settings.Extra, Grace: settings.Grace, Warm: settings.Warm})
	}
}

// modTime returns the time of the last change of a file, or the zero time if it cannot
// be read. In that case platform.ReadSettings reports the reason.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// storeClient returns the HTTP client for the platform's store.
func storeClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: storeDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}
}
