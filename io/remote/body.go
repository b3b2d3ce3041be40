package remote

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// encode returns the body and its size. All calls for a request share its content.
func (r *request) encode(remaining time.Duration) (io.Reader, int64, error) {
	raw, err := json.Marshal(r.newBody(remaining))
	if err != nil || len(r.content) == 0 {
		return bytes.NewReader(raw), int64(len(raw)), err
	}
	if !json.Valid(r.content) {
		return nil, 0, errContent
	}
	end := []byte("}")
	begin := append(bytes.TrimSuffix(raw, end), `,"body":`...)
	data := io.MultiReader(bytes.NewReader(begin), bytes.NewReader(r.content), bytes.NewReader(end))
	return data, int64(len(begin) + len(r.content) + len(end)), nil
}

// readAll reads up to limit bytes into a buffer that grows as they arrive, and charges it to a
// lease. charged is what the caller has to refund.
func readAll(lease core.Lease, body io.Reader, limit int) (raw []byte, charged int, err error) {
	raw = make([]byte, 0, min(limit, firstBytes))
	for len(raw) < limit {
		if len(raw) == cap(raw) {
			size := min(limit, 2*cap(raw))
			if !lease.Charge(size) {
				return nil, charged, errNoMemory
			}
			raw = append(make([]byte, 0, size), raw...)
			lease.Refund(charged)
			charged = size
		}
		n, err := body.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		switch {
		case errors.Is(err, io.EOF):
			return raw, charged, nil
		case err != nil:
			return nil, charged, err
		}
	}
	return raw, charged, nil
}
