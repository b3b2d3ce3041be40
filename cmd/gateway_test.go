package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oriolebarrow/cmd"
)

// TestGatewayRejectsInvalidSettings guards against a host that starts with invalid
// settings, and against a message that does not name the setting.
func TestGatewayRejectsInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(path, []byte("node_name: a\nzone: b\nlisten_addrs: {front: nowhere}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"-settings", path}, "listen_addrs.front"},
		{[]string{"-settings", path + ".none"}, "no such file"},
		{[]string{"-settings", path, "-metrics-port", "70000"}, "-metrics-port"},
		{[]string{"-settings", path, "-log-level", "loud"}, "-log-level"},
		{[]string{"-settings", path, "more"}, "unexpected argument"},
	} {
		var out, errOut bytes.Buffer
		code := cmd.Main(append([]string{"gateway"}, c.args...), &out, &errOut)
		if code != cmd.ExitUsage || !strings.Contains(errOut.String(), c.want) {
			t.Errorf("%v: exit code %d, %q; want %d and %q", c.args, code, errOut.String(), cmd.ExitUsage, c.want)
		}
	}
}
