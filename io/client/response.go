package client

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/heads"
)

// response is one parsed HTTP response.
type response struct {
	status      int
	fields      []core.Field
	body        []byte
	reuse       bool          // the connection can carry another request
	idleTimeout time.Duration // stated by the replica; 0 when not stated
}

func (res *response) get(name string) (string, bool) {
	for _, f := range res.fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}

// readResponse reads the final response to one request and skips interim ones. A
// response without a length ends when its connection is closed. startTimeout limits
// the time for reading a head, and returns a function that removes the limit.
func readResponse(r *bufio.Reader, method string, l limits, startTimeout func() (stop func())) (response, error) {
	for range maxInterim + 1 {
		stop := startTimeout()
		head, err := readHead(r)
		stop()
		if err != nil {
			return response{}, err
		}
		parsed, err := heads.Parse(head, method)
		if err != nil {
			return response{}, err
		}
		if res := newResponse(parsed); res.status >= 200 {
			return res, res.readBody(r, head, parsed.Length(), method, l)
		}
	}
	return response{}, errors.New("too many interim responses")
}

// readHead reads a head with the empty line that ends it.
func readHead(r *bufio.Reader) (string, error) {
	var head heads.Buffer
	for complete := false; !complete; {
		if _, err := r.Peek(1); err != nil {
			return "", errors.Wrap(err, "read response head")
		}
		received, err := r.Peek(r.Buffered())
		if err != nil {
			return "", errors.Wrap(err, "read response head")
		}
		n := 0
		if n, complete, err = head.Add(received); err != nil {
			return "", err
		}
		if _, err := r.Discard(n); err != nil {
			return "", errors.Wrap(err, "read response head")
		}
	}
	return head.String(), nil
}

// newResponse returns the response that a head begins.
func newResponse(h heads.Head) response {
	res := response{status: h.Status(), fields: h.Fields(), reuse: h.Reuse()}
	for _, f := range res.fields {
		if strings.EqualFold(f.Name, "Keep-Alive") {
			res.idleTimeout = keepAliveTimeout(f.Value)
		}
	}
	return res
}

// readBody reads a body of a length that heads.Head.Length returned. A body that is chunked or
// ends with the connection is parsed by net/http.
func (res *response) readBody(r *bufio.Reader, head string, length int, method string, l limits) error {
	switch {
	case length < 0:
		return res.readUnsized(r, head, method, l)
	case length > l.bodyBytes:
		return errTooLong
	}
	var err error
	res.body, err = l.read(&sizedBody{read: r, left: length}, length)
	switch {
	case err == nil && len(res.body) < length:
		err = io.ErrUnexpectedEOF
	case err == nil && method != http.MethodHead && res.status != http.StatusNotModified && !responseFollows(r):
		err = errors.New("bytes that begin no response follow the body, whose length may be wrong")
	}
	return errors.Wrap(err, "read response body")
}

// sizedBody reads a body of a known length. The last byte comes from the buffer of the
// connection, so that what has arrived with it is in the buffer.
type sizedBody struct {
	read *bufio.Reader
	left int // bytes
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left > 1 {
		p = p[:min(len(p), b.left-1)]
	}
	n, err := b.read.Read(p)
	b.left -= n
	return n, err
}

// responseFollows reports whether what has arrived after a response, if anything, may be the
// start of another one.
func responseFollows(r *bufio.Reader) bool {
	const start = "HTTP/"
	next, err := r.Peek(min(r.Buffered(), len(start)))
	return err == nil && strings.HasPrefix(start, string(next))
}

// readUnsized reads a body that is chunked or ends with the connection. net/http parses
// the whole response, so it gets the head once more.
func (res *response) readUnsized(r *bufio.Reader, head, method string, l limits) error {
	replay := bufio.NewReader(io.MultiReader(strings.NewReader(head), r))
	parsed, err := http.ReadResponse(replay, &http.Request{Method: method})
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	res.body, err = l.read(parsed.Body, l.bodyBytes+1)
	if err == nil && len(res.body) > l.bodyBytes {
		err = errTooLong
	}
	// The connection can't be used again if replay buffered bytes beyond the response.
	res.reuse = res.reuse && !parsed.Close && replay.Buffered() == 0
	return errors.Wrap(err, "read response body")
}

// keepAliveTimeout returns the idle timeout that a Keep-Alive field states in whole
// seconds, or 0 if it states none.
func keepAliveTimeout(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// parseWait parses a number of seconds, which may have a fraction. It returns false if the
// text is no such number. A longer time than maxWait counts as maxWait.
func parseWait(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second)), true
}

// parseWarmup parses a number of milliseconds, which may have a fraction. It returns 0 if the
// text is no such number. A longer time than maxWarmup counts as maxWarmup.
func parseWarmup(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxWarmup.Milliseconds())) * float64(time.Millisecond))
}

// parseLoad parses "running,waiting,slots". Some replicas add a fourth value: the service
// time in percent of the usual one. Further values are ignored. parseLoad returns nil if
// the text is invalid.
func parseLoad(text string) *picker.Load {
	const required = 3
	var l picker.Load
	values := []*int{&l.Running, &l.Waiting, &l.Slots, &l.ServiceTimePct}
	n := 0
	for part := range strings.SplitSeq(text, ",") {
		if n == len(values) {
			break
		}
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return nil
		}
		*values[n] = v
		n++
	}
	if n < required {
		return nil
	}
	return &l
}
