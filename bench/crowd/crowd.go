// Package crowd runs a host as a process of the program, with lowered limits, for tests in
// which many clients misuse it. The stand-ins of the store and of one replica run in the
// process of the test.
//
// # Usage
//
//	h, err := crowd.Start(crowd.Options{Program: path, Dir: dir})
//	defer h.Close()
//	usage, err := h.Usage()
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/platform"
	"oriolebarrow/platform/fake"
)

const (
	// MemoryMB and MaxFDs are the resources that the settings of the host state. A process
	// must stay below them whatever its clients do.
	MemoryMB = 96
	MaxFDs   = 500
	// HeadBytes and BodyBytes are the limits of the routing document.
	HeadBytes = 16 << 10
	BodyBytes = 256 << 10
	// AnswerBytes is the size of the answers to requests for LargePath.
	AnswerBytes = 4 << 20

	// HTTPHost is the HTTP host of the routes. Requests for SmallPath get a short answer, and
	// requests for LargePath one of AnswerBytes.
	HTTPHost  = "crowd"
	SmallPath = "/o/small"
	LargePath = "/o/large"

	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
	pollInterval = 50 * time.Millisecond
	grace        = 2 * time.Second
	metricsPort  = 8030
)

// Options are the options of a Host.
type Options struct {
	Program string // path of the program
	Dir     string // for the settings and the log
}

// Host is a running process of the program, with its stand-ins.
type Host struct {
	names   core.HeaderNames
	ip      string
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *os.File
	servers []*http.Server

	newRequest func() (*http.Request, error) // an ordinary request
	isAnswer   func(body string) bool
}

func newHost() *Host {
	return &Host{names: platform.Names(), ip: fmt.Sprintf("127.%d.%d.1", 120+os.Getpid()%100, os.Getpid()/100%250+1)}
}

// Start starts a gateway host and waits until it is ready.
func Start(o Options) (*Host, error) {
	h := newHost()
	h.newRequest = h.order
	h.isAnswer = func(body string) bool { return body == "done" }
	if err := h.start(o); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) start(o Options) error {
	store := fake.New()
	if err := h.serve(7000, store); err != nil {
		return err
	}
	if err := h.serve(9000, http.HandlerFunc(h.replica)); err != nil {
		return err
	}
	store.PutInstance(core.Instance{ID: "i-1", Service: "orders", Address: h.address(9000), DataCentre: "mixco", Slots: 8, Born: 1})
	store.PutRouting(core.Routing{
		Version: 1,
		Routes: []core.Route{{
			Name: "order", Host: HTTPHost, Prefix: "/o/", Timeout: 5 * time.Second, Target: time.Second, Attempts: 1,
			Split: []core.Share{{Service: "orders", Weight: 1}},
		}},
		Upstreams: []core.Upstream{{Name: "orders", HealthPath: "/healthz", Connections: 40}},
		Limits:    core.CallerLimits{HeaderBytes: HeadBytes, BodyBytes: BodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	settings := filepath.Join(o.Dir, "settings.yaml")
	text := fake.SettingsFile(fake.Process{
		Host: "host-0", DataCentre: "mixco", DataCentres: []core.DataCentre{"mixco"}, IP: h.ip,
		CallerAddress: h.CallerAddress(), ReadyAddress: h.ReadyAddress(), PeerAddress: h.PeerAddress(),
		Seeds: []string{h.PeerAddress()}, Ports: [2]int{8010, 8020}, StoreAddress: h.address(7000),
		Grace: grace, ExtraRatio: 0.2, ExtraWindow: 10 * time.Second, ExtraMinimum: 54,
		MemoryMB: MemoryMB, MaxFDs: MaxFDs,
	})
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return errors.Wrap(err, "crowd: write settings")
	}
	log, err := os.Create(filepath.Join(o.Dir, "host.log"))
	if err != nil {
		return errors.Wrap(err, "crowd: create log")
	}
	h.log = log
	return h.run(exec.Command(o.Program, "gateway", "-settings", settings, "-metrics-port", strconv.Itoa(metricsPort)))
}

// run starts the process and waits until the host is ready.
func (h *Host) run(cmd *exec.Cmd) error {
	h.cmd = cmd
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		h.cmd = nil
		return errors.Wrap(err, "crowd: start host")
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait() // Alive reports the end of the process
		close(h.exited)
	}()
	return h.awaitReady()
}

// awaitReady waits until the host answers a request.
func (h *Host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && h.Alive(); time.Sleep(pollInterval) {
		if h.Answers(1) == nil {
			return nil
		}
	}
	return errors.New("crowd: the host does not become ready")
}

func (h *Host) serve(port int, handler http.Handler) error {
	l, err := net.Listen("tcp", h.address(port))
	if err != nil {
		return errors.Wrap(err, "crowd: listen for a stand-in")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(l) }() // returns after Close
	return nil
}

// replica answers as a backend server does.
func (h *Host) replica(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the host has left
	w.Header().Set(h.names.Instance, "i-1")
	w.Header().Set(h.names.RequestID, r.Header.Get(h.names.RequestID))
	w.Header().Set(h.names.Stamp, "stamp")
	body := []byte("done")
	if r.URL.Path == LargePath {
		body = bytes.Repeat([]byte("x"), AnswerBytes)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (h *Host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// CallerAddress returns the address for callers.
func (h *Host) CallerAddress() string { return h.address(8000) }

// ReadyAddress returns the address for readiness checks.
func (h *Host) ReadyAddress() string { return h.address(8001) }

// PeerAddress returns the address for other hosts.
func (h *Host) PeerAddress() string { return h.address(8002) }

// TaskAddress returns the address for tasks of other hosts.
func (h *Host) TaskAddress() string { return h.address(8010) }

// MetricsAddress returns the address of the metrics.
func (h *Host) MetricsAddress() string { return h.address(metricsPort) }

// Alive reports whether the process runs.
func (h *Host) Alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Answers sends up to tries ordinary requests, each on a new connection, until one is
// answered with status 200. It returns the last failure.
func (h *Host) Answers(tries int) error {
	var err error
	for range tries {
		if err = h.ask(); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return err
}

func (h *Host) ask() error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	req, err := h.newRequest()
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || !h.isAnswer(string(body)) {
		return errors.Errorf("status %d, body %q, %v", res.StatusCode, body, err)
	}
	return nil
}

// order returns an ordinary request to a gateway host.
func (h *Host) order() (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.CallerAddress()+SmallPath, strings.NewReader("an order"))
	if err != nil {
		return nil, err
	}
	req.Host = HTTPHost
	req.Header.Set(h.names.RequestID, "ordinary")
	req.Header.Set(h.names.Deadline, "4000")
	return req, nil
}

// Usage is what a process uses of the machine.
type Usage struct {
	PeakMB      int // largest resident memory since the start
	Descriptors int // open now
}

// Usage reads what the process uses.
func (h *Host) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
	text, err := os.ReadFile(dir + "status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "crowd: read status of the process")
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return Usage{}, errors.New("crowd: no resident memory in the status of the process")
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return Usage{}, errors.Wrap(err, "crowd: resident memory")
	}
	files, err := os.ReadDir(dir + "fd")
	if err != nil {
		return Usage{}, errors.Wrap(err, "crowd: read descriptors of the process")
	}
	return Usage{PeakMB: kb >> 10, Descriptors: len(files)}, nil
}

// Close ends the process and the stand-ins.
func (h *Host) Close() {
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
		select {
		case <-h.exited:
		case <-time.After(stopTimeout):
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	if h.log != nil {
		_ = h.log.Close()
	}
}
