package slots_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/slots"
)

// fleet is a fixed list of members.
type fleet struct {
	mu  sync.Mutex
	all []election.Member
}

func (f *fleet) Members() []election.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all
}

// noHandler answers nothing but slots.
type noHandler struct{}

func (noHandler) Report(time.Time, report.Report) report.Answer { return report.Answer{} }
func (noHandler) Snapshot(time.Time, struct{}) []report.Object  { return nil }
func (noHandler) Yield(time.Time, report.Yield) report.Yielded  { return report.Yielded{} }

func (noHandler) Follow(context.Context, []report.Mark, func(report.Update) error) error { return nil }

// member is a process with a keeper and a gate.
type member struct {
	election.Member
	gate *slots.Gate
	stop context.CancelFunc
}

// start runs a member on loopback.
func start(t *testing.T, f *fleet, name, centre string) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	m := &member{Member: election.Member{Name: name, DataCentre: centre, Address: netip.MustParseAddrPort(l.Addr().String())}, stop: cancel}
	keeper := slots.NewKeeper()
	client := report.NewClient(&net.Dialer{})
	m.gate = slots.New(ctx, m.Member, keeper, client, f)
	var group sync.WaitGroup
	group.Go(func() { keeper.Run(ctx) })
	group.Go(func() { m.gate.Run(ctx) })
	group.Go(func() { _ = report.NewServer(noHandler{}, keeper).Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	f.mu.Lock()
	f.all = append(f.all, m.Member)
	f.mu.Unlock()
	return m
}

func admission(server string, slots int, deadline time.Duration) dispatch.SlotRequest {
	now := time.Now()
	return dispatch.SlotRequest{
		Server:  registry.Server{Life: registry.Life{ID: server, Incarnation: 1}, Slots: slots, DataCentre: "x"},
		Arrived: now, Objective: now.Add(deadline), Deadline: now.Add(2 * deadline),
	}
}

// Guards against more requests at a server than it has slots, whichever processes send them.
func TestSlotsAreShared(t *testing.T) {
	f := &fleet{}
	a, b, c := start(t, f, "a", "x"), start(t, f, "b", "x"), start(t, f, "c", "y")
	const size = 4
	var mu sync.Mutex
	running, most, served := 0, 0, 0
	var group sync.WaitGroup
	for _, m := range []*member{a, b, c} {
		for range 20 {
			group.Go(func() {
				s, err := m.gate.Acquire(t.Context(), admission("server", size, 20*time.Second))
				if err != nil {
					return
				}
				mu.Lock()
				running++
				served++
				most = max(most, running)
				mu.Unlock()
				time.AfterFunc(0, func() {}) // Other requests get a chance to run.
				mu.Lock()
				running--
				mu.Unlock()
				s.Release(time.Millisecond)
			})
		}
	}
	group.Wait()
	must.Between(t, 1, most, size)
	must.Greater(t, 30, served)
}

// Guards against slots that stay taken when the process that has them is lost.
func TestLostProcess(t *testing.T) {
	f := &fleet{}
	keeper, lost := start(t, f, "a", "x"), start(t, f, "b", "y")
	_, err := lost.gate.Acquire(t.Context(), admission("server", 1, 10*time.Second))
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := keeper.gate.Acquire(t.Context(), admission("server", 1, 10*time.Second))
		done <- err
	}()
	lost.stop()
	must.NoError(t, <-done)
}

// Guards against requests that fail or wait because the keeper of their server is lost.
func TestLostKeeper(t *testing.T) {
	f := &fleet{}
	keeper, other := start(t, f, "a", "x"), start(t, f, "b", "y")
	s, err := other.gate.Acquire(t.Context(), admission("server", 4, 10*time.Second))
	must.NoError(t, err)
	keeper.stop()
	begin := time.Now()
	again, err := other.gate.Acquire(t.Context(), admission("server", 4, 10*time.Second))
	must.NoError(t, err)
	must.Less(t, 5*time.Second, time.Since(begin))
	s.Release(time.Millisecond)
	again.Release(time.Millisecond)
}

// Guards against a refusal without the time at which a return makes sense, and against waiting for
// a slot that can't come in time.
func TestRefusal(t *testing.T) {
	f := &fleet{}
	a := start(t, f, "a", "x")
	s, err := a.gate.Acquire(t.Context(), admission("server", 1, 10*time.Second))
	must.NoError(t, err)
	_, err = a.gate.Acquire(t.Context(), admission("server", 1, time.Millisecond))
	refusal, ok := errors.AsType[*dispatch.RefusalError](err)
	must.True(t, ok)
	must.True(t, refusal.RetryAt.After(time.Now()))
	s.Release(time.Millisecond)
}

// Guards against a client that has left keeping its place in the line.
func TestClientLeaves(t *testing.T) {
	f := &fleet{}
	start(t, f, "a", "x")
	b := start(t, f, "b", "y")
	s, err := b.gate.Acquire(t.Context(), admission("server", 1, 10*time.Second))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = b.gate.Acquire(ctx, admission("server", 1, 10*time.Second))
	must.ErrorIs(t, err, context.Canceled)
	s.Release(time.Millisecond)
	s, err = b.gate.Acquire(t.Context(), admission("server", 1, 10*time.Second))
	must.NoError(t, err)
	s.Release(time.Millisecond)
}

// Guards against a request that waits beyond its time because others keep coming.
func TestExpiryInFlood(t *testing.T) {
	f := &fleet{}
	a := start(t, f, "a", "x")
	for _, server := range []string{"full", "flooded"} {
		_, err := a.gate.Acquire(t.Context(), admission(server, 1, 10*time.Second))
		must.NoError(t, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.gate.Acquire(t.Context(), admission("full", 1, 300*time.Millisecond))
		done <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range 1000 {
		group.Go(func() { _, _ = a.gate.Acquire(ctx, admission("flooded", 1, 10*time.Second)) })
		select {
		case err := <-done:
			must.Error(t, err)
			return
		case <-time.After(3 * time.Millisecond):
		}
	}
	t.Fatal("the request still waits")
}
