package order_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/order"
)

const lifetime = 10 * time.Second

// TestResultBytes guards against a table whose results exceed its bound, against an outcome that
// is lost with its result, and against bytes that stay counted after their token has expired.
func TestResultBytes(t *testing.T) {
	const limit, resultBytes = 1000, 400
	table := order.New("h1", 7, order.Options{Max: 10, Lifetime: lifetime, ResultBytes: limit}, rand.NewChaCha8([32]byte{1}))
	now := time.Unix(1000, 0)
	for round := range 3 {
		var kept, dropped int
		for range 4 {
			token, ok := table.Issue(now)
			if !ok {
				t.Fatal("no token")
			}
			table.Redeem(now, token, order.Digest{})
			table.Finish(now, token, core.OrderResult{Outcome: core.Complete, Body: make([]byte, resultBytes)})
			d := table.Redeem(now, token, order.Digest{})
			switch {
			case d.Verdict != order.Answer || d.Result.Outcome != core.Complete:
				t.Fatalf("repeated request: verdict %v, outcome %s", d.Verdict, d.Result.Outcome)
			case len(d.Result.Body) == resultBytes && d.Result.Reason == "":
				kept++
			case d.Result.Body == nil && d.Result.Reason == core.ReasonOverload:
				dropped++
			}
		}
		if kept != limit/resultBytes || dropped != 4-kept {
			t.Errorf("round %d: %d results kept and %d dropped, want %d and %d", round, kept, dropped, limit/resultBytes, 4-limit/resultBytes)
		}
		now = now.Add(2 * lifetime)
		table.Expire(now)
	}
}

func newTable(limit int) *order.Table {
	return order.New("h1", 7, order.Options{Max: limit, Lifetime: lifetime}, rand.NewChaCha8([32]byte{1}))
}

// TestTableStartsEachTokenOnceBeforeExpiry guards against a second start, a start
// after expiry, a token or a result that is lost before its expiry, a lost running
// order, a table above its bound, and a result that differs from the recorded one.
func TestTableStartsEachTokenOnceBeforeExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		table := newTable(limit)
		now := time.Unix(1000, 0)
		content := order.Fingerprint(core.Order{Key: "k"})
		var tokens []string
		issuedAt := map[string]time.Time{}
		started := map[string]bool{}
		ended := map[string]core.OrderResult{}
		endedAt := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "issue") || len(tokens) == 0 {
				if token, ok := table.Issue(now); ok {
					tokens = append(tokens, token)
					issuedAt[token] = now
				}
			}
			if len(tokens) == 0 {
				continue
			}
			token := rapid.SampledFrom(tokens).Draw(t, "token")
			running := started[token] && ended[token].Outcome == ""
			if running && rapid.Bool().Draw(t, "finish") {
				outcome := rapid.SampledFrom([]core.Outcome{core.Complete, core.NotRun, core.Unknown}).Draw(t, "outcome")
				ended[token] = core.OrderResult{Outcome: outcome, Body: []byte(token)}
				endedAt[token] = now
				table.Finish(now, token, ended[token])
				continue
			}
			d := table.Redeem(now, token, content)
			if d.Verdict == order.Run && (started[token] || now.Sub(issuedAt[token]) >= lifetime) {
				t.Fatalf("an order starts twice, or after its token expired")
			}
			if !started[token] && now.Sub(issuedAt[token]) < lifetime && d.Verdict != order.Run {
				t.Fatalf("issued token: verdict %v before its expiry, want Run", d.Verdict)
			}
			if at, ok := endedAt[token]; ok && now.Sub(at) < lifetime && d.Verdict != order.Answer {
				t.Fatalf("ended order: verdict %v before its expiry, want Answer", d.Verdict)
			}
			if running && d.Verdict != order.Wait {
				t.Fatalf("running order: verdict %v, want Wait", d.Verdict)
			}
			if d.Verdict == order.Answer && (d.Result.Outcome != ended[token].Outcome || !bytes.Equal(d.Result.Body, ended[token].Body)) {
				t.Fatalf("answer %v, want %v", d.Result, ended[token])
			}
			started[token] = started[token] || d.Verdict == order.Run
			total := 0
			for _, n := range table.Counts() {
				total += n
			}
			if total > limit {
				t.Fatalf("%d tokens, want at most %d", total, limit)
			}
		}
	})
}

