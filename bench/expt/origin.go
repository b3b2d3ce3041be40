package expt

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

const gitTimeout = 2 * time.Second

// Origin describes how and where a result was measured.
type Origin struct {
	Command    string    `json:"command"`
	GoVersion  string    `json:"go_version"`
	Processors int       `json:"processors"`
	Commit     string    `json:"commit,omitempty"`
	Started    time.Time `json:"started"`
	// LoadAverage is the machine's one-minute load average before the run.
	LoadAverage float64 `json:"load_average"`
}

func newOrigin() Origin {
	return Origin{
		GoVersion:   runtime.Version(),
		Processors:  runtime.NumCPU(),
		Commit:      commit(),
		Started:     time.Now().UTC().Truncate(time.Second),
		LoadAverage: loadAverage(),
	}
}

// commit returns the revision of the code. It prefers the build information, which
// describes the running binary, to git, which describes the checkout in the working
// directory.
func commit() string {
	revision, modified := "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value
			case s.Key == "vcs.modified" && s.Value == "true":
				modified = "+modified"
			}
		}
	}
	if revision != "" {
		return revision + modified
	}
	ctx, cancel := context.WithTimeout(context.Background(), gitTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty=+modified", "--abbrev=40").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(out))
}

// loadAverage returns the one-minute load average, or 0 if it is not available.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	x, _ := strconv.ParseFloat(first, 64)
	return x
}
