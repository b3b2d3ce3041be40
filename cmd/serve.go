package cmd

import (
	"context"
	"errors"
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
	"oriolebarrow/io/admin"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/node"
	"oriolebarrow/io/telem"
)

const (
	loopback        = "127.0.0.1"
	logCloseTimeout = 2 * time.Second
)

type serveFlags struct {
	id             string
	dataCentre     string
	peerAddress    string
	callerAddress  string
	adminAddress   string
	adminTokenFile string
	adminToken     string
	platform       string
	tokenLifetime  time.Duration
	tokenMax       int
	connections    int
	memoryMB       int
	lbLag          time.Duration
	shutdownBound  time.Duration
	logFormat      string
	logLevel       string
}

func serve(ctx context.Context, std streams, args []string) int {
	hangup, release := reloadSignals()
	defer release()
	f := new(serveFlags)
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.StringVar(&f.id, "id", "", "name of this host, unique in the fleet")
	fs.StringVar(&f.dataCentre, "data-centre", "", "data centre of this host")
	fs.StringVar(&f.peerAddress, "peer-address", "", "IP number and port for other hosts")
	fs.StringVar(&f.callerAddress, "caller-address", "", "IP number and port for callers")
	fs.StringVar(&f.adminAddress, "admin-address", "", "IP number and port for operators, or :port for loopback; empty for none")
	fs.StringVar(&f.adminTokenFile, "admin-token-file", "", "file with the operators' bearer token; needed when -admin-address is not loopback")
	fs.StringVar(&f.platform, "platform", "", "base URL of the platform's services")
	fs.DurationVar(&f.tokenLifetime, "token-lifetime", time.Minute, "how long an order token is kept")
	fs.IntVar(&f.tokenMax, "token-max", 100_000, "order tokens kept at most")
	fs.IntVar(&f.connections, "connections", 5, "connections to a replica that no section names, at most")
	fs.IntVar(&f.memoryMB, "memory-mb", 0, "memory of the machine in MB, of which clients may use a quarter; 0 if not known: they may use 64 MB")
	fs.DurationVar(&f.lbLag, "lb-lag", 3*time.Second, "how long the load balancer may send requests to a host that is not ready")
	fs.DurationVar(&f.shutdownBound, "shutdown-bound", 0, "largest duration of a shutdown; 0 derives it: the largest deadline of the caller sections in force plus -lb-lag")
	fs.StringVar(&f.logFormat, "log-format", "text", "text or json")
	fs.StringVar(&f.logLevel, "log-level", "info", "debug, info, warn or error")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if fault := f.check(); fault != "" {
		return usageError(std, fs, "%s", fault)
	}
	return f.run(ctx, std, hangup)
}

func (f *serveFlags) run(ctx context.Context, std streams, hangup <-chan os.Signal) int {
	level, _ := telem.ParseLevel(f.logLevel)
	metrics := telem.NewRegistry()
	handler := telem.NewHandler(std.err, telem.Options{Format: f.logFormat, Level: level, Metrics: metrics})
	defer closeLog(handler)
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	abort, release := secondSignal()
	defer release()
	setCollectorLimit(int64(f.memoryMB) << 20)
	limits := conns.NewLimits(int64(f.memoryMB)<<20, descriptors(0), metrics, slog.New(handler))
	metrics.Gauge("clients_held_bytes", limits.Budget.Used)
	n, err := node.New(node.Options{
		Clients:       limits,
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
		Admin: node.AdminOptions{
			Address: f.adminAddress,
			Token:   f.adminToken,
			Version: Version,
			Levels:  handler,
			Metrics: metrics,
			Drain:   drain,
		},
	}, slog.New(handler))
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow serve: %v\n", err)
		return ExitFault
	}
	go logReloads(ctx, hangup, slog.New(handler))
	if err := n.Run(ctx); err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow serve: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// reloadSignals returns a channel that gets SIGHUP, the request to reload, and a function
// that stops the delivery. Commands call it first, because a SIGHUP before the call
// ends the process.
func reloadSignals() (<-chan os.Signal, func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c, func() { signal.Stop(c) }
}

// logReloads logs for each request to reload that it has no effect: changed sections come
// from the platform without a reload, and flags cannot change while the process runs.
func logReloads(ctx context.Context, hangup <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("node: nothing to reload", "reason", "sections are updated from the platform without a reload, flags need a restart")
		}
	}
}

// secondSignal returns a channel that is closed at the second signal to end the process.
// The first one starts the shutdown, the second one cuts it short. The function release
// stops the delivery.
func secondSignal() (abort <-chan struct{}, release func()) {
	const count = 2
	signals := make(chan os.Signal, count)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done, released := make(chan struct{}), make(chan struct{})
	go func() {
		for range count {
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

// closeLog writes the buffered log lines. It gives up after logCloseTimeout, since the
// reader of the log may have stopped reading.
func closeLog(h *telem.Handler) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	_ = h.Close(ctx)
}

// check returns the first fault of the flags, or an empty string.
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
	if fault := f.checkAdmin(); fault != "" {
		return fault
	}
	if f.tokenLifetime <= 0 || f.tokenMax <= 0 || f.connections <= 0 || f.memoryMB < 0 {
		return "-token-lifetime, -token-max and -connections: want values above 0, and -memory-mb no negative one"
	}
	if f.lbLag < 0 || f.shutdownBound < 0 || f.shutdownBound > 0 && f.shutdownBound <= f.lbLag {
		return "-lb-lag and -shutdown-bound: want a lag of 0 or more, and a bound of 0 or above the lag"
	}
	if f.logFormat != "text" && f.logFormat != "json" {
		return fmt.Sprintf("-log-format: want text or json, got %q", f.logFormat)
	}
	if _, err := telem.ParseLevel(f.logLevel); err != nil {
		return fmt.Sprintf("-log-level: want debug, info, warn or error, got %q", f.logLevel)
	}
	return ""
}

// checkAdmin reads the bearer token and completes the administration address. It returns
// the first fault of the flags for the administration interface, or an empty string.
func (f *serveFlags) checkAdmin() string {
	var err error
	if f.adminToken, err = adminToken(f.adminTokenFile); err != nil {
		return err.Error()
	}
	if f.adminAddress == "" {
		if f.adminTokenFile != "" {
			return "-admin-token-file: has no use without -admin-address"
		}
		return ""
	}
	if strings.HasPrefix(f.adminAddress, ":") {
		f.adminAddress = loopback + f.adminAddress
	}
	if f.adminAddress == f.peerAddress || f.adminAddress == f.callerAddress {
		return "-admin-address: want another address than those for hosts and callers"
	}
	o := admin.Options{Address: f.adminAddress, Token: f.adminToken}
	switch err := o.Check(); {
	case errors.Is(err, admin.ErrAddress):
		return fmt.Sprintf("-admin-address: want an IP number and port, got %q", f.adminAddress)
	case errors.Is(err, admin.ErrNoToken):
		return fmt.Sprintf("-admin-address: %s is not loopback; want -admin-token-file or %s", f.adminAddress, adminTokenEnv)
	case err != nil:
		return fmt.Sprintf("-admin-token-file or %s: want at least 16 bytes without spaces", adminTokenEnv)
	}
	return ""
}