// TestFullTable guards against a full table that drops a running order to issue a
// token, and against one that never issues tokens again.
func TestFullTable(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(2)
	running, _ := table.Issue(now)
	table.Redeem(now, running, order.Digest{})
	if _, ok := table.Issue(now); !ok {
		t.Fatal("second token not issued, want issued")
	}
	if _, ok := table.Issue(now.Add(lifetime - 1)); ok {
		t.Fatal("third token issued, want none")
	}
	if _, ok := table.Issue(now.Add(lifetime)); !ok {
		t.Fatal("no token issued after the second one expired")
	}
	if d := table.Redeem(now.Add(3*lifetime), running, order.Digest{}); d.Verdict != order.Wait {
		t.Fatalf("running order: verdict %v, want Wait", d.Verdict)
	}
}

// TestUnusedTokensDelayShutdownForHoldTime guards against an unused token that
// delays a shutdown for its whole lifetime instead of the hold time, and against a
// running order that does not delay it.
func TestUnusedTokensDelayShutdownForHoldTime(t *testing.T) {
	const hold = 2 * time.Second
	now := time.Unix(1000, 0)
	table := newTable(4)
	running, _ := table.Issue(now)
	table.Redeem(now, running, order.Digest{})
	_, _ = table.Issue(now)
	for after, want := range map[time.Duration]int{0: 1, hold - 1: 1, hold: 0, 2 * lifetime: 0} {
		issued, orders, ended := table.Unfinished(now.Add(after), hold)
		if issued != want || orders != 1 || ended == nil {
			t.Errorf("after %v: %d issued, %d running, want %d and 1", after, issued, orders, want)
		}
	}
}

// suspended returns the time after a suspension of length d that began at now: the
// wall clock has advanced, the monotonic clock has not. The time package can't
// construct such a reading, so its fields are changed through an unsafe pointer.
func suspended(now time.Time, d time.Duration) time.Time {
	now = now.Add(d)
	(*struct {
		wall uint64
		ext  int64 // the monotonic reading
	})(unsafe.Pointer(&now)).ext -= int64(d)
	return now
}

// TestExpiryAfterSuspension guards against tokens and ids that don't expire during a
// suspension, in which only the wall clock advances, and against a running order
// that is dropped after it.
func TestExpiryAfterSuspension(t *testing.T) {
	now := time.Now()
	table, seen := newTable(2), order.NewSeen(1, time.Second)
	token, _ := table.Issue(now)
	running, _ := table.Issue(now)
	table.Redeem(now, running, order.Digest{})
	seen.Add(now, "a", now)
	woken := suspended(now, lifetime)
	if issued, _, _ := table.Unfinished(woken, lifetime); issued != 0 {
		t.Errorf("%d unused tokens delay a shutdown after their expiry, want 0", issued)
	}
	if d := table.Redeem(woken, token, order.Digest{}); d.Verdict != order.NoEntry {
		t.Errorf("expired token: verdict %v, want NoEntry", d.Verdict)
	}
	if d := table.Redeem(woken, running, order.Digest{}); d.Verdict != order.Wait {
		t.Errorf("running order: verdict %v, want Wait", d.Verdict)
	}
	if got := seen.Add(woken, "b", woken); got != order.First {
		t.Errorf("id after the suspension: %v, want First", got)
	}
}

// TestSeenReportsEachIDAsFirstOnce guards against a duplicated order call that is
// sent, including one that arrives while Seen is full or swept.
func TestSeenReportsEachIDAsFirstOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := order.NewSeen(2, time.Minute)
	for _, step := range []struct {
		after time.Duration
		id    string
		want  order.AddResult
	}{
		{0, "a", order.First},
		{0, "a", order.Duplicate},
		{0, "b", order.First},
		{time.Second, "c", order.Full},
		{60 * time.Second, "a", order.Duplicate},
		{61 * time.Second, "c", order.First},
		{61 * time.Second, "c", order.Duplicate},
	} {
		at := now.Add(step.after)
		if got := seen.Add(at, step.id, at.Add(time.Second)); got != step.want {
			t.Errorf("%s after %v: %v, want %v", step.id, step.after, got, step.want)
		}
	}
}
