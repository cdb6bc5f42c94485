package view_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/view"
)

// Guards against a copy of all servers for each reader: ten times a second in each of 78 processes.
func TestRegisteredIsNotCopied(t *testing.T) {
	v := view.New()
	var list []registry.Server
	for i := range 405 {
		list = append(list, registry.Server{Instance: registry.Instance{ID: fmt.Sprint(i), Incarnation: 1}, Service: "s", Draining: i%7 == 0})
	}
	v.SetServers(time.Unix(1000, 0), list)
	must.True(t, slices.Equal(list, v.Servers().Registered()))
	must.True(t, &v.Servers().Registered()[0] == &v.Servers().Registered()[0], must.Sprint("the same list"))
	v.SetServers(time.Unix(1001, 0), list[1:])
	must.True(t, slices.Equal(list[1:], v.Servers().Registered()))
}
