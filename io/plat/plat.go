// Package plat reads the configuration document and the host list that the
// platform publishes. It writes nothing to the platform.
//
// # Usage
//
//	p := plat.New("http://10.0.0.1:7000", http.DefaultClient)
//	doc, err := p.Document(ctx, lastRevision)
package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// RevisionHeader is the response header with the revision of the configuration
// document.
const RevisionHeader = "X-Revision"

// maxBodyBytes limits the size of a response body. The platform stores values of up to
// 1 MB.
const maxBodyBytes = 2 << 20

// ErrUnavailable is returned when the platform answers with an unexpected status.
var ErrUnavailable = errors.New("plat: service unavailable")

// errNotModified is returned for the status 304 Not Modified.
var errNotModified = errors.New("plat: not modified")

// Client reads from the platform's services. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	mu    sync.Mutex       // guards the fields below; held during a request for the host list
	etag  string           // of the last host list; empty if there is none
	hosts []core.HostEntry // the last host list
}

var _ core.Platform = (*Client)(nil)

// New returns a client for the platform's services at the URL base.
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Document waits until the document's revision is above after, or until the service
// ends the wait. If the revision then still equals after, Unchanged is set and Text is
// empty. If after is 0, Document returns the current document without waiting.
func (c *Client) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	path := "/v1/config"
	if after > 0 {
		path += "?after=" + strconv.FormatUint(uint64(after), 10)
	}
	raw, header, err := c.get(ctx, path, "")
	if errors.Is(err, errNotModified) && after > 0 {
		return core.Document{Revision: after, Unchanged: true}, nil
	}
	if err != nil {
		return core.Document{}, err
	}
	rev, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return core.Document{}, errors.Wrap(err, "plat: parse revision of configuration document")
	}
	// A service that never answers 304 sends the whole document again.
	if after > 0 && core.Revision(rev) == after {
		return core.Document{Revision: after, Unchanged: true}, nil
	}
	return core.Document{Revision: core.Revision(rev), Text: raw}, nil
}

// Hosts returns the published host list. The platform does not send a list again
// that has not changed since the last call.
func (c *Client) Hosts(ctx context.Context) ([]core.HostEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, header, err := c.get(ctx, "/v1/hosts", c.etag)
	if errors.Is(err, errNotModified) {
		return slices.Clone(c.hosts), nil
	}
	if err != nil {
		return nil, err
	}
	var body struct {
		Hosts []struct {
			ID         string `json:"id"`
			DataCentre string `json:"data_centre"`
			Address    string `json:"address"`
			State      string `json:"state"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errors.Wrap(err, "plat: decode host list")
	}
	out := make([]core.HostEntry, 0, len(body.Hosts))
	for _, h := range body.Hosts {
		out = append(out, core.HostEntry{
			Host:    core.NewHost(core.HostID(h.ID), core.DataCentre(h.DataCentre), h.Address),
			Leaving: h.State == "leaving",
		})
	}
	c.etag, c.hosts = header.Get("ETag"), slices.Clone(out)
	return out, nil
}

// get reads a path of the platform's services. An etag that is not empty makes the
// request conditional.
func (c *Client) get(ctx context.Context, path, etag string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil, nil, errNotModified
	}
	if res.StatusCode != http.StatusOK {
		return nil, nil, errors.Wrapf(ErrUnavailable, "get %s: status %d", path, res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s: read", path)
	}
	if len(raw) > maxBodyBytes {
		return nil, nil, errors.Errorf("plat: get %s: more than %d bytes", path, maxBodyBytes)
	}
	return raw, res.Header, nil
}
