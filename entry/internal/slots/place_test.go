package slots_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/view"
)

// twoCentres returns a view of two servers with two slots in each of two data centres.
func twoCentres() *view.View {
	v := view.New()
	var servers []registry.Server
	for _, id := range []string{"x1", "x2", "y1", "y2"} {
		servers = append(servers, registry.Server{Instance: registry.Instance{ID: id, Incarnation: 1}, Service: "s", DataCentre: id[:1], Slots: 2})
	}
	v.SetServers(time.Now(), servers)
	return v
}

// placeRequest returns a request that arrives now and must end within the objective.
func placeRequest(objective time.Duration, excluded ...string) dispatch.PlaceRequest {
	now := time.Now()
	return dispatch.PlaceRequest{Service: "s", Arrived: now, Objective: now.Add(objective), Deadline: now.Add(2 * objective), Excluded: excluded}
}

// place places a request and returns the identifier of its server.
func (m *member) place(t *testing.T, r dispatch.PlaceRequest) (string, dispatch.Slot, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	slot, inst, err := m.limiter.Place(ctx, r)
	return inst.ID, slot, err
}

// Guards against requests of several processes that go to the same servers while others are free, against the use of
// another data centre without need, and against slots that are not given back.
func TestPlaceSharesOneLedger(t *testing.T) {
	members, v := &memberList{}, twoCentres()
	a, b := startMemberWith(t, members, "a", "x", v), startMemberWith(t, members, "b", "x", v)
	startMemberWith(t, members, "c", "y", v)
	counts := make(map[string]int)
	var placed []dispatch.Slot
	for i := range 4 {
		server, slot, err := []*member{a, b}[i%2].place(t, placeRequest(time.Second))
		must.NoError(t, err)
		counts[server]++
		placed = append(placed, slot)
	}
	must.Eq(t, map[string]int{"x1": 2, "x2": 2}, counts)
	// The servers at home are full, and a request can't wait for them.
	server, _, err := a.place(t, placeRequest(150*time.Millisecond))
	must.NoError(t, err)
	must.Eq(t, "y", server[:1])
	for _, slot := range placed {
		slot.Release(dispatch.Outcome{ServiceTime: 10 * time.Millisecond})
	}
	server, _, err = b.place(t, placeRequest(time.Second))
	must.NoError(t, err)
	must.Eq(t, "x", server[:1])
}

// Guards against servers that a process must not use, and against a request that fails because all servers of its own
// data centre are excluded.
func TestPlaceExcludes(t *testing.T) {
	members, v := &memberList{}, twoCentres()
	a := startMemberWith(t, members, "a", "x", v)
	startMemberWith(t, members, "c", "y", v)
	for excluded, want := range map[string]string{"x1": "x2", "x2": "x1"} {
		server, _, err := a.place(t, placeRequest(time.Second, excluded))
		must.NoError(t, err)
		must.Eq(t, want, server)
	}
	server, _, err := a.place(t, placeRequest(time.Second, "x1", "x2", "y1"))
	must.NoError(t, err)
	must.Eq(t, "y2", server)
	_, _, err = a.place(t, placeRequest(time.Second, "x1", "x2", "y1", "y2"))
	must.ErrorIs(t, err, dispatch.ErrNoPool)
}

// Guards against requests that are lost with the process that places them, or wait for it.
func TestPlaceWithLostAllocator(t *testing.T) {
	members, v := &memberList{}, twoCentres()
	all := make(map[string]*member)
	for i := range 3 {
		name := fmt.Sprint("p", i)
		all[name] = startMemberWith(t, members, name, "x", v)
	}
	for _, m := range all {
		_, slot, err := m.place(t, placeRequest(time.Second))
		must.NoError(t, err)
		slot.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
	}
	for name, m := range all {
		m.stop()
		for other, n := range all {
			if other == name {
				continue
			}
			served := 0
			for range 5 {
				if _, slot, err := n.place(t, placeRequest(2*time.Second)); err == nil {
					slot.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
					served++
				}
			}
			must.GreaterEq(t, 4, served)
		}
		break
	}
}
