// Package plat is a stand-in for the platform: a configuration service that can be
// read and watched, and a host list that shows changes after a delay.
//
// # Usage
//
//	p := plat.New(time.Second)
//	p.Publish(1, text)
//	server := httptest.NewServer(p)
package plat

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	maxReadsPerSecond = 2000
	maxWatchWait      = 10 * time.Second
	maxDocumentBytes  = 1 << 20
)

// Mode selects how the platform answers reads.
type Mode string

// Modes of the platform.
const (
	Up        Mode = "up"
	Down      Mode = "down"  // answers every read with status 503
	Stale     Mode = "stale" // serves the latest document up to the revision given to SetMode
	Empty     Mode = "empty" // serves an empty document
	Truncated Mode = "short" // serves the first half of the document
)

type document struct {
	revision core.Revision
	text     []byte
}

// hostList is a host list and the time from which readers see it.
type hostList struct {
	from  time.Time
	hosts []core.HostEntry
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	lag time.Duration

	mu       sync.Mutex // guards the fields below
	mode     Mode
	history  []document
	staleAt  core.Revision // highest revision that Stale serves
	changed  chan struct{} // closed and replaced when the document or the mode changes
	lists    []hostList
	second   int64 // Unix time of the second that reads counts
	reads    int   // reads that count against the limit in this second, including each open watch
	total    int   // reads so far
	refused  int   // reads answered with status 503
	watching int   // reads of the document in progress
}

// New returns a platform whose host list shows each change after lag.
func New(lag time.Duration) *Platform {
	return &Platform{lag: lag, mode: Up, changed: make(chan struct{})}
}

// Publish stores a revision of the document.
func (p *Platform) Publish(r core.Revision, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, document{revision: r, text: text})
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetHosts changes the host list. Readers see the first list at once and later ones
// after the lag.
func (p *Platform) SetHosts(hosts []core.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := time.Now().Add(p.lag)
	if len(p.lists) == 0 {
		from = time.Now()
	}
	p.lists = append(p.lists, hostList{from: from, hosts: hosts})
}

// SetMode changes how the platform answers reads. The mode Stale serves the
// newest revision that is not above r; other modes ignore r.
func (p *Platform) SetMode(m Mode, r core.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.staleAt = r
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP serves the configuration and the host list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.admit() {
		http.Error(w, "too many reads or down", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method != http.MethodGet:
		http.Error(w, "read only", http.StatusMethodNotAllowed)
	case r.URL.Path == "/v1/config":
		p.config(w, r)
	case r.URL.Path == "/v1/hosts":
		p.hosts(w, r)
	default:
		http.NotFound(w, r)
	}
}

// admit counts a read. It returns false when the read is above the rate limit or the
// mode is Down.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now().Unix(); now != p.second {
		p.second, p.reads = now, p.watching
	}
	p.total++
	p.reads++
	if p.reads > maxReadsPerSecond || p.mode == Down {
		p.refused++
		return false
	}
	return true
}

// config serves the document. With the parameter after, it waits up to maxWatchWait
// for a newer revision; if the revision is still that one, it answers with status 304.
func (p *Platform) config(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	deadline := time.NewTimer(maxWatchWait)
	defer deadline.Stop()
	p.addWatching(1)
	defer p.addWatching(-1)
	for {
		doc, changed := p.current()
		if after == 0 || doc.revision > core.Revision(after) {
			writeDocument(w, doc)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			if doc.revision == core.Revision(after) {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			writeDocument(w, doc)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) addWatching(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching += n
}

// current returns the document that the mode selects and a channel that the next change
// closes.
func (p *Platform) current() (document, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.history) == 0 {
		return document{}, p.changed
	}
	doc := p.history[len(p.history)-1]
	switch p.mode {
	case Stale:
		for _, d := range p.history {
			if d.revision <= p.staleAt {
				doc = d
			}
		}
	case Empty:
		doc.text = nil
	case Truncated:
		doc.text = doc.text[:len(doc.text)/2]
	}
	return doc, p.changed
}

func writeDocument(w http.ResponseWriter, d document) {
	w.Header().Set("X-Revision", strconv.FormatUint(uint64(d.revision), 10))
	_, _ = w.Write(d.text)
}

type hostJSON struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

type hostListJSON struct {
	Hosts []hostJSON `json:"hosts"`
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	var visible []core.HostEntry
	now := time.Now()
	for _, l := range p.lists {
		if !l.from.After(now) {
			visible = l.hosts
		}
	}
	p.mu.Unlock()
	out := hostListJSON{Hosts: []hostJSON{}}
	for _, h := range visible {
		state := "live"
		if h.Leaving {
			state = "leaving"
		}
		out.Hosts = append(out.Hosts, hostJSON{
			ID: string(h.Host.ID()), DataCentre: string(h.Host.DataCentre()), Address: h.Host.Address(), State: state,
		})
	}
	raw, _ := json.Marshal(out)
	tag := fmt.Sprintf(`"%x"`, sha256.Sum256(raw))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(raw)
}

// Stats counts the reads of a platform.
type Stats struct {
	Reads    int `json:"reads"`
	Refused  int `json:"refused"`  // answered with status 503
	Watching int `json:"watching"` // reads of the document in progress
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Reads: p.total, Refused: p.refused, Watching: p.watching}
}

// Register adds the control interface of the platform to a mux.
func (p *Platform) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /platform/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Stats())
	})
	mux.HandleFunc("PUT /platform/config", func(w http.ResponseWriter, r *http.Request) {
		rev, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		text, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
		if err != nil || readErr != nil {
			http.Error(w, "want revision=N and at most 1 MB", http.StatusBadRequest)
			return
		}
		p.Publish(core.Revision(rev), text)
	})
	mux.HandleFunc("PUT /platform/mode", func(_ http.ResponseWriter, r *http.Request) {
		rev, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		p.SetMode(Mode(r.URL.Query().Get("mode")), core.Revision(rev))
	})
	mux.HandleFunc("PUT /platform/hosts", func(w http.ResponseWriter, r *http.Request) {
		var in hostListJSON
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var hosts []core.HostEntry
		for _, h := range in.Hosts {
			hosts = append(hosts, core.HostEntry{
				Host:    core.NewHost(core.HostID(h.ID), core.DataCentre(h.DataCentre), h.Address),
				Leaving: h.State == "leaving",
			})
		}
		p.SetHosts(hosts)
	})
}
