package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
)

const (
	maxBodyBytes = 1 << 20
	// maxHeaderBytes is the limit beyond which the handler answers in JSON. The
	// server's own limit is higher, because net/http answers in plain text beyond it.
	maxHeaderBytes       = 16 << 10
	maxServerHeaderBytes = 64 << 10
	maxNameBytes         = 256
	// decodeFactor is how much memory the decoder of a body takes, as a multiple of the body:
	// its buffer doubles, and the one before it stays until the next collection; the decoded
	// body is a copy.
	decodeFactor = 4
	// encodeFactor is the same for the rows of an answer: the buffer of the encoder doubles,
	// and the answer is a copy.
	encodeFactor  = 3
	headerTimeout = 5 * time.Second
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
		ConnContext:       conns.NewContext,
	}
}

// HeadLimits returns the limits on the heads of requests, for the connections of the server.
func HeadLimits() conns.HeadLimits {
	const slack = 4 << 10 // as net/http has
	return conns.HeadLimits{Bytes: maxServerHeaderBytes + slack, Timeout: headerTimeout}
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
	raw, reason, err := conns.ReadBody(w, r, maxBodyBytes, bodyTimeout)
	switch {
	case err != nil:
		return nil, &fault{http.StatusBadRequest, reasonBadRequest, "body: " + errors.Cause(err).Error()}
	case reason == "":
		return raw, nil
	}
	// The rest of the body may still arrive.
	w.Header().Set("Connection", "close")
	switch reason {
	case conns.BodyTooLarge:
		return nil, &fault{http.StatusRequestEntityTooLarge, string(core.ReasonTooLarge), "body is larger than 1 MB"}
	case conns.SlowBody:
		return nil, &fault{http.StatusRequestTimeout, reasonSlowBody, fmt.Sprintf("body did not arrive within %s, or made no progress", bodyTimeout)}
	default:
		return nil, &fault{http.StatusServiceUnavailable, string(core.ReasonOverload), "no memory for the body"}
	}
}

// decodeCharged decodes a body that is charged to a lease, and charges what the decoder takes.
func decodeCharged(l core.Lease, raw []byte, into any) *fault {
	if !l.Charge(decodeFactor * len(raw)) {
		return &fault{http.StatusServiceUnavailable, string(core.ReasonOverload), "no memory for the body"}
	}
	defer l.Refund(decodeFactor * len(raw)) // what was decoded has about the size of raw, which is not needed any more
	return decodeStrict(raw, into)
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
