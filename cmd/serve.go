package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/node"
)

type serveFlags struct {
	id            string
	dataCentre    string
	peerAddress   string
	callerAddress string
	platform      string
	tokenLifetime time.Duration
	tokenMax      int
	connections   int
	lbLag         time.Duration
	shutdownBound time.Duration
	logFormat     string
	logLevel      string
}

func serve(ctx context.Context, e env, args []string) int {
	f := new(serveFlags)
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.StringVar(&f.id, "id", "", "name of this host, unique in the fleet")
	fs.StringVar(&f.dataCentre, "data-centre", "", "data centre of this host")
	fs.StringVar(&f.peerAddress, "peer-address", "", "IP number and port for other hosts")
	fs.StringVar(&f.callerAddress, "caller-address", "", "IP number and port for callers")
	fs.StringVar(&f.platform, "platform", "", "base URL of the platform's services")
	fs.DurationVar(&f.tokenLifetime, "token-lifetime", time.Minute, "how long an order token is kept")
	fs.IntVar(&f.tokenMax, "token-max", 100_000, "order tokens kept at most")
	fs.IntVar(&f.connections, "connections", 5, "connections to one backend server at most")
	fs.DurationVar(&f.lbLag, "lb-lag", 3*time.Second, "how long the load balancer may send requests to a host that is not ready")
	fs.DurationVar(&f.shutdownBound, "shutdown-bound", 10*time.Second, "largest duration of a shutdown: the largest deadline plus -lb-lag")
	fs.StringVar(&f.logFormat, "log-format", "text", "text or json")
	fs.StringVar(&f.logLevel, "log-level", "info", "debug, info, warn or error")
	if !parse(e, fs, args) {
		return ExitUsage
	}
	if fault := f.check(); fault != "" {
		reject(e, fs, "%s", fault)
		return ExitUsage
	}
	abort, release := secondSignal()
	defer release()
	n, err := node.New(node.Options{
		ID:            core.HostID(f.id),
		DataCentre:    core.DataCentre(f.dataCentre),
		PeerAddress:   f.peerAddress,
		CallerAddress: f.callerAddress,
		Platform:      strings.TrimRight(f.platform, "/"),
		TokenLifetime: f.tokenLifetime,
		TokenMax:      f.tokenMax,
		Connections:   f.connections,
		LBLag:         f.lbLag,
		ShutdownBound: f.shutdownBound,
		Abort:         abort,
	}, f.logger(e))
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow serve: %v\n", err)
		return ExitFault
	}
	if err := n.Run(ctx); err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow serve: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// secondSignal returns a channel that is closed by the second signal to end.
func secondSignal() (abort <-chan struct{}, release func()) {
	const wanted = 2
	signals := make(chan os.Signal, wanted)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done, released := make(chan struct{}), make(chan struct{})
	go func() {
		for range wanted {
			select {
			case <-signals:
			case <-released:
				return
			}
		}
		close(done)
	}()
	return done, func() {
		signal.Stop(signals)
		close(released)
	}
}

// check returns the first fault of the settings, or an empty string.
func (f *serveFlags) check() string {
	if f.id == "" || strings.ContainsAny(f.id, "~ /\t\n") {
		return "-id: want a name without spaces, '/' and '~'"
	}
	if f.dataCentre == "" {
		return "-data-centre: want a name"
	}
	if _, err := netip.ParseAddrPort(f.peerAddress); err != nil {
		return fmt.Sprintf("-peer-address: want an IP number and port, got %q", f.peerAddress)
	}
	if _, err := netip.ParseAddrPort(f.callerAddress); err != nil {
		return fmt.Sprintf("-caller-address: want an IP number and port, got %q", f.callerAddress)
	}
	if u, err := url.Parse(f.platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Sprintf("-platform: want an http URL, got %q", f.platform)
	}
	if f.peerAddress == f.callerAddress {
		return "-peer-address and -caller-address: want two different addresses"
	}
	if f.tokenLifetime <= 0 || f.tokenMax <= 0 || f.connections <= 0 {
		return "-token-lifetime, -token-max and -connections: want values above 0"
	}
	if f.lbLag < 0 || f.shutdownBound <= f.lbLag {
		return "-lb-lag and -shutdown-bound: want a bound above the lag"
	}
	if f.logFormat != "text" && f.logFormat != "json" {
		return fmt.Sprintf("-log-format: want text or json, got %q", f.logFormat)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.logLevel)); err != nil {
		return fmt.Sprintf("-log-level: want debug, info, warn or error, got %q", f.logLevel)
	}
	return ""
}

func (f *serveFlags) logger(e env) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(f.logLevel))
	opts := &slog.HandlerOptions{Level: level}
	if f.logFormat == "json" {
		return slog.New(slog.NewJSONHandler(e.err, opts))
	}
	return slog.New(slog.NewTextHandler(e.err, opts))
}
