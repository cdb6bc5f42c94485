package gatewayprocess_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an entry of a service that is not configured that counts as proof that the server at its
// address has ended: its keys would go to another server while it still holds them.
func TestEntryOfUnnamedServiceAtAddress(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", a.registryEntry("ready"))
	p := startProcess(t, s, "only")
	eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	s.put("servers", "odd", fmt.Sprintf(`{"service":"unnamed","address":%q,"zone":"x","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":2}`, a.address))
	s.put("servers", "b", b.registryEntry("ready"))
	s.remove("servers", "a")
	eventually(t, 10*time.Second, "the keys move to another server", func() bool {
		must.Eq(t, 0, heldByBoth(a, b, testKeys), must.Sprint("keys of both servers"))
		return b.heldKeys(testKeys) == len(testKeys)
	})
}
