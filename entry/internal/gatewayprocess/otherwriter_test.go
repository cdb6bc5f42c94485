package gatewayprocess_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an entry of another writer that counts as proof that the server at its address has ended: its
// keys would be refused, and go to another server while it still holds them.
func TestEntryOfOtherWriterAtAddress(t *testing.T) {
	t.Parallel()
	for name, entry := range map[string]string{
		"service not configured": `{"service":"unnamed","address":%q,"zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":2}`,
		"no version":             `{"service":"keyed","address":%q,"zone":"x","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":2}`,
		"version is a number":    `{"service":"keyed","address":%q,"zone":"x","version":1,"maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":2}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore(t)
			a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
			s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
			s.put("servers", "a", a.registryEntry("ready"))
			p := startProcess(t, s, "only")
			eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
			s.put("servers", "odd", fmt.Sprintf(entry, a.address))
			s.put("servers", "b", b.registryEntry("ready"))
			for round := range 10 {
				must.True(t, p.servesAllKeys(fmt.Sprint("beside the entry ", round)))
			}
			s.remove("servers", "a")
			eventually(t, 10*time.Second, "the keys move to another server", func() bool {
				must.Eq(t, 0, heldByBoth(a, b, testKeys), must.Sprint("keys of both servers"))
				return b.heldKeys(testKeys) == len(testKeys)
			})
		})
	}
}
