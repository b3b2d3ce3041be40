// Package admin is the HTTP interface for operators: it reads and controls one
// host. docs/API.md describes it.
//
// # Usage
//
//	h, err := admin.New(admin.Options{Address: "127.0.0.1:7002"}, admin.Parts{...})
//	err = h.Server().Serve(listener)
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

const (
	maxBodyBytes   = 4 << 10
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	// minTokenBytes keeps a guessed token out of reach.
	minTokenBytes = 16
)

// Errors of New.
var (
	ErrAddress = errors.New("admin: want an IP number and port")
	ErrNoToken = errors.New("admin: an address that is not loopback needs a bearer token of at least 16 bytes")
	ErrToken   = errors.New("admin: want a bearer token of at least 16 bytes without spaces")
)

// Options are the settings of the interface.
type Options struct {
	Address string
	Token   string // bearer token; may be empty on a loopback address
}

// Check reports whether an interface may be opened with these options.
func (o Options) Check() error {
	a, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return errors.Wrapf(ErrAddress, "address %q", o.Address)
	}
	if o.Token == "" {
		if !a.Addr().Unmap().IsLoopback() {
			return errors.Wrapf(ErrNoToken, "address %s", o.Address)
		}
		return nil
	}
	if len(o.Token) < minTokenBytes || strings.ContainsAny(o.Token, " \t\r\n") {
		return ErrToken
	}
	return nil
}

// Parts are what the interface reads and controls. Sources that are nil are
// answered as not available.
type Parts struct {
	Self      core.Host
	Version   string
	Settings  core.Settings
	Views     core.Views
	Readiness core.Readiness
	Hosts     core.HostSource
	Sections  core.SectionSource
	Replicas  core.ReplicaSource
	Tokens    core.TokenSource
	Budgets   core.BudgetSource
	Pauses    core.PauseSource
	Levels    core.Levels
	Drain     func() // starts the graceful shutdown; may be called again
	Metrics   http.Handler
	Log       *slog.Logger
}

// Handler serves operators.
type Handler struct {
	Parts
	opts Options
	mux  *http.ServeMux
	now  func() time.Time
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler, or an error when the options are unsafe.
func New(o Options, p Parts) (*Handler, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	h := &Handler{Parts: p, opts: o, mux: http.NewServeMux(), now: time.Now}
	h.handle(http.MethodGet, "/healthz", h.health)
	h.handle(http.MethodGet, "/readyz", h.ready)
	h.handle(http.MethodGet, "/metrics", h.metrics)
	h.handle(http.MethodGet, "/v1/status", h.status)
	h.handle(http.MethodGet, "/v1/hosts", h.hosts)
	h.handle(http.MethodGet, "/v1/sections", h.sections)
	h.handle(http.MethodGet, "/v1/refused", h.refused)
	h.handle(http.MethodGet, "/v1/services", h.services)
	h.handle(http.MethodGet, "/v1/replicas", h.replicas)
	h.handle(http.MethodGet, "/v1/tokens", h.tokens)
	h.handle(http.MethodGet, "/v1/budgets", h.budgets)
	h.handle(http.MethodPost, "/v1/drain", h.drain)
	h.mux.HandleFunc("GET /v1/log-level", h.level)
	h.mux.HandleFunc("PUT /v1/log-level", h.setLevel)
	h.mux.HandleFunc("/v1/log-level", wrongMethod("GET, PUT"))
	h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusNotFound, "unknown_path", "no such path")
	})
	return h, nil
}

func (h *Handler) handle(method, path string, f http.HandlerFunc) {
	h.mux.HandleFunc(method+" "+path, f)
	h.mux.HandleFunc(path, wrongMethod(method))
}

func wrongMethod(allow string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allow)
		fail(w, http.StatusMethodNotAllowed, "wrong_method", "want "+allow)
	}
}

// Server returns an HTTP server whose times and header sizes are bounded.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.allowed(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		fail(w, http.StatusUnauthorized, "unauthorized", "want the bearer token of this host")
		return
	}
	if h.opts.Token == "" && !localHost(r.Host) {
		fail(w, http.StatusForbidden, "foreign_host", "the Host header must be an IP number or localhost")
		return
	}
	if err := http.NewCrossOriginProtection().Check(r); err != nil {
		fail(w, http.StatusForbidden, "cross_origin", err.Error())
		return
	}
	// http.ServeMux would redirect an unclean path in HTML.
	if path.Clean(r.URL.Path) != r.URL.Path {
		fail(w, http.StatusNotFound, "unknown_path", "no such path")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

// localHost rejects names, since a web page can make its own name resolve to a
// loopback address and then control the host through an operator's browser.
func localHost(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

// allowed compares hashes, so that neither content nor length of the token
// shows in the time taken. The two health paths carry no detail worth hiding
// and are read by load balancers without a token.
func (h *Handler) allowed(r *http.Request) bool {
	if h.opts.Token == "" || r.URL.Path == "/healthz" || r.URL.Path == "/readyz" {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(h.opts.Token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, map[string]any{"healthy": true})
}

type readyOut struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons"`
}

func (h *Handler) readiness() readyOut {
	if h.Readiness == nil {
		return readyOut{Reasons: []string{"not_available"}}
	}
	ready, reasons := h.Readiness.Readiness()
	return readyOut{Ready: ready, Reasons: notNil(reasons)}
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	out := h.readiness()
	status := http.StatusOK
	if !out.Ready {
		status = http.StatusServiceUnavailable
	}
	write(w, status, out)
}

func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	if h.Metrics == nil {
		unavailable(w, "metrics")
		return
	}
	h.Metrics.ServeHTTP(w, r)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if h.Drain == nil {
		unavailable(w, "drain")
		return
	}
	h.Log.Info("admin: drain requested", "host", h.Self.ID(), "remote", r.RemoteAddr, "reason", "operator")
	write(w, http.StatusAccepted, map[string]any{"draining": true})
	// The shutdown may close this connection.
	_ = http.NewResponseController(w).Flush()
	h.Drain()
}

type levelBody struct {
	Level string `json:"level"`
}

func (h *Handler) level(w http.ResponseWriter, _ *http.Request) {
	if h.Levels == nil {
		unavailable(w, "log level")
		return
	}
	write(w, http.StatusOK, levelBody{Level: h.Levels.Level()})
}

func (h *Handler) setLevel(w http.ResponseWriter, r *http.Request) {
	if h.Levels == nil {
		unavailable(w, "log level")
		return
	}
	raw, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		fail(w, http.StatusRequestEntityTooLarge, "too_large", "body is larger than 4 KB")
		return
	}
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", "body could not be read")
		return
	}
	var in levelBody
	if err := json.Unmarshal(raw, &in); err != nil {
		fail(w, http.StatusBadRequest, "bad_request", `want {"level": "debug|info|warn|error"}`)
		return
	}
	if err := h.Levels.SetLevel(in.Level); err != nil {
		fail(w, http.StatusBadRequest, "bad_request", "level: want debug, info, warn or error")
		return
	}
	h.Log.Warn("admin: log level set", "level", in.Level, "remote", r.RemoteAddr)
	write(w, http.StatusOK, levelBody{Level: h.Levels.Level()})
}

type errorOut struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

func unavailable(w http.ResponseWriter, what string) {
	fail(w, http.StatusNotImplemented, "not_available", what+" is not available on this host")
}

func fail(w http.ResponseWriter, status int, reason, msg string) {
	write(w, status, errorOut{Error: msg, Reason: reason})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
