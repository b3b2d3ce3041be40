package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"oriolebarrow/core"
)

const (
	maxBodyBytes = 1 << 20
	// maxHeaderBytes is the limit beyond which the handler answers in JSON. The
	// server's own limit is higher, because net/http answers in plain text beyond it.
	maxHeaderBytes       = 16 << 10
	maxServerHeaderBytes = 64 << 10
	maxNameBytes         = 256
	headerTimeout        = 5 * time.Second
	// bodyTimeout is far longer than the transfer of 1 MB between data centres.
	bodyTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
)

// Reasons for rejecting an invalid request, in addition to those of package core.
const (
	reasonBadRequest  = "bad_request"
	reasonSlowBody    = "slow_body"
	reasonHeaders     = "headers_too_large"
	reasonWrongMethod = "wrong_method"
	reasonUnknownPath = "unknown_path"
)

// NewServer returns an HTTP server that limits the size of headers, the time to read them
// and the time that connections stay idle.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
	}
}

// fault says why a request is invalid and which HTTP status its answer gets.
type fault struct {
	status int
	reason string
	text   string
}

// readBody reads the request body, which may have at most maxBodyBytes and must arrive
// within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// Without this reset, the server would treat the expired deadline as a lost
	// connection.
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return raw, nil
	case errors.As(err, &tooLarge):
		return nil, &fault{http.StatusRequestEntityTooLarge, string(core.ReasonTooLarge), "body is larger than 1 MB"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, &fault{http.StatusRequestTimeout, reasonSlowBody, fmt.Sprintf("body did not arrive within %s", bodyTimeout)}
	default:
		return nil, &fault{http.StatusBadRequest, reasonBadRequest, "body: " + err.Error()}
	}
}

// decodeStrict decodes one JSON value and rejects unknown keys, since a misspelt
// deadline_ms or token would silently change the meaning of the request.
func decodeStrict(raw []byte, into any) *fault {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, end := dec.Token(); end != io.EOF {
			err = errors.New("want one JSON object and nothing after it")
		}
	}
	if err != nil {
		return &fault{http.StatusBadRequest, reasonBadRequest, "body: " + err.Error()}
	}
	return nil
}

// checkNames rejects names that are too long, because names are logged, sent to
// other hosts and stored.
func checkNames(names map[string]string) *fault {
	for _, key := range []string{"caller", "service", "key", "token"} {
		if len(names[key]) > maxNameBytes {
			return &fault{http.StatusBadRequest, reasonBadRequest, fmt.Sprintf("%s: want at most %d bytes", key, maxNameBytes)}
		}
	}
	return nil
}

// headerBytes returns the size of all header names and values.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}
