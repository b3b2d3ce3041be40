package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/platform/fake"
)

// Ports of the processes and stand-ins. All addresses are loopback addresses that no other run
// uses.
const (
	storePort   = 8102
	frontPort   = 8104
	controlPort = 8106
	readyPort   = 8108
	metricsPort = 9464
	firstPort   = 7380
	lastPort    = 7395
	replicaPort = 9000

	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
)

// world is one small deployment: a store, replicas and gateway hosts.
type world struct {
	start   time.Time
	dir     string
	prefix  string // first three numbers of the addresses
	store   *fake.Store
	servers []*http.Server
	hosts   []*host

	replicas []*replica
	// With spreadPorts, each host has its own ports for the traffic between hosts, so that a
	// proxy can stand between each two of them.
	spreadPorts bool
	doc         core.Routing // the configuration in force

	mu     sync.Mutex
	record *os.File
	runs   map[string][]execution // by request
}

// execution is one execution of a request on a replica.
type execution struct {
	at       time.Time
	replica  core.InstanceID
	method   string
	uri      string
	body     int
	expected string
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		start: time.Now(), dir: dir, prefix: fmt.Sprintf("127.%d.%d", 60+pid/250%60, pid%250+1),
		store: fake.New(), record: f, runs: make(map[string][]execution),
	}
	return w, w.serve(w.storeAddress(), w.store)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

func (w *world) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.prefix, host, port)
}

func (w *world) storeAddress() string { return w.address(1, storePort) }

// serve serves a stand-in until the end of the run.
func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// host is one gateway process.
type host struct {
	w        *world
	name     string
	ip       string
	zone     string
	memoryMB int
	ports    [2]int // first and last port for the traffic between hosts
	settings string
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func (h *host) front() string { return net.JoinHostPort(h.ip, strconv.Itoa(frontPort)) }

// addHost writes the settings of a host and starts it. zones are all zones of the deployment;
// seeds are the numbers of the hosts that serve as seeds.
func (w *world) addHost(n int, zone string, zones []string, seeds []int, memoryMB int) (*host, error) {
	h := &host{w: w, name: fmt.Sprintf("edge-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", w.prefix, 20+n), zone: zone, memoryMB: memoryMB}
	h.ports = [2]int{firstPort, lastPort}
	if w.spreadPorts {
		h.ports = [2]int{firstPort + 20*n, lastPort + 20*n}
	}
	h.settings = filepath.Join(w.dir, h.name+".yaml")
	var zoneLines, seedLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "  %s: \"r\"\n", z)
	}
	for _, s := range seeds {
		fmt.Fprintf(&seedLines, "  - %q\n", w.address(20+s, controlPort))
	}
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: %q
zone: %q
region: "r"
zones:
%slisten_addrs:
  front: "%s:%d"
  ready: "%s:%d"
  control: "%s:%d"
port_range:
  - %d
  - %d
seeds:
%sbootstrap: true
loss_counts: false
limits:
  cpu_quota: 0.4
  cores: 1
  memory_mb: %d
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
fault_tolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  rollback_slack_ms: 250
  outer_ms: 12000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  budget_min_retries: 54
  recovery_s: 12
platform:
  address: %q
  form: "read"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`, h.name, h.ip, zone, zoneLines.String(), h.ip, frontPort, h.ip, readyPort, h.ip, controlPort,
		h.ports[0], h.ports[1], seedLines.String(), memoryMB, w.storeAddress())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.run()
}

// run starts the process with the command of the deploy file.
func (h *host) run() error {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command("target/oriolebarrow", "gateway", "-metrics-port", strconv.Itoa(metricsPort))
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ORIOLEBARROW_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.w.note("%s started", h.name)
	return nil
}

func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// ready asks the host whether it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + net.JoinHostPort(h.ip, strconv.Itoa(readyPort)) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (h *host) signal(s syscall.Signal) {
	if h.cmd != nil && h.alive() {
		_ = h.cmd.Process.Signal(s)
	}
}

// stop ends the process.
func (h *host) stop(s syscall.Signal) {
	if h.cmd == nil {
		return
	}
	h.signal(s)
	select {
	case <-h.exited:
	case <-time.After(stopTimeout):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	_ = h.log.Close()
	h.w.note("%s ended", h.name)
}

// memory returns a field of the status of the process in MB, such as VmRSS or VmHWM.
func (h *host) memory(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), field+":")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if h.ready() {
				n++
			}
		}
		if n == len(w.hosts) {
			w.note("all %d hosts are ready", n)
			return nil
		}
	}
	return fmt.Errorf("not all hosts became ready")
}

func (w *world) close() {
	for _, h := range w.hosts {
		if h.cmd != nil && h.alive() {
			h.signal(syscall.SIGCONT)
			h.stop(syscall.SIGKILL)
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("LAB2_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.note("files kept in the temporary folder")
		fmt.Fprintln(os.Stderr, w.dir)
	}
	_ = w.record.Close()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %v", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d after %v", a.status, a.took.Round(time.Millisecond))
}

// ask sends one request on a new connection.
func (w *world) ask(address, method, path, id string, deadline time.Duration, body string) answer {
	begin := time.Now()
	c := http.Client{Timeout: deadline + 2*time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = httpHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	res, err := c.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: b, err: err, took: time.Since(begin)}
}
