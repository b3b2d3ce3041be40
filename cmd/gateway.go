package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

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
)

// gateway runs one host on the platform: it passes callers' requests on to the
// replicas that the platform's store publishes.
func gateway(ctx context.Context, e env, args []string) int {
	fs := flag.NewFlagSet("gateway", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	if code, ok := parse(e, fs, args); !ok {
		return code
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
	host := edge.New(edge.Options{
		Host:          settings.Host,
		DataCentre:    settings.DataCentre,
		CallerAddress: settings.CallerAddress,
		ReadyAddress:  settings.ReadyAddress,
		Names:         platform.Names(),
		Extra:         settings.Extra,
		Grace:         settings.Grace,
		Hosts:         9,
		Meter:         metrics,
	}, store, log)
	if err := host.Run(ctx); err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow gateway: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

func storeClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: storeDial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}
