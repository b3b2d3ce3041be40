package relay_test

import (
	"testing"
	"testing/synctest"
)

// TestRepeatedRejections guards against a second copy of a rejection that is taken for the
// response to the next call of the same request: an order then runs twice, or is answered
// with a status that implies "not run" although it ran.
func TestRepeatedRejections(t *testing.T) {
	for _, path := range []string{"/o/", "/v/", "/q/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, _ := newRelay(t, b, 1, nil)
				do(r, path, 0) // opens a connection
				b.setMode("rejects twice", address(0, 0), address(0, 1))
				for i := range 20 {
					before := b.runs(address(0, 0), address(0, 1))
					reply, _ := do(r, path, 1+i)
					awaitCalls()
					ran := b.runs(address(0, 0), address(0, 1)) - before
					if reply.Status != 200 || ran != 1 {
						t.Errorf("request %d got %d and ran %d times, want 200 and 1", 1+i, reply.Status, ran)
					}
				}
			})
		})
	}
}
