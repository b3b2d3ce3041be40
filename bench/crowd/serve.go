package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"oriolebarrow/core"
	"oriolebarrow/standin/plat"
)

// StartServe starts a host of the product's own interface and waits until it is ready. Its
// descriptors are limited by the process that starts it. Its ordinary request asks for a token,
// which needs no backend server.
func StartServe(o Options) (*Host, error) {
	h := newHost(0)
	h.newRequest = func() (*http.Request, error) {
		return http.NewRequest(http.MethodPost, "http://"+h.CallerAddress()+"/v1/tokens", strings.NewReader("{}"))
	}
	h.isAnswer = func(body string) bool { return strings.Contains(body, `"token"`) }
	if err := h.startServe(o); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) startServe(o Options) error {
	platform := plat.New(0)
	if err := h.serve(7000, platform); err != nil {
		return err
	}
	platform.SetHosts([]core.HostEntry{{Host: core.NewHost("host-0", "mixco", h.PeerAddress())}})
	platform.Publish(1, []byte("kind: caller\nname: dispatch\nteam: b\nedition: 1\nservices: [kiln]\n---\nkind: end\n"))
	if err := h.runServe(o, h.address(7000)); err != nil {
		return err
	}
	return h.awaitReady()
}

// runServe starts the process of a host of the product's own interface.
func (h *Host) runServe(o Options, platform string) error {
	const limited = `ulimit -n "$1" && shift && exec "$@"`
	return h.run(o, exec.Command("sh", "-c", limited, "sh", strconv.Itoa(MaxFDs), o.Program, "serve", "-id", h.name(), "-data-centre", "mixco",
		"-peer-address", h.PeerAddress(), "-caller-address", h.CallerAddress(), "-admin-address", h.AdminAddress(),
		"-platform", "http://"+platform, "-lb-lag", "100ms", "-memory-mb", strconv.Itoa(MemoryMB)))
}

// AdminAddress returns the address of the interface for operators, which has to be 127.0.0.1
// without a token.
func (h *Host) AdminAddress() string {
	const firstPort, ports, hosts = 21000, 1000, 10
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(firstPort+os.Getpid()%ports*hosts+h.number))
}
