package gatewayprocess_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// oddEntries are entries that another program may have written among those of the servers.
var oddEntries = []string{
	strings.Repeat("[", 300000) + strings.Repeat("]", 300000),
	`{"service":"keyed","extra":` + strings.Repeat(`{"a":`, 9995) + "1" + strings.Repeat("}", 9995) + `}`,
	`{"service":"keyed","address":"127.0.0.1:65536","zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}`,
	`{"service":"keyed","address":"127.0.0.1:0","zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}`,
	`{"service":"keyed","address":"127.0.0.1:9","zone":"x","version":"v1","maxConcurrency":9000000000000000000,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}`,
	`{"service":"keyed","address":"127.0.0.1:9","zone":"x","version":"v1","maxConcurrency":1e400,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}`,
	`{"service":"keyed","address":"127.0.0.1:9","zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":1e300,"seq":1,"born":1}`,
	`{"service":"keyed","address":"127.0.0.1:9","zone":"x","version":"v1","maxConcurrency":4,"state":"ready","warmupLeftMs":0,"seq":1,"born":1e30}`,
	`{"service":"keyed","address":7}`,
	`{"a":}`,
	`"ready"`,
	`null`,
}

// Guards against an odd entry among those of the servers that ends a process, keeps it from following later
// changes or is given keys: when it is watched, listed at a start, or comes from a peer in an outage.
func TestOddServerEntry(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", a.registryEntry("ready"))
	first := startProcess(t, s, "first")
	second := startProcess(t, s, "second", first.settings.PeerAddress)
	processes := []*testProcess{first, second}
	for _, p := range processes {
		eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	}
	for i, entry := range oddEntries {
		s.put("servers", fmt.Sprint("odd-", i), entry)
	}
	for _, p := range processes {
		must.True(t, p.servesAllKeys("with odd entries"), must.Sprint(p.settings.Name))
	}
	s.put("servers", "b", b.registryEntry("ready"))
	s.remove("servers", "a")
	processes = append(processes, startProcess(t, s, "third", first.settings.PeerAddress))
	for _, p := range processes {
		eventually(t, 10*time.Second, "the keys move to another server", func() bool { return p.servesAllKeys("after") && b.heldKeys(testKeys) == len(testKeys) })
	}
	s.setDown(true)
	fourth := startProcess(t, s, "fourth", first.settings.PeerAddress)
	eventually(t, 10*time.Second, "a process that starts in an outage serves all keys", func() bool { return fourth.servesAllKeys("outage") })
	s.setDown(false)
	s.put("servers", "b", oddEntries[0])
	s.put("servers", "a", strings.Replace(a.registryEntry("ready"), `"seq":1`, `"seq":2`, 1))
	for _, p := range append(processes, fourth) {
		eventually(t, 10*time.Second, "the keys leave a server whose entry is overwritten", func() bool { return p.servesAllKeys("overwritten") && a.heldKeys(testKeys) == len(testKeys) })
	}
}
