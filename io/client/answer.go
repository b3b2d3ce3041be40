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
	"oriolebarrow/core/fleet"
)

// answer is one parsed HTTP answer.
type answer struct {
	status  int
	fields  []core.Field
	body    []byte
	keep    bool // the connection can carry another request
	idleFor time.Duration
}

func (a *answer) get(name string) (string, bool) {
	for _, f := range a.fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}

// readAnswer reads one answer. An answer without a length ends with its
// connection. bound limits the time for a head and returns how to lift the limit.
func readAnswer(r *bufio.Reader, method string, l limits, bound func() (lift func())) (answer, error) {
	for range maxInterim + 1 {
		lift := bound()
		head, err := readHead(r, maxHeadBytes)
		lift()
		if err != nil {
			return answer{}, err
		}
		a, err := parseHead(head)
		if err != nil {
			return answer{}, err
		}
		if a.status >= 200 {
			return a, a.readBody(r, head, method, l)
		}
		if a.status == http.StatusSwitchingProtocols {
			return answer{}, errors.New("unexpected change of the protocol")
		}
	}
	return answer{}, errors.New("too many interim answers")
}

// readHead returns the lines up to the empty one.
func readHead(r *bufio.Reader, limit int) (string, error) {
	var b []byte
	for {
		line, err := r.ReadSlice('\n')
		b = append(b, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return "", errors.Wrap(err, "read head")
		}
		if len(b) > limit {
			return "", errors.New("head is too long")
		}
		if err == nil && len(line) <= 2 && strings.TrimRight(string(line), "\r\n") == "" {
			return string(b), nil
		}
	}
}

func parseHead(head string) (answer, error) {
	line, rest, _ := strings.Cut(head, "\n")
	line = strings.TrimSuffix(line, "\r")
	proto, after, ok := strings.Cut(line, " ")
	if !ok || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return answer{}, errors.Errorf("status line %q", shorten(line))
	}
	code, _, _ := strings.Cut(after, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return answer{}, errors.Errorf("status line %q", shorten(line))
	}
	a := answer{status: status, fields: make([]core.Field, 0, 8), keep: proto == "HTTP/1.1"}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return answer{}, errors.Errorf("header line %q", shorten(line))
		}
		a.fields = append(a.fields, core.Field{Name: name, Value: strings.Trim(value, " \t")})
	}
	a.noteConnection()
	return a, nil
}

func (a *answer) noteConnection() {
	for _, f := range a.fields {
		switch {
		case strings.EqualFold(f.Name, "Connection"):
			if hasToken(f.Value, "close") {
				a.keep = false
			}
		case strings.EqualFold(f.Name, "Keep-Alive"):
			a.idleFor = keepAlive(f.Value)
		}
	}
}

// readBody reads the body. The rare framings without a plain length are left to
// net/http.
func (a *answer) readBody(r *bufio.Reader, head, method string, l limits) error {
	if method == http.MethodHead || a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		return nil
	}
	length, plain, err := a.length()
	if err != nil {
		return err
	}
	if !plain {
		return a.readFramed(r, head, method, l)
	}
	if length > l.body {
		return errTooLong
	}
	a.body, err = l.read(r, length)
	if err == nil && len(a.body) < length {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "read body")
}

func (a *answer) length() (n int, plain bool, err error) {
	for _, f := range a.fields {
		switch {
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			return 0, false, nil
		case strings.EqualFold(f.Name, "Content-Length"):
			v, err := strconv.Atoi(f.Value)
			if err != nil || v < 0 || plain && v != n {
				return 0, false, errors.Errorf("length %q", shorten(f.Value))
			}
			n, plain = v, true
		}
	}
	return n, plain, nil
}

func (a *answer) readFramed(r *bufio.Reader, head, method string, l limits) error {
	again := bufio.NewReader(io.MultiReader(strings.NewReader(head), r))
	res, err := http.ReadResponse(again, &http.Request{Method: method})
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	a.body, err = l.read(res.Body, l.body+1)
	if err == nil && len(a.body) > l.body {
		err = errTooLong
	}
	// The second reader may have read on past the answer.
	a.keep = a.keep && !res.Close && again.Buffered() == 0
	return errors.Wrap(err, "read body")
}

// keepAlive returns the idle timeout that a replica states, in whole seconds.
func keepAlive(value string) time.Duration {
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

// parseLoad reads "running,waiting,slots" and, from some replicas, the pace; further
// figures are ignored.
func parseLoad(text string) *fleet.Load {
	const needed = 3
	var l fleet.Load
	figures := []*int{&l.Running, &l.Waiting, &l.Slots, &l.Pace}
	n := 0
	for part := range strings.SplitSeq(text, ",") {
		if n == len(figures) {
			break
		}
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return nil
		}
		*figures[n] = v
		n++
	}
	if n < needed {
		return nil
	}
	return &l
}

func shorten(s string) string {
	const most = 80
	if len(s) > most {
		return s[:most]
	}
	return s
}
