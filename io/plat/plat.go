// Package plat reads what the platform publishes: the configuration document
// and the host list. It writes nothing.
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

// RevisionHeader carries the revision of the configuration document.
const RevisionHeader = "X-Revision"

// maxBodyBytes bounds what is read of one answer; values hold up to 1 MB.
const maxBodyBytes = 2 << 20

// ErrUnavailable is returned when the platform gives no usable answer.
var ErrUnavailable = errors.New("plat: service unavailable")

// errUnchanged stands for 304 Not Modified.
var errUnchanged = errors.New("plat: not modified")

// Client reads from the platform's services. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	mu    sync.Mutex // held during a read of the host list
	tag   string     // of the last host list, empty without one
	hosts []core.HostEntry
}

var _ core.Platform = (*Client)(nil)

// New returns a client for the services at base.
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Document waits until the document's revision is above after, or until the
// service's own wait time has passed. With after 0 it returns at once.
func (c *Client) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	path := "/v1/config"
	if after > 0 {
		path += "?after=" + strconv.FormatUint(uint64(after), 10)
	}
	raw, header, err := c.get(ctx, path, "")
	if errors.Is(err, errUnchanged) && after > 0 {
		return core.Document{Revision: after, Unchanged: true}, nil
	}
	if err != nil {
		return core.Document{}, err
	}
	rev, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return core.Document{}, errors.Wrap(err, "plat: config: revision header")
	}
	// A service without this answer sends the whole document.
	if after > 0 && core.Revision(rev) == after {
		return core.Document{Revision: after, Unchanged: true}, nil
	}
	return core.Document{Revision: core.Revision(rev), Text: raw}, nil
}

// Hosts returns the published host list. An unchanged list is not sent again.
func (c *Client) Hosts(ctx context.Context) ([]core.HostEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, header, err := c.get(ctx, "/v1/hosts", c.tag)
	if errors.Is(err, errUnchanged) {
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
		return nil, errors.Wrap(err, "plat: hosts: decode")
	}
	out := make([]core.HostEntry, 0, len(body.Hosts))
	for _, h := range body.Hosts {
		out = append(out, core.HostEntry{
			Host:    core.NewHost(core.HostID(h.ID), core.DataCentre(h.DataCentre), h.Address),
			Leaving: h.State == "leaving",
		})
	}
	c.tag, c.hosts = header.Get("ETag"), slices.Clone(out)
	return out, nil
}

func (c *Client) get(ctx context.Context, path, tag string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return nil, nil, errUnchanged
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
