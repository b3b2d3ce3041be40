package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	callerPort, readyPort, peerPort, firstPort, lastPort = 8104, 8108, 8106, 7380, 7395

	metricsPort = 9464 // as in the deploy file
)

// host is one process of the program under test.
type host struct {
	name, ip string
	settings string // path of the settings file
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func (h *host) callers() string { return fmt.Sprintf("%s:%d", h.ip, callerPort) }

// hostConfig is what the settings file of a host needs.
type hostConfig struct {
	program, dir, zone, store string
	zones, seeds              []string
	graceS                    int
	minRetries                int
}

// newHost writes the settings of a host, in the layout of the users' platform.
func newHost(name, ip string, c hostConfig) (*host, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: \"gateway\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"control_plane\"\nip: %q\nzone: %q\nregion: \"r\"\nzones:\n", name, ip, c.zone)
	for _, z := range c.zones {
		fmt.Fprintf(&b, "  %s: \"r\"\n", z)
	}
	fmt.Fprintf(&b, "listen_addrs:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n  control: \"%s:%d\"\n", ip, callerPort, ip, readyPort, ip, peerPort)
	fmt.Fprintf(&b, "port_range:\n  - %d\n  - %d\nseeds:\n", firstPort, lastPort)
	for _, s := range c.seeds {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", s, peerPort)
	}
	fmt.Fprintf(&b, "bootstrap: true\nloss_counts: false\nlimits:\n  cpu_quota: 0.4\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n")
	fmt.Fprintf(&b, "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 4000\n  ack_ms: 5000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_s: %d\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  outer_ms: 12000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_min_retries: %d\n  recovery_s: 12\n", c.graceS, c.minRetries)
	fmt.Fprintf(&b, "platform:\n  address: %q\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n", c.store)
	h := &host{name: name, ip: ip, settings: filepath.Join(c.dir, name+".yaml")}
	if err := os.WriteFile(h.settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	return h, h.start(c)
}

// start starts the process with the command of the deploy file.
func (h *host) start(c hostConfig) error {
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program, "gateway", "-metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = []string{"ORIOLEBARROW_CONFIG=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this program, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.log, h.exited = cmd, log, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(h.exited)
	}()
	return nil
}

// ready reports whether the host answers the platform's readiness check with 200.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	<-h.exited
}
