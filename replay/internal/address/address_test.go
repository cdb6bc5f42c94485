package address_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/replay/internal/address"
)

// Guards against two processes of a fleet getting the same address, or one that is in use.
func TestFree(t *testing.T) {
	list, err := address.Free(100)
	must.NoError(t, err)
	seen := map[string]bool{}
	for _, a := range list {
		must.False(t, seen[a.String()])
		seen[a.String()] = true
		l, err := net.Listen("tcp", a.String())
		must.NoError(t, err)
		defer l.Close()
	}
}
