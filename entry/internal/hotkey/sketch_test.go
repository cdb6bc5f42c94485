package hotkey_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/hotkey"
)

// Guards against a hot key that has no counter, and against a counter that differs from the exact load by more than
// its Error.
func TestErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 8
		now := time.Unix(0, 0)
		s := hotkey.New(size, now)
		exact := make(map[string]time.Duration)
		total := time.Duration(0)
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 40), 0, 300).Draw(t, "keys") {
			// Small numbers are drawn most often, and the division maps several of them to one key, so that some keys
			// are hot.
			key := strconv.Itoa(n * n / 40)
			s.Add(now, key, time.Millisecond)
			exact[key] += time.Millisecond
			total += time.Millisecond
		}
		found := make(map[string]bool)
		for _, c := range s.Top(size) {
			found[c.Key] = true
			must.Between(t, c.Load-c.Error, exact[c.Key], c.Load)
		}
		for key, load := range exact {
			if load > total/size {
				must.True(t, found[key])
			}
		}
	})
}

// Guards against keys that were hot long ago and rank above those that are hot now, because their counters do not decay.
func TestOldKeysDecay(t *testing.T) {
	now := time.Unix(0, 0)
	s := hotkey.New(2, now)
	s.Add(now, "old", time.Hour)
	s.Add(now.Add(20*time.Minute), "new", time.Second)
	must.Eq(t, "new", s.Top(1)[0].Key)
}

// BenchmarkAdd measures Add with more keys than counters, so that each call takes over a counter.
func BenchmarkAdd(b *testing.B) {
	now := time.Unix(0, 0)
	s := hotkey.New(256, now)
	keys := make([]string, 10_000)
	for i := range keys {
		keys[i] = strconv.Itoa(i)
	}
	for i := 0; b.Loop(); i++ {
		s.Add(now, keys[i%len(keys)], time.Millisecond)
	}
}
