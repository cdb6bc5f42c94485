package address_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/address"
)

// Guards against addresses that are in use or are returned twice.
func TestFree(t *testing.T) {
	addresses, err := address.Free(100)
	must.NoError(t, err)
	seen := map[string]bool{}
	for _, a := range addresses {
		must.False(t, seen[a.String()])
		seen[a.String()] = true
		l, err := net.Listen("tcp", a.String())
		must.NoError(t, err)
		defer l.Close()
	}
}
