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
	"strconv"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// RevisionHeader carries the revision of the configuration document.
const RevisionHeader = "X-Revision"

// maxBodyBytes bounds what is read of one answer; values hold up to 1 MB.
const maxBodyBytes = 2 << 20

// ErrUnavailable is returned when the platform gives no usable answer.
var ErrUnavailable = errors.New("plat: service unavailable")

// Client reads from the platform's services.
type Client struct {
	base string
	http *http.Client
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
	raw, header, err := c.get(ctx, path)
	if err != nil {
		return core.Document{}, err
	}
	rev, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return core.Document{}, errors.Wrap(err, "plat: config: revision header")
	}
	return core.Document{Revision: core.Revision(rev), Text: raw}, nil
}

// Hosts returns the published host list.
func (c *Client) Hosts(ctx context.Context) ([]core.HostEntry, error) {
	raw, _, err := c.get(ctx, "/v1/hosts")
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
	return out, nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "plat: get %s", path)
	}
	defer func() { _ = res.Body.Close() }()
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
