package quota_test

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core/quota"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// TestBudgetProperties guards against a budget that exceeds its bound or becomes negative,
// against a holder that has to give way although its request runs or although it needs less
// than the one that asks and makes progress, and against a charge that waits forever. The
// expected bytes are those that the test itself has counted.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		b := quota.New(limit)
		now := start
		type known struct {
			h        *quota.Holder
			held     int64
			leaving  bool
			state    quota.State
			progress time.Time
		}
		var all []*known
		find := func(h *quota.Holder) *known {
			for _, k := range all {
				if k.h == h {
					return k
				}
			}
			t.Fatal("an unknown holder has to give way")
			return nil
		}
		remove := func(k *known) {
			b.Close(k.h)
			for i := range all {
				if all[i] == k {
					all = append(all[:i], all[i+1:]...)
					return
				}
			}
		}
		pick := func() *known {
			if len(all) == 0 {
				return nil
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "holder")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				all = append(all, &known{h: b.Open(now, func() {}), progress: now})
			},
			"close": func(t *rapid.T) {
				if k := pick(); k != nil {
					remove(k)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"state": func(t *rapid.T) {
				if k := pick(); k != nil {
					k.state, k.progress = rapid.SampledFrom([]quota.State{quota.Receiving, quota.Running, quota.Sending}).Draw(t, "state"), now
					k.h.SetState(now, k.state)
				}
			},
			"refund": func(t *rapid.T) {
				if k := pick(); k != nil {
					n := rapid.Int64Range(0, 1000).Draw(t, "bytes")
					b.Refund(k.h, n)
					k.held -= min(n, k.held)
				}
			},
			"move": func(t *rapid.T) {
				from, to := pick(), pick()
				if from == nil || from == to {
					return
				}
				n := rapid.Int64Range(0, 1000).Draw(t, "bytes")
				want := min(n, from.held)
				if got := b.Move(from.h, to.h, n); got != want {
					t.Fatalf("%d bytes of %d were moved, want %d", got, from.held, want)
				}
				from.held -= want
				to.held += want
			},
			"charge": func(t *rapid.T) {
				k := pick()
				if k == nil {
					return
				}
				n := rapid.Int64Range(0, 1000).Draw(t, "bytes")
				verdict, victims := b.Charge(now, k.h, n)
				for _, h := range victims {
					v := find(h)
					stuck := now.Sub(v.progress) >= quota.StuckAfter
					if v == k || v.leaving || v.state == quota.Running || !stuck && (v.state == quota.Sending || v.held <= k.held+n) {
						t.Fatalf("a holder of %d bytes in state %v had to give way to one of %d", v.held, v.state, k.held+n)
					}
					v.leaving = true
				}
				switch verdict {
				case quota.Granted:
					k.held += n
				case quota.Wait:
					// The holders that give way are closed soon. Then the charge must succeed.
					for i := len(all) - 1; i >= 0; i-- {
						if all[i].leaving {
							remove(all[i])
						}
					}
					if again, _ := b.Charge(now, k.h, n); again != quota.Granted {
						t.Fatalf("after all have given way: verdict %v", again)
					}
					k.held += n
				case quota.Refused:
					if len(victims) > 0 {
						t.Fatal("holders had to give way for a charge that was refused")
					}
				}
			},
			"": func(t *rapid.T) {
				var sum int64
				for _, k := range all {
					sum += k.held
				}
				if used := b.Used(); used != sum || used < 0 || used > limit {
					t.Fatalf("%d bytes used, want %d and at most %d", used, sum, limit)
				}
			},
		})
	})
}

// TestSmallBeforeLarge guards against many large holders that keep out one that needs little,
// and against the wrong one giving way.
func TestSmallBeforeLarge(t *testing.T) {
	const limit = 1000
	b := quota.New(limit)
	var large []*quota.Holder
	for i := range 4 {
		h := b.Open(start, func() {})
		if v, _ := b.Charge(start, h, limit/4); v != quota.Granted {
			t.Fatalf("holder %d: %v", i, v)
		}
		large = append(large, h)
	}
	for _, h := range []*quota.Holder{large[0], large[1], large[3]} {
		h.Progress(start.Add(500 * time.Millisecond))
	}
	now := start.Add(600 * time.Millisecond)
	small := b.Open(now, func() {})
	verdict, victims := b.Charge(now, small, 10)
	if verdict != quota.Wait || len(victims) != 1 || victims[0] != large[2] {
		t.Fatalf("got verdict %v and %d victims, want the slowest holder to give way", verdict, len(victims))
	}
	changed := b.Changed()
	b.Close(large[2])
	select {
	case <-changed:
	default:
		t.Error("the return of bytes was not reported")
	}
	if verdict, _ := b.Charge(now, small, 10); verdict != quota.Granted {
		t.Errorf("after the holder had given way: %v", verdict)
	}
	if verdict, _ := b.Charge(now, b.Open(now, func() {}), limit/4+1); verdict != quota.Refused {
		t.Errorf("a larger request displaced holders that make progress: %v", verdict)
	}
}
