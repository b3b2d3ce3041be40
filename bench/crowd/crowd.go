// Package crowd runs hosts as processes of the program, with lowered limits, for tests in
// which many clients misuse them: a single host, or several that divide the work of queries
// and orders among themselves. The stand-ins of the store or the platform and of the replicas
// run in the process of the test.
//
// # Usage
//
//	h, err := crowd.Start(crowd.Options{Program: path, Dir: dir})
//	defer h.Close()
//	usage, err := h.Usage()
//
//	f, err := crowd.StartFleet(crowd.Options{Program: path, Dir: dir})
//	defer f.Close()
//	for _, h := range f.Hosts() {
//		err := h.Answers(1)
//	}
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

	// standInIP and firstHostIP are the last numbers of the addresses of the stand-ins of a
	// fleet and of the first host.
	standInIP   = 1
	firstHostIP = 10
)

// Options are the options of a Host.
type Options struct {
	Program string // path of the program
	Dir     string // for the settings and the log
}

// Host is a running process of the program, with its stand-ins.
type Host struct {
	names   core.HeaderNames
	number  int
	ip      string
	cmd     *exec.Cmd
	exited  chan struct{}
	log     *os.File
	servers []*http.Server

	newRequest func() (*http.Request, error) // an ordinary request
	isAnswer   func(body string) bool
}

// newHost returns the host with a number from 0 on. Its address depends on the process, so that
// test processes that run at the same time don't share addresses.
func newHost(number int) *Host {
	return &Host{names: platform.Names(), number: number, ip: ip(firstHostIP + number)}
}

// ip returns a loopback address of this process.
func ip(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 120+os.Getpid()%100, os.Getpid()/100%250+1, last)
}

// Start starts a gateway host and waits until it is ready.
func Start(o Options) (*Host, error) {
	h := newHost(0)
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
	if err := h.runGateway(o, h.address(7000), []string{h.PeerAddress()}); err != nil {
		return err
	}
	return h.awaitReady()
}

// runGateway starts the process of a gateway host.
func (h *Host) runGateway(o Options, store string, seeds []string) error {
	settings := filepath.Join(o.Dir, h.name()+".yaml")
	text := fake.SettingsFile(fake.Process{
		Host: core.HostID(h.name()), DataCentre: "mixco", DataCentres: []core.DataCentre{"mixco"}, IP: h.ip,
		CallerAddress: h.CallerAddress(), ReadyAddress: h.ReadyAddress(), PeerAddress: h.PeerAddress(),
		Seeds: seeds, Ports: [2]int{8010, 8020}, StoreAddress: store,
		Grace: grace, ExtraRatio: 0.2, ExtraWindow: 10 * time.Second, ExtraMinimum: 54,
		MemoryMB: MemoryMB, MaxFDs: MaxFDs,
	})
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return errors.Wrap(err, "crowd: write settings")
	}
	return h.run(o, exec.Command(o.Program, "gateway", "-settings", settings, "-metrics-port", strconv.Itoa(metricsPort)))
}

func (h *Host) name() string { return fmt.Sprint("host-", h.number) }

// run starts the process, which writes its log to the folder of the options.
func (h *Host) run(o Options, cmd *exec.Cmd) error {
	log, err := os.Create(filepath.Join(o.Dir, h.name()+".log"))
	if err != nil {
		return errors.Wrap(err, "crowd: create log")
	}
	h.log = log
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
	return nil
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
	s, err := serve(h.address(port), handler)
	if err != nil {
		return err
	}
	h.servers = append(h.servers, s)
	return nil
}

// serve starts a stand-in.
func serve(address string, handler http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "crowd: listen for a stand-in")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, nil
}

// replica answers as a backend server does.
func (h *Host) replica(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the host has left
	if answerEndless(w, r, h.names) {
		return
	}
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
	return h.gatewayRequest(http.MethodPost, SmallPath, strings.NewReader("an order"))
}

func (h *Host) gatewayRequest(method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+h.CallerAddress()+path, body)
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

// Pause stops the process until Resume is called.
func (h *Host) Pause() error { return h.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets the process run again.
func (h *Host) Resume() error { return h.cmd.Process.Signal(syscall.SIGCONT) }

// Close ends the process and the stand-ins.
func (h *Host) Close() {
	if h.cmd != nil {
		_ = h.Resume()                            // a paused process does not end
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
