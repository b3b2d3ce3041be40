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
	// maxHeaderBytes is answered in JSON. The server's own limit is higher, since
	// net/http answers beyond it in plain text.
	maxHeaderBytes       = 16 << 10
	maxServerHeaderBytes = 64 << 10
	maxNameBytes         = 256
	headerTimeout        = 5 * time.Second
	// bodyTimeout is far above the transfer time of 1 MB between data centres.
	bodyTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
)

// Reasons for faulty requests, beside those of core.
const (
	reasonBadRequest  = "bad_request"
	reasonSlowBody    = "slow_body"
	reasonHeaders     = "headers_too_large"
	reasonWrongMethod = "wrong_method"
	reasonUnknownPath = "unknown_path"
)

// NewServer returns an HTTP server whose times and header sizes are bounded.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
	}
}

// fault is a request that is not accepted.
type fault struct {
	status int
	reason string
	text   string
}

// readBody reads a bounded body within a bounded time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// Without a reset the server would take the deadline for a lost connection.
	_ = control.SetReadDeadline(time.Time{})
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

// decodeStrict refuses unknown keys, since a misspelt deadline_ms or token
// would otherwise silently change what the request means.
func decodeStrict(raw []byte, into any) *fault {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, more := dec.Token(); more != io.EOF {
			err = errors.New("want one JSON object and nothing after it")
		}
	}
	if err != nil {
		return &fault{http.StatusBadRequest, reasonBadRequest, "body: " + err.Error()}
	}
	return nil
}

// checkNames bounds the texts that are logged, sent to other hosts and kept.
func checkNames(names map[string]string) *fault {
	for _, key := range []string{"caller", "service", "key", "token"} {
		if len(names[key]) > maxNameBytes {
			return &fault{http.StatusBadRequest, reasonBadRequest, fmt.Sprintf("%s: want at most %d bytes", key, maxNameBytes)}
		}
	}
	return nil
}

func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}
