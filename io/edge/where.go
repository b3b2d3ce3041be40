package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/relay"
	"oriolebarrow/io/telem"
)

const (
	// wherePerSecond limits the answers of the handler: each copies the state of all replicas.
	wherePerSecond = 4
	// whereRequest is the id by which admission control sees the requests.
	whereRequest = "where"
	// maxWhereBytes bounds the method, host and path together.
	maxWhereBytes = 16 << 10
)

// WhereHandler returns a handler that tells what the host would do with the request that the
// parameters method, host, path and body_bytes describe. Nothing is sent, and no state changes.
func (e *Edge) WhereHandler() http.Handler {
	limiter := telem.NewLineLimiter(wherePerSecond)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "want GET", http.StatusMethodNotAllowed)
			return
		}
		req, err := whereQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if _, ok := limiter.Allow(time.Now()); !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many requests in this second", http.StatusTooManyRequests)
			return
		}
		e.writeWhere(w, req)
	})
}

func (e *Edge) writeWhere(w http.ResponseWriter, req relay.Request) {
	answer, err := e.relay.Where(req)
	switch {
	case errors.Is(err, relay.ErrNoRoute):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer.DirectoryAgeMS = e.mirror.Age().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.log.Info("node: answer of where not sent", "cause", err)
	}
}

// whereQuery returns the request that the parameters describe.
func whereQuery(r *http.Request) (relay.Request, error) {
	q := r.URL.Query()
	method, host, uri := q.Get("method"), q.Get("host"), q.Get("path")
	path, _, _ := strings.Cut(uri, "?")
	if method == "" || !strings.HasPrefix(path, "/") || len(method)+len(host)+len(uri) > maxWhereBytes {
		return relay.Request{}, errors.New("want the parameters method, host and path, which begins with a slash")
	}
	req := relay.Request{ID: core.RequestID(whereRequest), Method: method, Host: host, URI: uri, Path: path}
	if text := q.Get("body_bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil || n < 0 {
			return relay.Request{}, errors.New("body_bytes: want a number of bytes, 0 or more")
		}
		req.BodyBytes = int(n)
	}
	return req, nil
}
