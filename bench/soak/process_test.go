package soak_test

import (
	"syscall"
	"testing"
	"time"

	"oriolebarrow/bench/soak"
)

// TestEndedWithoutHandler guards against a stop that counts as a fault although it reached the
// process before its signal handlers were installed, and against a later one that does not.
func TestEndedWithoutHandler(t *testing.T) {
	const exited = 1 << 8 // exit code 1
	for _, c := range []struct {
		name   string
		status syscall.WaitStatus
		age    time.Duration
		want   bool
	}{
		{"just started", syscall.WaitStatus(syscall.SIGTERM), 2 * time.Millisecond, true},
		{"long after the start", syscall.WaitStatus(syscall.SIGTERM), 200 * time.Millisecond, false},
		{"another signal", syscall.WaitStatus(syscall.SIGSEGV), 2 * time.Millisecond, false},
		{"exit code", exited, 2 * time.Millisecond, false},
	} {
		if got := soak.EndedWithoutHandler(c.status, c.age); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
