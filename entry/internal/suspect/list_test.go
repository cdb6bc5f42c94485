package suspect_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"bramleystand.org/entry/internal/suspect"
)

var epoch = time.Unix(0, 0)

// Guards against equal fingerprints of requests whose parts have the same bytes but other boundaries, and against
// fingerprints that depend on more than the first 64 KiB of the body.
func TestFingerprintParts(t *testing.T) {
	must.NotEq(t, suspect.Of("a", "bc", "GET", "", nil), suspect.Of("ab", "c", "GET", "", nil))
	long := make([]byte, suspect.BodyPrefixBytes+1)
	must.Eq(t, suspect.Of("a", "b", "PUT", "", long), suspect.Of("a", "b", "PUT", "", long[:suspect.BodyPrefixBytes]))
	must.NotEq(t, suspect.Of("a", "b", "PUT", "", long), suspect.Of("a", "b", "PUT", "", long[:3]))
}

// Guards against a request that is sent again after a crash until it has crashed the whole fleet, and against the
// condemnation of requests that were in flight beside it.
func TestCrashingRequest(t *testing.T) {
	const crashingRequest = suspect.Fingerprint(1)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		lists := []*suspect.List{suspect.New(64), suspect.New(64), suspect.New(64)}
		now, crashes := epoch, 0
		for range 100 {
			now = now.Add(time.Second)
			list := lists[random.IntN(len(lists))]
			inFlight := []suspect.Fingerprint{crashingRequest}
			switch list.VerdictOf(now, crashingRequest) {
			case suspect.Condemned:
				inFlight = nil
			case suspect.Unrestricted:
				for range random.IntN(5) {
					harmless := suspect.Fingerprint(2 + random.IntN(20))
					if list.VerdictOf(now, harmless) == suspect.Unrestricted {
						inFlight = append(inFlight, harmless)
					}
				}
			}
			if len(inFlight) > 0 {
				crashes++
				list.ReportCrash(now, inFlight)
			}
			for _, peer := range lists {
				peer.Merge(now, list.Entries(now))
			}
			harmless := suspect.Fingerprint(2 + random.IntN(20))
			if list.VerdictOf(now, harmless) == suspect.MustRunAlone {
				list.ReportSuccess(now, harmless)
			}
		}
		must.LessEq(t, 2, crashes)
		for _, list := range lists {
			for _, e := range list.Entries(now) {
				must.Eq(t, e.Fingerprint == crashingRequest, e.Verdict == suspect.Condemned)
			}
		}
	}
}

// Guards against an old entry from a peer that replaces a newer verdict: it must neither make a cleared request run
// alone again nor revoke a condemnation.
func TestMergeKeepsNewerVerdict(t *testing.T) {
	list, peer := suspect.New(8), suspect.New(8)
	list.ReportCrash(epoch, []suspect.Fingerprint{1, 2})
	old := list.Entries(epoch)
	peer.Merge(epoch, old)
	peer.ReportSuccess(epoch, 1)
	must.Eq(t, []suspect.Verdict{suspect.Condemned}, peer.ReportCrash(epoch, []suspect.Fingerprint{2}))
	list.Merge(epoch, peer.Entries(epoch))
	list.Merge(epoch, old)
	must.Eq(t, suspect.Unrestricted, list.VerdictOf(epoch, 1))
	must.Eq(t, suspect.Condemned, list.VerdictOf(epoch, 2))
	must.Eq(t, peer.Digest(epoch), list.Digest(epoch))
	list.ReportSuccess(epoch, 2)
	list.ReportSuccess(epoch, 3)
	must.Eq(t, suspect.Condemned, list.VerdictOf(epoch, 2))
	must.Len(t, 2, list.Entries(epoch))
	must.SliceEmpty(t, list.Entries(epoch.Add(suspect.Lifetime-time.Second)))
	must.Eq(t, suspect.Condemned, list.VerdictOf(epoch.Add(suspect.Lifetime-time.Second), 2))
	must.Eq(t, suspect.Unrestricted, list.VerdictOf(epoch.Add(suspect.Lifetime), 2))
}

// Guards against lists that differ after they have exchanged their entries, and against entries that never expire
// because lists keep sending them to each other.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		lists := []*suspect.List{suspect.New(8), suspect.New(8)}
		exchange := func() {
			entries := [][]suspect.Entry{lists[0].Entries(now), lists[1].Entries(now)}
			now = now.Add(5 * time.Millisecond)
			lists[0].Merge(now, entries[1])
			lists[1].Merge(now, entries[0])
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				f := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 4, rapid.ID).Draw(t, "in flight")
				inFlight := make([]suspect.Fingerprint, len(f))
				for i := range f {
					inFlight[i] = suspect.Fingerprint(f[i])
				}
				rapid.SampledFrom(lists).Draw(t, "list").ReportCrash(now, inFlight)
			},
			"success": func(t *rapid.T) {
				rapid.SampledFrom(lists).Draw(t, "list").ReportSuccess(now, suspect.Fingerprint(rapid.IntRange(1, 6).Draw(t, "f")))
			},
			"exchange": func(t *rapid.T) {
				exchange()
				must.Eq(t, lists[0].Digest(now), lists[1].Digest(now))
			},
			"pass time": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "s")) * time.Second) },
		})
		for last := now.Add(suspect.Lifetime + time.Second); now.Before(last); now = now.Add(time.Second) {
			exchange()
		}
		must.SliceEmpty(t, lists[0].Entries(now))
	})
}

// Guards against a full list that evicts a condemned fingerprint while it holds less severe entries, or that exceeds
// its limit.
func TestEvictionKeepsCondemned(t *testing.T) {
	list := suspect.New(3)
	list.ReportCrash(epoch, []suspect.Fingerprint{1})
	list.ReportCrash(epoch, []suspect.Fingerprint{1})
	for f := range suspect.Fingerprint(100) {
		list.ReportCrash(epoch.Add(time.Second), []suspect.Fingerprint{f + 2, f + 3})
	}
	must.Len(t, 3, list.Entries(epoch))
	must.Eq(t, suspect.Condemned, list.VerdictOf(epoch, 1))
}
