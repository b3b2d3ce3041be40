// Package admin implements the HTTP interface with which operators inspect and
// control one host. docs/API.md describes it.
//
// # Usage
//
//	h, err := admin.New(admin.Options{Address: "127.0.0.1:7002"}, admin.Deps{Self: self, Log: log})
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
	// minTokenBytes is the minimum length of a bearer token; a shorter one could be guessed.
	minTokenBytes = 16
)

// Errors returned by New and Options.Check.
var (
	ErrAddress = errors.New("admin: want an IP number and port")
	ErrNoToken = errors.New("admin: an address that is not loopback needs a bearer token of at least 16 bytes")
	ErrToken   = errors.New("admin: want a bearer token of at least 16 bytes without spaces")
)

// Options configures the interface.
type Options struct {
	Address string
	Token   string // bearer token; may only be empty if Address is a loopback address
}

// Check returns an error if the address is invalid, or if the token is invalid or
// missing although the address needs one.
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

// Deps are the components that the interface reads and controls. The fields from
// Settings to Metrics may be nil: a request that needs a missing one is answered with
// the reason "not_available", and /v1/status leaves its values at zero.
type Deps struct {
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
	Levels    core.LogLevels
	Drain     func() // starts the graceful shutdown; may be called more than once
	Metrics   http.Handler
	Where     http.Handler // only hosts that pass requests on have one
	Log       *slog.Logger
}

// Handler serves the requests of operators.
type Handler struct {
	Deps
	opts Options
	mux  *http.ServeMux
	now  func() time.Time // clock
}

var _ http.Handler = (*Handler)(nil)

// New returns a Handler, or an error if Options.Check returns one.
func New(o Options, d Deps) (*Handler, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	h := &Handler{Deps: d, opts: o, mux: http.NewServeMux(), now: time.Now}
	h.handle(http.MethodGet, "/healthz", h.health)
	h.handle(http.MethodGet, "/readyz", h.ready)
	h.handle(http.MethodGet, "/metrics", h.metrics)
	h.handle(http.MethodGet, "/v1/where", h.where)
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
		writeError(w, http.StatusNotFound, "unknown_path", "no such path")
	})
	return h, nil
}

// handle registers f for a method on a path and answers other methods with 405.
func (h *Handler) handle(method, path string, f http.HandlerFunc) {
	h.mux.HandleFunc(method+" "+path, f)
	h.mux.HandleFunc(path, wrongMethod(method))
}

func wrongMethod(allow string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", allow)
		writeError(w, http.StatusMethodNotAllowed, "wrong_method", "want "+allow)
	}
}

// Server returns an HTTP server for h with timeouts and a limit for the size of headers.
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
	if !h.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, http.StatusUnauthorized, "unauthorized", "want the bearer token of this host")
		return
	}
	if h.opts.Token == "" && !isIPOrLocalhost(r.Host) {
		writeError(w, http.StatusForbidden, "foreign_host", "the Host header must be an IP number or localhost")
		return
	}
	if err := http.NewCrossOriginProtection().Check(r); err != nil {
		writeError(w, http.StatusForbidden, "cross_origin", err.Error())
		return
	}
	// http.ServeMux would answer an unclean path with a redirect in HTML instead of JSON.
	if path.Clean(r.URL.Path) != r.URL.Path {
		writeError(w, http.StatusNotFound, "unknown_path", "no such path")
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

// isIPOrLocalhost reports whether the Host header of a request is an IP address or
// localhost. Other names are rejected because of DNS rebinding: a web page can make its
// own name resolve to a loopback address and then control this host through an
// operator's browser.
func isIPOrLocalhost(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil || host == "localhost"
}

// authorized reports whether a request has the bearer token or needs none. It compares
// hashes in constant time, so that the time taken reveals neither the content nor the
// length of the token. The paths /healthz and /readyz need no token, since load
// balancers read them and they reveal no sensitive details.
func (h *Handler) authorized(r *http.Request) bool {
	if h.opts.Token == "" || r.URL.Path == "/healthz" || r.URL.Path == "/readyz" {
		return true
	}
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(h.opts.Token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"healthy": true})
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
	return readyOut{Ready: ready, Reasons: nonNil(reasons)}
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	out := h.readiness()
	status := http.StatusOK
	if !out.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, out)
}

func (h *Handler) metrics(w http.ResponseWriter, r *http.Request) {
	if h.Metrics == nil {
		writeUnavailable(w, "metrics")
		return
	}
	h.Metrics.ServeHTTP(w, r)
}

func (h *Handler) where(w http.ResponseWriter, r *http.Request) {
	if h.Where == nil {
		writeUnavailable(w, "where")
		return
	}
	h.Where.ServeHTTP(w, r)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request) {
	if h.Drain == nil {
		writeUnavailable(w, "drain")
		return
	}
	h.Log.Info("admin: drain requested", "host", h.Self.ID(), "remote", r.RemoteAddr, "reason", "operator")
	writeJSON(w, http.StatusAccepted, map[string]any{"draining": true})
	// Send the answer now, since the shutdown may close this connection.
	_ = http.NewResponseController(w).Flush()
	h.Drain()
}

type levelBody struct {
	Level string `json:"level"`
}

func (h *Handler) level(w http.ResponseWriter, _ *http.Request) {
	if h.Levels == nil {
		writeUnavailable(w, "log level")
		return
	}
	writeJSON(w, http.StatusOK, levelBody{Level: h.Levels.Level()})
}

func (h *Handler) setLevel(w http.ResponseWriter, r *http.Request) {
	if h.Levels == nil {
		writeUnavailable(w, "log level")
		return
	}
	raw, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", "body is larger than 4 KB")
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "body could not be read")
		return
	}
	var in levelBody
	if err := json.Unmarshal(raw, &in); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", `want {"level": "debug|info|warn|error"}`)
		return
	}
	if err := h.Levels.SetLevel(in.Level); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "level: want debug, info, warn or error")
		return
	}
	h.Log.Warn("admin: log level set", "level", in.Level, "remote", r.RemoteAddr)
	writeJSON(w, http.StatusOK, levelBody{Level: h.Levels.Level()})
}

type errorOut struct {
	Error  string `json:"error"`
	Reason string `json:"reason"`
}

func writeUnavailable(w http.ResponseWriter, resource string) {
	writeError(w, http.StatusNotImplemented, "not_available", resource+" is not available on this host")
}

func writeError(w http.ResponseWriter, status int, reason, msg string) {
	writeJSON(w, status, errorOut{Error: msg, Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// nonNil returns an empty list instead of nil, which JSON would encode as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
